#pragma once

#include "src/shell/call_stream.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiawharf
{

/// An answer that the instance gives in place of a target's.
struct refusal {
    unsigned status = 503;
    call_ending ending = call_ending::NotRun;
    call_reason reason = call_reason::None;
    bool callerMayRetry = true;
    std::string sentence; ///< The reason in plain language, without a full stop.
    std::optional<std::chrono::milliseconds> retryAfter; ///< Recommended delay before the caller retries.
};

class call_dialect;

/// Returns the refusal for a call with the ending and reason, with the dialect's status and the reason's default sentence. Thread safe.
refusal makeRefusal(const call_dialect &dialect, call_ending ending, call_reason reason, bool callerMayRetry = true);

/// Sends the refusal as a complete plain text answer. Precondition: the answer was not started.
boost::asio::awaitable<void> sendRefusal(answer_sink &answer, const refusal &reply);

} // namespace sequoiawharf
