#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiawharf
{

/// Returns the text compressed (raw deflate, RFC 1951). Thread safe.
std::string deflated(std::string_view text);

/// Returns the text that was compressed so, or nothing when the bytes are seen to be damaged or the text is longer than the bound. There is no
/// checksum: bytes that were cut may yield a shorter text, so that they must come over something that keeps them whole. Thread safe.
std::optional<std::string> inflated(std::string_view bytes, std::size_t maxTextBytes);

} // namespace sequoiawharf
