#pragma once

#include "sequoiawharf/ids.h"
#include "sequoiawharf/random_source.h"
#include "sequoiawharf/time.h"

#include <chrono>
#include <optional>
#include <vector>

namespace sequoiawharf
{

/// Distance of an instance, nearest first. Changes are requested from near instances first.
enum class nearness { DataCentre, Region, Far };

/// A request for the configuration changes since a version.
struct change_query {
    host_port to;
    nearness distance = nearness::DataCentre;
    config_version since = 0;
};

/// Decides when an instance that learned of a newer configuration version requests it, and from which instance. At most one request is
/// pending at a time. Near instances are asked first. Instances of other regions are asked only after a longer delay, so that one instance
/// fetches a change across regions and the others fetch it from that one. Owns no socket or clock. Not thread safe.
class config_follower
{
public:
    /// Records that an instance has a version. The request to it becomes due after a random delay that grows with the distance.
    void heard(const host_port &peer, nearness distance, config_version version, mono_time now, random_source &random);

    /// Returns the request that is due, or nothing. The request is pending until answered() is called or it times out: after 500 ms, or after
    /// 1 s for an instance of another region.
    std::optional<change_query> next(config_version own, mono_time now);

    /// Ends a pending request. failed: no answer will arrive; the next request is then delayed by 250 ms.
    void finishQuery(const change_query &ask, bool failed, mono_time now);

    /// Returns whether another instance is known to have a newer version than own.
    bool isBehind(config_version own) const;

private:
    struct source {
        host_port peer;
        nearness distance = nearness::DataCentre;
        config_version version = 0;
        mono_time due; ///< Earliest time of a request to it.
    };

    std::vector<source> m_sources;
    std::optional<mono_time> m_nextQueryAt; ///< No request is sent before this time.
};

} // namespace sequoiawharf
