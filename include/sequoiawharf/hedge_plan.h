#pragma once

#include <chrono>
#include <optional>

namespace sequoiawharf
{

/// What is known of a call and its pool when the first attempt is sent.
struct hedge_conditions {
    std::chrono::nanoseconds slowLatency {0}; ///< Latency that only the allowed share of the pool's calls exceeds.
    std::chrono::nanoseconds unloadedLatency {0}; ///< Average latency of a call at an idle endpoint; 0 means unknown.
    std::chrono::nanoseconds timeToObjective {0}; ///< Time until the answer misses the latency objective; 0: none, or missed.
    std::chrono::nanoseconds timeToDeadline {0};
};

/// Returns the delay after which a call is sent to a second endpoint, or nothing when the second answer would come too late. Normally that is the latency
/// that few calls exceed. A hedge goes out earlier where only that lets its answer meet the objective, but never before the call has taken one and a half times
/// the unloaded latency. Thread safe.
std::optional<std::chrono::nanoseconds> planHedge(const hedge_conditions &conditions);

} // namespace sequoiawharf
