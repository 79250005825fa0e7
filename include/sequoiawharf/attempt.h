#pragma once

#include "sequoiawharf/call_ending.h"
#include "sequoiawharf/placement_limits.h"
#include "sequoiawharf/route_table.h"
#include "sequoiawharf/time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace sequoiawharf
{

/// The properties of a call on which admission, retries and hedges depend.
struct call_profile {
    route_class priority = route_class::Normal;
    bool idempotent = false;
    bool replayable = false; ///< The request body is in memory as a whole, or there is none, so that it can be sent again.
    mono_time deadline {};
    mono_time objective {}; ///< Time until which an answer meets the latency objective of the route; the epoch: none.
    unsigned depth = 0; ///< Number of calls in the chain of callers above this one.
    std::uint64_t callerHash = 0;
    unsigned maxAttempts = 0; ///< Maximum number of endpoints to which the call may be sent; 0: the pool's own maximum.
    centre_mask centres = kAllCentres; ///< Data centres whose endpoints may serve the call: those of its homes, evacuated ones included.
};

/// How one attempt at one endpoint ended.
enum class attempt_end {
    Answered, ///< The target sent a complete answer with a status below 500.
    ServerError, ///< The target sent a complete answer with status 500 or above.
    Refused, ///< The target stated that it did not run the call.
    ConnectFailed, ///< No connection was made; nothing was sent.
    Lost, ///< The connection failed after part of the request may have been sent.
    BadAnswer, ///< The answer was malformed or shorter than announced.
    TimedOut, ///< The deadline of the call passed.
    Cancelled, ///< The caller closed its connection, another attempt of the call answered first, or the instance stopped.
};

/// The result of one attempt, from which endpoint health, latencies and the call's ending are derived.
struct attempt_outcome {
    attempt_end end = attempt_end::Answered;
    bool requestMayHaveLeft = false; ///< At least one byte of the request may have reached the target.
    bool answerStarted = false; ///< At least one byte of the answer went to the caller.
    bool targetLeaving = false; ///< The answer stated that the target accepts no new work.
    bool otherTarget = false; ///< The answer came from another endpoint that now has the address.
    std::chrono::nanoseconds latency {0}; ///< From the attempt's start to its end.
    std::optional<float> reportedLoad = std::nullopt; ///< Calls running on the target divided by its slots, as reported in its answer.
    double expectedSlowdown = 0; ///< Predicted duration of the call divided by that on an idle endpoint, taken at the choice; 0: endpoint not probed.
};

/// The decision on a call after an attempt that produced no answer to return to the caller, or when no endpoint could be chosen. The members
/// other than step describe how the call ends. They are used if step is Fail, or if step is Relay but the call cannot be relayed.
struct next_step {
    enum class kind {
        Retry, ///< Send the call to another endpoint.
        Relay, ///< Send the call through an instance of another region.
        Await, ///< Wait for another attempt of the call that is still outstanding.
        Fail, ///< End the call with a refusal to the caller.
    };

    kind step = kind::Fail;
    call_ending ending = call_ending::Unknown;
    call_reason reason = call_reason::None;
    bool callerMayRetry = true; ///< False when a retry by the caller would add to an overload.
};

} // namespace sequoiawharf
