#pragma once

#include "sequoiawharf/configuration_state.h"
#include "sequoiawharf/heartbeat.h"
#include "sequoiawharf/ids.h"
#include "sequoiawharf/quota_message.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <variant>

namespace sequoiawharf
{

/// Errors in decoding a message between instances.
enum class codec_error {
    Malformed, ///< The bytes do not parse as a message.
    MissingField, ///< A name, an address or the body is missing.
    OutOfRange, ///< A number does not fit its field, or a name is too long or holds a control character.
};

/// Requests the changes after a version. The answer is a change_set.
struct change_request {
    config_version since = 0;

    friend bool operator==(const change_request &, const change_request &) = default;
};

/// Body of a control request and of its answer.
using peer_message = std::variant<heartbeat_message, change_request, change_set, quota_request, quota_grant>;

/// Returns the encoded message. Thread safe.
std::string encode(const peer_message &message);

/// Decodes a message. The bytes may be arbitrary: an invalid message is an error. Thread safe.
tl::expected<peer_message, codec_error> decode(std::string_view bytes);

} // namespace sequoiawharf
