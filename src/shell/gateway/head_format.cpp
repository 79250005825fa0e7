#include "src/shell/gateway/head_format.h"

#include "src/shell/gateway/call_dialect.h"

#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace sequoiawharf
{

namespace
{

namespace http = boost::beast::http;

void appendFields(std::string &out, const header_list &fields)
{
    std::ranges::for_each(fields, [&](const header_field &field) {
        appendField(out, field.name, field.value);
    });
}

// A request without Content-Length and Transfer-Encoding has no body, so a length of 0 is sent only for methods that usually carry a body.
bool announcesBody(const call_head &head)
{
    return !head.contentLength || *head.contentLength > 0 || head.method == "POST" || head.method == "PUT" || head.method == "PATCH";
}

} // namespace

void appendField(std::string &out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

void appendNumber(std::string &out, std::string_view name, std::uint64_t value)
{
    appendField(out, name, fmt::format_int(value).c_str());
}

void appendRequestHead(std::string &out, const call_dialect &dialect, const call_head &head, std::string_view identity, std::chrono::milliseconds remaining)
{
    out.append(head.method).append(" ").append(head.path).append(" HTTP/1.1\r\n");
    appendFields(out, head.headers);
    if (!head.contentLength) {
        appendField(out, "Transfer-Encoding", "chunked");
    } else if (announcesBody(head)) {
        appendNumber(out, "Content-Length", *head.contentLength);
    }
    dialect.appendRequestFields(out, head, identity, remaining);
    out.append("\r\n");
}

void appendAnswerHead(std::string &out, const call_dialect &dialect, const answer_head &head, const answer_framing &framing)
{
    const auto phrase = http::obsolete_reason(static_cast<http::status>(head.status));
    fmt::format_to(std::back_inserter(out), "HTTP/1.1 {} {}\r\n", head.status, std::string_view(phrase.data(), phrase.size()));
    appendFields(out, head.headers);
    if (framing.chunked) {
        appendField(out, "Transfer-Encoding", "chunked");
    } else if (head.contentLength && !framing.omitsLength) {
        appendNumber(out, "Content-Length", *head.contentLength);
    }
    if (framing.close) {
        appendField(out, "Connection", "close");
    }
    dialect.appendAnswerFields(out, head, framing.id, framing.label);
    out.append("\r\n");
}

} // namespace sequoiawharf
