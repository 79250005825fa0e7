#pragma once

#include <cstddef>
#include <string_view>

namespace sequoiawharf
{

/// How a call ended, as reported to the caller.
enum class call_ending {
    Answered, ///< The caller received the complete answer of a target.
    NotRun, ///< No target ran the call, and none will run it.
    Unknown, ///< A target may have run the call, but no complete answer was received.
};

/// Why a call was refused or failed. Instances tell each other the names, so that reasons of later builds are unknown to earlier ones.
enum class call_reason {
    None,
    BadRequest,
    NoRoute,
    NotReady,
    Overloaded,
    CallerOverShare,
    DeadlineTooShort,
    NoTarget,
    TargetsResting,
    TargetRefused,
    ConnectFailed,
    ConnectionLost,
    BadAnswer,
    DeadlinePassed,
    CallerGone,
    LinkUnavailable,
    Stopping,
    UnknownKey,
    ConfigurationStale,
    QuotaExceeded,
};

inline constexpr std::size_t kCallReasonCount = static_cast<std::size_t>(call_reason::QuotaExceeded) + 1;

/// Returns "answered", "not-run" or "unknown". Thread safe.
std::string_view toString(call_ending ending);

/// Returns the reason's name in lower case with hyphens, such as "deadline-passed". Thread safe.
std::string_view toString(call_reason reason);

} // namespace sequoiawharf
