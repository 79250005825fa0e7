#include "src/base/names.h"

#include <algorithm>

namespace sequoiawharf
{

bool isPrintable(std::string_view text)
{
    return std::ranges::all_of(text, [](char c) {
        return c > ' ' && c < '\x7f' && c != '"' && c != '\\';
    });
}

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= kMaxNameBytes && isPrintable(text);
}

} // namespace sequoiawharf
