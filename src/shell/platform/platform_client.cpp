#include "src/shell/platform/platform_client.h"

#include "src/shell/net/http_client.h"
#include "src/shell/platform/platform_json.h"

#include <cassert>
#include <fmt/format.h>

namespace sequoiawharf
{

namespace
{

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusUnavailable = 503;

} // namespace

std::string_view toString(platform_error error)
{
    switch (error) {
    case platform_error::Unavailable:
        return "the platform's service is unavailable";
    case platform_error::AnswerLost:
        return "the answer of the platform's service was lost";
    case platform_error::Malformed:
        return "the platform's service gave an invalid answer";
    }
    return "unknown error";
}

platform_client::platform_client(std::vector<host_port> addresses, std::chrono::milliseconds timeout)
    : m_addresses(std::move(addresses))
    , m_timeout(timeout)
{
    assert(!m_addresses.empty());
}

platform_awaitable<log_offset> platform_client::append(std::string data)
{
    auto answer = co_await request("POST", "/log/append", std::move(data), m_timeout);
    if (!answer) {
        co_return tl::unexpected(answer.error());
    }
    co_return parseAppended(*answer);
}

platform_awaitable<log_page> platform_client::read(log_offset from, unsigned max, std::chrono::milliseconds wait)
{
    auto path = fmt::format("/log/read?from={}&max={}&wait_ms={}", from, max, wait.count());
    auto answer = co_await request("GET", std::move(path), std::string(), m_timeout + wait);
    if (!answer) {
        co_return tl::unexpected(answer.error());
    }
    co_return parsePage(*answer);
}

platform_awaitable<std::vector<listed_instance>> platform_client::instances()
{
    auto answer = co_await request("GET", "/instances", std::string(), m_timeout);
    if (!answer) {
        co_return tl::unexpected(answer.error());
    }
    co_return parseInstances(*answer);
}

// Tries the next address only when the request was not sent or the service answered 503, since a request whose answer was lost may have taken
// effect. A later request starts at the address after the one that failed.
platform_awaitable<std::string> platform_client::request(std::string method, std::string path, std::string body, std::chrono::milliseconds timeout)
{
    for (std::size_t tried = 0; tried < m_addresses.size(); ++tried) {
        http_request message;
        message.server = m_addresses[m_current];
        message.method = method;
        message.path = path;
        message.body = body;
        auto answer = co_await fetch(std::move(message), timeout);
        if (answer && answer->status == kStatusOk) {
            co_return std::move(answer->body);
        }
        if (answer && answer->status != kStatusUnavailable) {
            co_return tl::unexpected(platform_error::Malformed);
        }
        m_current = (m_current + 1) % m_addresses.size();
        if (!answer && answer.error() == http_error::Lost) {
            co_return tl::unexpected(platform_error::AnswerLost);
        }
    }
    co_return tl::unexpected(platform_error::Unavailable);
}

} // namespace sequoiawharf
