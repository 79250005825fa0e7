#pragma once

#include "sequoiawharf/directory.h"
#include "sequoiawharf/member.h"
#include "sequoiawharf/time.h"

#include <chrono>
#include <memory>
#include <vector>

namespace sequoiawharf
{

class membership;

/// Limits of a directory answer.
struct directory_rules {
    std::chrono::milliseconds lifetime {0}; ///< Time for which callers may cache the answer.
    std::size_t entries = 4; ///< Maximum number of entries.
    bool nearOnly = false; ///< Names other data centres only when the caller's own has fewer than two instances.
};

/// Snapshot of the instances that the directory may name to callers. Immutable.
struct directory_view {
    data_centre_id ownCentre;
    region_id ownRegion;
    std::vector<member_row> entries; ///< Instances that are live, ready and not leaving; one for each gateway address.
    directory_rules rules;
};

/// Returns a snapshot of the instances that callers may use. Members of the own data centre come from their heartbeats, others from summaries of
/// their data centres. It has no entries until membership::isViewConfirmed(). Not thread safe.
std::shared_ptr<const directory_view> makeDirectoryView(const membership &members, const directory_rules &rules, mono_time now);

/// Returns a random choice of a view's entries: instances of the caller's data centre first, less loaded ones with a higher probability, and at
/// least one of another data centre of the region if the rules allow it. Instances of other regions are returned only when the caller's region
/// has none. near: data centre of the caller; empty: the view's own. homes: the only regions, besides the caller's own, of which instances are returned;
/// empty: all. Thread safe.
directory_answer chooseEntries(const directory_view &view, const data_centre_id &near, const std::vector<region_id> &homes, random_source &random);

} // namespace sequoiawharf
