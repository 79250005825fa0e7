#pragma once

#include "sequoiawharf/ids.h"
#include "sequoiawharf/random_source.h"
#include "sequoiawharf/time.h"

#include <chrono>
#include <optional>
#include <vector>

namespace sequoiawharf
{

/// How far an instance is, in the order in which changes are asked for.
enum class nearness { DataCentre, Region, Far };

/// A request for the changes since a version.
struct change_query {
    host_port to;
    nearness distance = nearness::DataCentre;
    config_version since = 0;
};

/// Decides when an instance that heard of a newer configuration asks for it, and whom. One request is on the way at a time; near instances
/// are asked first, and across regions only after a while, so that one instance fetches a change and the others get it from there.
/// Owns no socket or clock. Not thread safe.
class config_follower
{
public:
    /// Notes that an instance has a version.
    void heard(const host_port &peer, nearness distance, config_version version, mono_time now, random_source &random);

    /// Returns the request that is due, or nothing. The request counts as on the way until answered() or for a while.
    std::optional<change_query> next(config_version own, mono_time now);

    /// Notes that the request's answer came, or, with failed, that none will.
    void finishQuery(const change_query &ask, bool failed, mono_time now);

    /// Tells whether an instance is known that has a newer version.
    bool isBehind(config_version own) const;

private:
    struct source {
        host_port peer;
        nearness distance = nearness::DataCentre;
        config_version version = 0;
        mono_time due; ///< Not asked before.
    };

    std::vector<source> m_sources;
    std::optional<mono_time> m_askedUntil;
};

} // namespace sequoiawharf
