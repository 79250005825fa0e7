#pragma once

#include "sequoiawharf/attempt.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>

namespace sequoiawharf
{

/// What an endpoint says of itself at this moment.
struct endpoint_load {
    std::uint32_t running = 0; ///< Calls in its slots.
    std::uint32_t waiting = 0; ///< Calls in its queue.
    std::uint32_t slots = 1; ///< Never 0.
    double slowdown = 1; ///< How long work takes there now, over the usual time.
};

/// How far an endpoint is from this instance.
enum class distance { DataCentre, Region, Far };

/// How a probe ended.
enum class probe_end {
    Healthy, ///< The endpoint takes work.
    Unhealthy, ///< It says that it fails or leaves.
    OtherTarget, ///< Another endpoint answered at the address.
    Unreachable, ///< No connection was made.
    Unanswered, ///< No answer came.
};

/// The answer of one endpoint that was asked before a send.
struct probed_endpoint {
    std::uint32_t index = 0; ///< Within its pool.
    distance distanceClass = distance::DataCentre;
    bool healthy = true; ///< The endpoint takes itself for healthy and is not leaving.
    bool cold = false; ///< It started a moment ago and is slow still.
    endpoint_load load {};
};

/// Expected time up to which an endpoint is neither slow nor nearly full.
inline constexpr double kCalmTime = 1.5;

/// Returns how long a call sent now takes there, over the time that it takes on an idle endpoint. Thread safe.
double expectedSlowdown(const probed_endpoint &seen);

/// Returns the position of the endpoint to send to, or nothing when none is asked or well. largeBody: bytes weigh more than time, so that a near
/// endpoint wins unless it is full. Thread safe.
std::optional<std::size_t> selectProbedEndpoint(std::span<const probed_endpoint> seen, bool largeBody);

/// Tells whether endpoints of other data centres should be asked too, since the best one so far is slow or full. Thread safe.
bool shouldProbeFarther(std::span<const probed_endpoint> seen, bool largeBody);

} // namespace sequoiawharf
