#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiawharf
{

/// Returns the compressed text (raw deflate, RFC 1951). Thread safe.
std::string deflated(std::string_view text);

/// Returns the text that deflated() compressed, or nothing when the bytes are not a valid stream or the text is longer than maxTextBytes. Raw deflate
/// has no checksum, and truncated bytes may yield a shorter text; the transport must deliver the bytes unaltered. Thread safe.
std::optional<std::string> inflated(std::string_view bytes, std::size_t maxTextBytes);

/// Returns a form of the JSON text for another instance, which is compressed when the text is long. Precondition: the text is a JSON object or array.
/// Thread safe.
std::string packedJson(std::string text);

/// Returns the text that packedJson() was given, or nothing when the bytes are damaged. Thread safe.
std::optional<std::string> unpackedJson(std::string_view bytes);

} // namespace sequoiawharf
