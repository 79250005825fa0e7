#pragma once

#include "sequoiawharf/probe_choice.h"
#include "sequoiawharf/time.h"

#include <chrono>
#include <optional>

namespace sequoiawharf
{

/// The times and queue figures that the placement of a call depends on, besides the endpoints.
struct call_timing {
    mono_time now {};
    mono_time objectiveAt {}; ///< Time until which the answer meets the route's latency objective.
    mono_time deadline {};
    mono_time stopAt = mono_time::max(); ///< Time by which the instance must have answered all calls because it stops.
    mono_time arrived {}; ///< When the request had been read, including the held part of its body.
    mono_time lastArrival = mono_time::max(); ///< Time after which a stopping instance takes only calls whose deadline is before stopAt.
    std::chrono::nanoseconds unloadedLatency {0}; ///< Average latency of the pool's calls at an idle endpoint; 0 means unknown.
    std::size_t callsAhead = 0; ///< Calls of the pool that are already waiting on this thread.
    double slotsFreedPerSecond = 0; ///< Recent rate at which the pool's slots become free for this thread's calls; 0 means unknown.
};

/// The decision on a call that is to be sent to an endpoint.
struct placement {
    enum class kind {
        Send, ///< Send it to the best candidate.
        Wait, ///< Queue it until an endpoint has a slot and is neither slow nor nearly full.
        Refuse, ///< Refuse it, because it cannot end before its deadline or before the instance stops.
    };

    kind decision = kind::Send;
    mono_time until {}; ///< For Wait: time at which the call is placed again.
    bool isLate = false; ///< The call can no longer meet its objective and is queued behind the calls that can.
};

/// Returns whether the endpoint is healthy and can take a call now without being slow or slowing down the calls that it is serving. Thread safe.
bool isUncongested(const probed_endpoint &candidate);

/// Returns whether the instance stops before a call that is sent now has surely ended, although its deadline is later, so that another instance can
/// still serve it. A call that arrived after lastArrival may take until its deadline, an earlier one a multiple of the unloaded latency. Thread safe.
bool isStopTooNear(const call_timing &timing);

/// Decides whether a call is sent, queued or refused. best: the best probed candidate, if any. A nearly full endpoint serves all its calls more
/// slowly, so under load all calls gain when each waits for an uncongested endpoint as long as it can still meet its objective or else its deadline.
/// Thread safe.
placement placeCall(const std::optional<probed_endpoint> &best, const call_timing &timing);

} // namespace sequoiawharf
