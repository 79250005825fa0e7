#pragma once

#include "sequoiawharf/call_ending.h"
#include "sequoiawharf/route_table.h"
#include "sequoiawharf/time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace sequoiawharf
{

/// What the decisions need to know of a call.
struct call_profile {
    route_class priority = route_class::Normal;
    bool idempotent = false;
    bool replayable = false; ///< The request's body is held whole, or there is none.
    mono_time deadline {};
    unsigned depth = 0; ///< Number of calls above this one.
    std::uint64_t callerHash = 0;
    unsigned maxAttempts = 0; ///< Most endpoints that the call may be sent to; 0: as many as the pool allows.
};

/// How one attempt at one endpoint ended.
enum class attempt_end {
    Answered, ///< A whole answer with a status that is the caller's to read.
    ServerError, ///< A whole answer with status 500 or above.
    Refused, ///< The target says that it did not run the call.
    ConnectFailed, ///< No connection was made; nothing was sent.
    Lost, ///< The connection failed after part of the request may have left.
    BadAnswer, ///< The answer was malformed or shorter than announced.
    TimedOut, ///< The attempt's time passed.
    Cancelled, ///< The caller left, or another attempt won.
};

/// The evidence that one attempt leaves.
struct attempt_outcome {
    attempt_end end = attempt_end::Answered;
    bool requestMayHaveLeft = false; ///< At least one byte of the request may have reached the target.
    bool answerStarted = false; ///< At least one byte of the answer went to the caller.
    bool targetLeaving = false; ///< The answer said that the target takes no new work.
    bool otherTarget = false; ///< Another endpoint answered at the address.
    std::chrono::nanoseconds latency {0}; ///< From the attempt's start to its end.
    std::optional<float> reportedLoad = std::nullopt; ///< Calls on the target over its slots, as its answer said.
    double expectedSlowdown = 0; ///< What the endpoint's load let expect when it was chosen, over an idle one's; 0: it was not asked.
};

/// What to do after an attempt that gave no answer to hand on. The other members say how the call ends for Fail, and for a Relay that cannot be made.
struct next_step {
    enum class kind {
        Retry, ///< Choose another endpoint and try there.
        Relay, ///< Hand the call to an instance of another region.
        Await, ///< Another attempt of the call is still outstanding; its end decides.
        Fail, ///< Tell the caller.
    };

    kind step = kind::Fail;
    call_ending ending = call_ending::Unknown;
    call_reason reason = call_reason::None;
    bool callerMayRetry = true; ///< False when a repeat would add to an overload.
};

} // namespace sequoiawharf
