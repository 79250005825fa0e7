#pragma once

#include "src/shell/call_stream.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiawharf
{

class call_dialect;

/// Framing and identification of an answer, beside the target's own fields.
struct answer_framing {
    call_id id = 0;
    std::string_view label; ///< The caller's name for the call.
    bool close = false; ///< The connection closes after the answer.
    bool chunked = false;
    bool omitsLength = false; ///< The status allows no Content-Length field.
};

/// Appends a header field. Thread safe.
void appendField(std::string &out, std::string_view name, std::string_view value);

/// Appends a header field with a decimal number as its value. Thread safe.
void appendNumber(std::string &out, std::string_view name, std::uint64_t value);

/// Appends the head of a request to a target: the end-to-end fields, the framing and the dialect's fields. identity: the name by which the endpoint
/// identifies itself; remaining: time until the call's deadline. Thread safe.
void appendRequestHead(std::string &out, const call_dialect &dialect, const call_head &head, std::string_view identity, std::chrono::milliseconds remaining);

/// Appends the head of an answer to a caller. Thread safe.
void appendAnswerHead(std::string &out, const call_dialect &dialect, const answer_head &head, const answer_framing &framing);

} // namespace sequoiawharf
