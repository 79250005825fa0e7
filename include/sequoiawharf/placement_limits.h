#pragma once

#include "sequoiawharf/ids.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace sequoiawharf
{

/// A set of data centres, one bit for each; the numbers are those of a placement_limits.
using centre_mask = std::uint64_t;

inline constexpr centre_mask kAllCentres = ~centre_mask {0};

/// The data centres of a process by number, and those that are evacuated. One object serves all configurations of the process, so that an evacuation is
/// in force at once for calls that started under an earlier one. Const methods are thread safe and lock-free.
class placement_limits
{
public:
    static constexpr unsigned kMaxNumbered = 63; ///< Data centres with a bit of their own. All others share the last bit and are no homes.

    /// regions: all regions with their data centres.
    explicit placement_limits(const std::map<region_id, std::vector<data_centre_id>> &regions);

    /// Returns the bit of a data centre; the shared last bit when the regions do not list it.
    centre_mask maskOf(const data_centre_id &centre) const;

    /// Returns the data centres of the regions, or all when homes is empty. Regions that are not known add none.
    centre_mask maskOf(const std::vector<region_id> &homes) const;

    /// Returns the evacuated data centres, to which no calls may be sent.
    centre_mask evacuated() const
    {
        return m_evacuated.load(std::memory_order_relaxed);
    }

    /// Replaces the set of evacuated data centres.
    void setEvacuated(const std::set<data_centre_id> &centres);

private:
    std::map<data_centre_id, centre_mask> m_bits;
    std::map<region_id, centre_mask> m_regions;
    std::atomic<centre_mask> m_evacuated {0};
};

} // namespace sequoiawharf
