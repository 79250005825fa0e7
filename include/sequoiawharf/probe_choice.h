#pragma once

#include "sequoiawharf/attempt.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>

namespace sequoiawharf
{

/// The current load of an endpoint as it reports it.
struct endpoint_load {
    std::uint32_t running = 0; ///< Calls being served.
    std::uint32_t waiting = 0; ///< Calls in the endpoint's queue.
    std::uint32_t slots = 1; ///< Calls that the endpoint serves in parallel; never 0.
    double slowdown = 1; ///< Current service time divided by the usual one.
};

/// Distance of an endpoint from this instance: in the same data centre, in the same region, or in another region.
enum class distance { DataCentre, Region, Far };

/// The result of a probe.
enum class probe_end {
    Healthy, ///< The endpoint accepts calls.
    Unhealthy, ///< The endpoint reports that it is failing or leaving.
    OtherTarget, ///< Another endpoint answered at the address.
    Unreachable, ///< No connection could be made.
    Unanswered, ///< No answer came.
};

/// An endpoint that answered a probe, and its answer.
struct probed_endpoint {
    std::uint32_t index = 0; ///< Index within its pool.
    distance distanceClass = distance::DataCentre;
    bool healthy = true; ///< The endpoint reports itself as healthy and not leaving.
    bool cold = false; ///< The endpoint started recently and is still slow.
    endpoint_load load {};
};

/// Highest expected slowdown at which an endpoint counts as neither slow nor nearly full.
inline constexpr double kMaxUncongestedSlowdown = 1.5;

/// Returns the expected latency of a call that is sent to the endpoint now, divided by that at an idle endpoint. Thread safe.
double expectedSlowdown(const probed_endpoint &candidate);

/// Returns the position of the candidate with the lowest cost, or nothing when no candidate is healthy. The cost is the expected slowdown plus a
/// penalty for the distance; with largeBody the penalty is so high that a nearer endpoint wins unless it is overloaded. Thread safe.
std::optional<std::size_t> selectProbedEndpoint(std::span<const probed_endpoint> candidates, bool largeBody);

/// Returns whether endpoints at a larger distance should be probed too, because no candidate is healthy or the best one is slow or full. Thread safe.
bool shouldProbeFarther(std::span<const probed_endpoint> candidates, bool largeBody);

} // namespace sequoiawharf
