#pragma once

#include "sequoiawharf/call_ending.h"

namespace sequoiawharf
{

/// The decision whether a call may be sent to a pool now.
struct admission {
    enum class kind {
        Admitted, ///< The call holds a permit of the pool's concurrency limit until pool_balancer::release().
        Wait, ///< The call may wait for a permit in its thread's call_queue.
        Refused, ///< The call is rejected and ends as not run.
    };

    kind verdict = kind::Admitted;
    call_reason reason = call_reason::None; ///< Meaningful for Refused.
    bool callerMayRetry = true; ///< Meaningful for Refused: false when a retry would add to an overload.
};

} // namespace sequoiawharf
