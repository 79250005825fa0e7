#pragma once

#include "sequoiawharf/heartbeat.h"
#include "sequoiawharf/time.h"

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace sequoiawharf
{

/// The newest summary of a data centre and the time of its arrival.
struct centre_entry {
    centre_summary summary;
    mono_time receivedAt; ///< When a summary with a newer stamp last arrived.
};

/// Keeps the newest summary of each other data centre. Owns no socket or clock. Not thread safe.
class centre_table
{
public:
    explicit centre_table(data_centre_id own);

    /// Stores a summary. Returns false and changes nothing when its stamp is not newer than the stored one, or when it describes the own data
    /// centre.
    bool update(const centre_summary &summary, mono_time now);

    /// Removes an unreachable instance from the stored entries, so that it is not chosen until the next summary arrives.
    void drop(const host_port &peer);

    /// Returns the entry of a data centre, or null when no summary of it was stored.
    const centre_entry *find(const data_centre_id &centre) const;

    /// Returns the entries of all data centres.
    const std::map<data_centre_id, centre_entry> &entries() const
    {
        return m_entries;
    }

    /// Returns whether the summary is less than 12 seconds old. Thread safe.
    static bool isFresh(const centre_entry &entry, mono_time now);

    /// Returns the data centres of the region whose summary is fresh and names live instances.
    std::vector<data_centre_id> liveCentres(const region_id &region, mono_time now) const;

    /// Returns the number of live instances in the region by fresh summaries, without the own data centre.
    std::uint32_t liveInRegion(const region_id &region, mono_time now) const;

private:
    data_centre_id m_own;
    std::map<data_centre_id, centre_entry> m_entries;
};

} // namespace sequoiawharf
