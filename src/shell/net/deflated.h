#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiawharf
{

/// Returns the text compressed (raw deflate, RFC 1951). Thread safe.
std::string deflated(std::string_view text);

/// Returns the text that was compressed so, or nothing when the bytes are damaged or the text is longer than the bound. Thread safe.
std::optional<std::string> inflated(std::string_view bytes, std::size_t maxTextBytes);

} // namespace sequoiawharf
