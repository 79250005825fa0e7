#pragma once

#include "sequoiawharf/ids.h"
#include "sequoiawharf/random_source.h"
#include "sequoiawharf/time.h"

#include <chrono>
#include <vector>

namespace sequoiawharf
{

/// An instance that a caller may connect to.
struct directory_entry {
    instance_id instance;
    host_port gateway;
    data_centre_id dataCentre;
    region_id region;
};

/// The directory's answer to a caller: instances in order of preference.
struct directory_answer {
    std::vector<directory_entry> entries;
    std::chrono::milliseconds lifetime {0}; ///< Time for which the caller may cache the answer.
};

/// Selects the instances that a caller may connect to.
class directory
{
public:
    virtual ~directory() = default;

    /// Returns a few live instances, those nearest to the given data centre first. near: data centre of the caller; empty: this instance's own. homes:
    /// the regions that serve the caller's calls; instances of other regions are named only in the caller's own region; empty: all regions. Thread safe.
    virtual directory_answer lookup(const data_centre_id &near, const std::vector<region_id> &homes, mono_time now, random_source &random) const = 0;
};

} // namespace sequoiawharf
