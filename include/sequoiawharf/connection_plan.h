#pragma once

#include "sequoiawharf/attempt.h"

#include <chrono>
#include <cstdint>

namespace sequoiawharf
{

/// The bounds on the connections of one instance to one endpoint.
struct connection_plan {
    std::uint32_t maxOpen = 1; ///< Maximum number of open connections.
    std::uint32_t warm = 1; ///< Number of connections, idle ones included, to keep open in advance of calls.
};

/// Returns this instance's share of an endpoint's connections. maxConnections: what the endpoint accepts in all; instances: the number of instances
/// that call it; peakInFlight: the recent maximum of this instance's calls in flight at the endpoint. Thread safe.
connection_plan planConnections(std::uint32_t maxConnections, unsigned instances, std::uint32_t peakInFlight);

/// Returns whether a connection that last carried an answer idleFor ago may carry the call. A call that must not run twice, or whose request cannot be
/// sent again, goes out only on a new connection or on one that answered a moment ago. Thread safe.
bool mayReuseConnection(const call_profile &call, std::chrono::nanoseconds idleFor);

} // namespace sequoiawharf
