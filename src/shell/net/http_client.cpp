#include "src/shell/net/http_client.h"

#include "src/shell/net/http_status.h"
#include "src/shell/net/socket_options.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

// A TCP connection opens within one round trip, or one second later when its first packet is lost. The separate bound keeps a request with a long
// timeout from waiting that long for an unreachable server.
constexpr std::chrono::milliseconds kMaxConnectTime {1500};
constexpr std::size_t kReadBufferBytes = 16U << 10U;
constexpr std::chrono::seconds kMaxTransferTime {20}; // of an answer that keeps arriving; ends one that a faulty server never finishes

http::request<http::string_body> toBeast(http_request &&request, const host_port &server, bool keepOpen)
{
    http::request<http::string_body> out;
    out.method_string(request.method);
    out.target(formatTarget(request.path, request.query));
    out.version(11);
    out.set(http::field::host, toString(server));
    out.set(http::field::content_type, request.contentType);
    out.keep_alive(keepOpen);
    out.body() = std::move(request.body);
    out.prepare_payload();
    return out;
}

} // namespace

http_session::http_session(const asio::any_io_executor &executor, host_port server)
    : m_server(std::move(server))
    , m_stream(executor)
{
}

asio::awaitable<bool> http_session::connect(std::chrono::milliseconds timeout)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(m_server.host, error);
    if (error) {
        co_return false;
    }
    m_stream.close();
    m_buffer.clear();
    m_stream.expires_after(std::min(timeout, kMaxConnectTime));
    const asio::ip::tcp::endpoint server(address, m_server.port);
    co_await m_stream.async_connect(server, asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
        enableDeadPeerDetection(m_stream.socket());
    }
    co_return !error;
}

asio::awaitable<tl::expected<http_answer, http_error>> http_session::fetch(http_request request, std::chrono::milliseconds timeout, bool keepOpen)
{
    if (!m_isOpen) {
        const bool isConnected = co_await connect(timeout);
        if (!isConnected) {
            co_return tl::unexpected(http_error::NotSent);
        }
    }
    m_isOpen = false;
    m_stream.expires_after(timeout);
    const auto maxAnswerBytes = request.maxAnswerBytes;
    const auto stallTimeout = request.stallTimeout;
    const auto progress = std::move(request.progress);
    const auto wantedField = request.wantedField;
    const auto message = toBeast(std::move(request), m_server, keepOpen);
    boost::system::error_code error;
    co_await http::async_write(m_stream, message, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return tl::unexpected(http_error::Lost);
    }
    answer_parser parser;
    parser.body_limit(maxAnswerBytes);
    const bool isComplete = co_await readAnswer(parser, stallTimeout, progress);
    if (!isComplete) {
        co_return tl::unexpected(http_error::Lost);
    }
    m_isOpen = keepOpen && parser.get().keep_alive();
    http_answer answer {parser.get().result_int(), std::move(parser.get().body())};
    if (!wantedField.empty()) {
        answer.wantedField = parser.get()[beast::string_view(wantedField.data(), wantedField.size())];
    }
    co_return answer;
}

// Reads an answer part by part. With a stall timeout, each part that arrives extends the time. Returns whether the answer is complete and its status valid.
asio::awaitable<bool>
http_session::readAnswer(answer_parser &parser, std::optional<std::chrono::milliseconds> stallTimeout, std::shared_ptr<http_progress> progress)
{
    std::optional<mono_time> latestEnd; // counted from the first part, which a long poll may wait for
    boost::system::error_code error;
    m_buffer.reserve(kReadBufferBytes); // else a large answer takes one system call for each 512 bytes
    parser.eager(true);
    while (!error && !parser.is_done()) {
        co_await http::async_read_some(m_stream, m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        const auto now = std::chrono::steady_clock::now();
        if (progress) {
            progress->lastReceived = now;
        }
        if (stallTimeout) {
            latestEnd = latestEnd.value_or(now + kMaxTransferTime);
            m_stream.expires_at(std::min(*latestEnd, now + *stallTimeout));
        }
    }
    co_return !error && isValidStatus(parser.get().result_int());
}

asio::awaitable<tl::expected<http_answer, http_error>> fetch(http_request request, std::chrono::milliseconds timeout)
{
    const auto executor = co_await asio::this_coro::executor;
    http_session session(executor, request.server);
    co_return co_await session.fetch(std::move(request), timeout, false);
}

tl::expected<http_answer, http_error> fetchNow(const http_request &request, std::chrono::milliseconds timeout)
{
    asio::io_context context(1);
    tl::expected<http_answer, http_error> result = tl::unexpected(http_error::NotSent);
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            result = co_await fetch(request, timeout);
        },
        asio::detached);
    context.run();
    return result;
}

} // namespace sequoiawharf
