#pragma once

#include "sequoiawharf/ids.h"
#include "sequoiawharf/random_source.h"
#include "sequoiawharf/time.h"

#include <chrono>
#include <optional>
#include <vector>

namespace sequoiawharf
{

/// Distance of an instance, nearest first. Near instances are queried first.
enum class nearness { DataCentre, Region, Far };

/// A query for the configuration changes since a version.
struct change_query {
    host_port to;
    nearness distance = nearness::DataCentre;
    config_version since = 0;
};

/// Decides when an instance that learned of a newer configuration version fetches it, and from which instance. At most one query is
/// pending at a time. Near instances are queried first, and instances of other regions only after a longer delay, so that one instance
/// fetches a change across regions and the others fetch it from that one. Owns no socket or clock. Not thread safe.
class config_follower
{
public:
    /// Records that an instance has a version. The query to it becomes due after a random delay that grows with the distance.
    void heard(const host_port &peer, nearness distance, config_version version, mono_time now, random_source &random);

    /// Returns the query that is due, or nothing. The query is pending until finishQuery() is called or it times out: after 500 ms, or after
    /// 1 s for an instance of another region.
    std::optional<change_query> next(config_version own, mono_time now);

    /// Ends a pending query. failed: no answer will arrive; the next query is then delayed by 250 ms, and goes to another instance if one is known.
    void finishQuery(const change_query &query, bool failed, mono_time now);

    /// Returns whether another instance is known to have a newer version than own.
    bool isBehind(config_version own) const;

private:
    struct source {
        host_port peer;
        nearness distance = nearness::DataCentre;
        config_version version = 0;
        mono_time due; ///< Earliest time of a query to it.
        std::uint32_t order = 0; ///< Random, so that of equally good sources each instance queries another one.
        unsigned failures = 0; ///< Queries to it that failed.
    };

    std::vector<source> m_sources;
    std::optional<mono_time> m_nextQueryAt; ///< No query is sent before this time.
};

} // namespace sequoiawharf
