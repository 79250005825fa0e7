#include "tools/load/caller.h"

#include "src/base/yaml_fields.h"
#include "src/shell/net/http_client.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <fmt/format.h>
#include <ranges>

namespace sequoiawharf::stand_in
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::chrono::seconds kDirectoryTimeout {2};
constexpr std::chrono::seconds kConnectTimeout {2};
constexpr std::chrono::milliseconds kDirectoryRetryInterval {200};
constexpr unsigned kMaxConnectAttempts = 4;

const std::string &fillerBody()
{
    static const std::string filler(16U << 20U, 'x');
    return filler;
}

std::string textOf(const boost::json::object &object, std::string_view key)
{
    const auto *const value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

/// A parsed answer of the directory: addresses, best first, and their lifetime.
struct directory_page {
    std::vector<host_port> entries;
    std::chrono::milliseconds lifetime {0};
};

directory_page parseDirectory(const std::string &text)
{
    directory_page page;
    boost::system::error_code error;
    const auto value = boost::json::parse(text, error);
    if (error || !value.is_object()) {
        return page;
    }
    const auto &root = value.as_object();
    if (const auto *const lifetime = root.if_contains("lifetime_ms"); lifetime != nullptr && lifetime->is_int64()) {
        page.lifetime = std::chrono::milliseconds(lifetime->as_int64());
    }
    const auto *const entries = root.if_contains("entries");
    if (entries == nullptr || !entries->is_array()) {
        return page;
    }
    std::ranges::for_each(entries->as_array(), [&](const boost::json::value &entry) {
        if (const auto address = entry.is_object() ? parseHostPort(textOf(entry.as_object(), "gateway")) : std::nullopt) {
            page.entries.push_back(*address);
        }
    });
    return page;
}

void classifyAnswer(const http::response<http::string_body> &answer, bool direct, call_result &result)
{
    result.status = answer.result_int();
    result.endingText = std::string(answer["Sequoiawharf-Ending"]);
    result.reason = std::string(answer["Sequoiawharf-Reason"]);
    result.callId = std::string(answer["Sequoiawharf-Call"]);
    result.body = answer.body();
    if (result.endingText == "not-run") {
        result.ending = seen_ending::NotRun;
        return;
    }
    if (result.endingText == "unknown") {
        result.ending = seen_ending::Unknown;
        return;
    }
    if (result.endingText.empty() && !direct) {
        result.ending = seen_ending::Refused;
        return;
    }
    result.ending = result.status >= 500 ? seen_ending::ServerError : seen_ending::Answered;
    const bool ownHeader = answer["X-Request-Id"] == result.requestId;
    const bool ownBody = result.status != 200 || answer.body().find(result.requestId) != std::string::npos;
    result.mismatched = !ownHeader || !ownBody;
}

} // namespace

caller::caller(std::string name, const load_options &options, std::uint64_t seed)
    : m_name(std::move(name))
    , m_options(options)
    , m_random(seed)
{
}

asio::awaitable<void> caller::refreshDirectory()
{
    if (m_options.direct || m_options.fixed || m_refreshing || std::chrono::steady_clock::now() < m_entriesUntil) {
        co_return;
    }
    m_refreshing = true;
    for (unsigned tries = 0; tries < kMaxConnectAttempts; ++tries) {
        http_request request;
        const auto known = m_random.below(static_cast<std::uint32_t>(m_options.servers.size()));
        request.server = tries == 0 && !m_entries.empty() ? m_entries.front() : m_options.servers[known];
        request.path = "/.sequoiawharf/directory" + (m_options.near.empty() ? std::string() : "?near=" + m_options.near);
        const auto answer = co_await fetch(std::move(request), kDirectoryTimeout);
        auto page = answer && answer->status == 200 ? parseDirectory(answer->body) : directory_page {};
        if (!page.entries.empty()) {
            m_entries = std::move(page.entries);
            m_entriesUntil = std::chrono::steady_clock::now() + page.lifetime;
            break;
        }
        m_entriesUntil = std::chrono::steady_clock::now() + kDirectoryRetryInterval;
    }
    m_refreshing = false;
}

host_port caller::currentServer()
{
    if (m_options.direct || m_options.fixed || m_entries.empty()) {
        return m_options.servers[m_random.below(static_cast<std::uint32_t>(m_options.servers.size()))];
    }
    return m_entries.front();
}

// Drops the idle connections to a failed server and moves it to the end of the list.
void caller::demoteServer(const host_port &server)
{
    m_idle.erase(server);
    if (!m_entries.empty() && m_entries.front() == server) {
        std::ranges::rotate(m_entries, m_entries.begin() + 1);
    }
}

caller::connection_pointer caller::takeIdle(const host_port &server)
{
    auto &idle = m_idle[server];
    while (!idle.empty()) {
        auto candidate = std::move(idle.back());
        idle.pop_back();
        char byte = 0;
        const auto peeked = ::recv(candidate->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            return candidate;
        }
    }
    return nullptr;
}

asio::awaitable<caller::connection_pointer> caller::open(host_port server)
{
    auto connection = std::make_unique<open_connection>(co_await asio::this_coro::executor);
    connection->server = server;
    connection->stream.expires_after(kConnectTimeout);
    const asio::ip::tcp::endpoint address(asio::ip::make_address(server.host), server.port);
    boost::system::error_code error;
    co_await connection->stream.async_connect(address, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return nullptr;
    }
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
    co_return connection;
}

asio::awaitable<caller::connection_pointer> caller::connect()
{
    for (unsigned tries = 0; tries < kMaxConnectAttempts; ++tries) {
        co_await refreshDirectory();
        const auto server = currentServer();
        if (auto idle = takeIdle(server)) {
            co_return idle;
        }
        if (auto opened = co_await open(server)) {
            co_return opened;
        }
        demoteServer(server);
    }
    co_return nullptr;
}

asio::awaitable<bool> caller::exchange(open_connection &connection, const call_kind &kind, call_result &result)
{
    http::request<http::span_body<const char>> request;
    request.method_string(kind.method);
    request.target(kind.path);
    request.version(11);
    request.set(http::field::host, toString(connection.server));
    request.set("X-Request-Id", result.requestId);
    request.set("Sequoiawharf-Caller", m_name);
    request.body() = {fillerBody().data(), std::min(kind.bodyBytes, fillerBody().size())};
    request.prepare_payload();
    connection.stream.expires_after(m_options.timeout);
    boost::system::error_code writeError;
    co_await http::async_write(connection.stream, request, asio::redirect_error(asio::use_awaitable, writeError));
    boost::system::error_code error;
    http::response_parser<http::string_body> parser;
    parser.body_limit(fillerBody().size());
    co_await http::async_read(connection.stream, connection.buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return false;
    }
    classifyAnswer(parser.get(), m_options.direct, result);
    co_return parser.get().keep_alive() && !writeError;
}

asio::awaitable<call_result> caller::call(const call_kind &kind, std::string requestId)
{
    call_result result;
    result.requestId = std::move(requestId);
    auto connection = co_await connect();
    if (!connection) {
        result.ending = seen_ending::NoConnection;
        co_return result;
    }
    const bool reusable = co_await exchange(*connection, kind, result);
    if (reusable) {
        m_idle[connection->server].push_back(std::move(connection));
    } else if (result.ending == seen_ending::Lost) {
        demoteServer(connection->server);
    }
    co_return result;
}

} // namespace sequoiawharf::stand_in
