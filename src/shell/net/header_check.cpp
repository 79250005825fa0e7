#include "src/shell/net/header_check.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

bool isControl(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return (byte < 0x20 && c != '\t') || byte == 0x7f;
}

std::string_view lineFault(std::string_view line, bool isFirst)
{
    if (std::ranges::any_of(line, isControl)) {
        return "the header holds a control character or a bare line feed";
    }
    if (isFirst || line.empty()) {
        return {};
    }
    if (line.front() == ' ' || line.front() == '\t') {
        return "the header folds a line";
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0) {
        return "a header line names no field";
    }
    if (line[colon - 1] == ' ' || line[colon - 1] == '\t') {
        return "a header line has space before its colon";
    }
    return {};
}

} // namespace

std::string_view rawHeaderFault(std::string_view raw)
{
    bool isFirst = true;
    while (!raw.empty()) {
        const auto end = raw.find("\r\n");
        const auto fault = lineFault(raw.substr(0, end), isFirst);
        if (!fault.empty()) {
            return fault;
        }
        raw.remove_prefix(end == std::string_view::npos ? raw.size() : end + 2);
        isFirst = false;
    }
    return {};
}

} // namespace sequoiawharf
