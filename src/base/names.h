#pragma once

#include <cstddef>
#include <string_view>

namespace sequoiawharf
{

inline constexpr std::size_t kMaxNameBytes = 200;

/// Returns whether a text holds only printable ASCII characters without blanks, quotes and backslashes. Thread safe.
bool isPrintable(std::string_view text);

/// Returns whether a text may be the name of a table's row, an endpoint or an instance: printable, not empty and of at most kMaxNameBytes. Such a name may
/// stand in a header field, a log line, a metric's label and a page as it is. Thread safe.
bool isName(std::string_view text);

} // namespace sequoiawharf
