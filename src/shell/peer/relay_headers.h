#pragma once

#include "src/shell/call_stream.h"
#include "src/shell/peer/peer_identity.h"

#include <tl/expected.hpp>

namespace sequoiawharf
{

/// Errors in the head of a relayed call or of its answer.
enum class relay_head_error {
    Malformed,
    WrongProcess, ///< The head is addressed to, or was sent by, another process than expected.
};

/// A relayed call as received from another instance.
struct relayed_call {
    call_head head;
    peer_identity sender;
};

/// Returns whether the headers of a request belong to a relayed call, as opposed to a control request.
bool isRelayedCall(const header_list &headers);

/// Returns the headers of the HTTP/2 request that relays a call. remaining: time until the deadline of the call.
header_list toRelayRequest(const call_head &call, std::chrono::milliseconds remaining, const peer_identity &self, const peer_identity &receiver);

/// Parses the headers of a relayed call that was received at the given time. Returns WrongProcess when the call is addressed to another process than
/// self.
tl::expected<relayed_call, relay_head_error> readRelayRequest(const header_list &headers, const peer_identity &self, mono_time now);

/// Returns the headers of the HTTP/2 answer.
header_list toRelayAnswer(const answer_head &answer, const peer_identity &self);

/// Parses the headers of the answer to a relayed call. Returns WrongProcess when the answer was sent by another process than the expected one.
tl::expected<answer_head, relay_head_error> readRelayAnswer(const header_list &headers, const peer_identity &expected);

} // namespace sequoiawharf
