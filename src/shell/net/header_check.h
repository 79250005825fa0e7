#pragma once

#include <string_view>

namespace sequoiawharf
{

/// Returns why an HTTP header section must be rejected before it is parsed, or an empty text when it is acceptable. Rejects bare line feeds, folded
/// lines, lines without a field name, space before a colon and control characters. Precondition: raw ends with the empty line. Thread safe.
std::string_view rawHeaderFault(std::string_view raw);

} // namespace sequoiawharf
