#pragma once

#include "sequoiawharf/ids.h"
#include "sequoiawharf/time.h"
#include "src/shell/net/url_query.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiawharf
{

/// What has arrived of an answer so far. Used on the thread of the request.
struct http_progress {
    mono_time lastReceived {}; ///< When the last part arrived; as the owner set it before the first one.
};

/// A complete HTTP request of the control plane; calls do not use it.
struct http_request {
    host_port server;
    std::string method = "GET";
    std::string path = "/"; ///< Sent as it is; may hold a query that needs no encoding when query is empty.
    std::string body;
    std::string contentType = "application/json";
    std::uint64_t maxAnswerBytes = 256U << 20U; ///< A larger answer body fails the request with Lost.
    /// Set: the timeout of the request bounds the time until the first part of the answer, and this one the time between two parts.
    std::optional<std::chrono::milliseconds> stallTimeout {};
    std::shared_ptr<http_progress> progress {}; ///< Updated while the answer arrives; may be null.
    std::string_view wantedField {}; ///< Name of the header field to return with the answer, of static lifetime; empty: none.
    query_parameters query {}; ///< Percent-encoded when the request is sent.
};

/// A complete HTTP answer.
struct http_answer {
    unsigned status = 0;
    std::string body;
    std::string wantedField {}; ///< Value of the header field that the request names; empty when the answer lacks it.
};

/// Errors of fetch().
enum class http_error {
    NotSent, ///< No connection was established, so the server did not receive the request.
    Lost, ///< The connection failed before a complete answer arrived, or its status is invalid; the server may have received the request.
};

/// Sends requests to one server, one after another, on one connection as long as the server keeps it open. Used by one coroutine at a time.
class http_session
{
public:
    /// The executor is that of the coroutines that call fetch().
    http_session(const boost::asio::any_io_executor &executor, host_port server);

    /// Sends the request, whose server is ignored, and returns its answer. Connecting is bounded by the timeout and by 1.5 s; sending and reading
    /// together are bounded by the timeout; with a stallTimeout, the time from the first part of the answer is bounded by 20 s instead. keepOpen: the
    /// connection stays open for another request.
    boost::asio::awaitable<tl::expected<http_answer, http_error>> fetch(http_request request, std::chrono::milliseconds timeout, bool keepOpen);

private:
    using answer_parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    boost::asio::awaitable<bool> connect(std::chrono::milliseconds timeout);
    boost::asio::awaitable<bool>
    readAnswer(answer_parser &parser, std::optional<std::chrono::milliseconds> stallTimeout, std::shared_ptr<http_progress> progress);

    host_port m_server;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    bool m_isOpen = false;
};

/// Sends one request on a new connection and returns its answer. Connecting is bounded by the timeout and by 1.5 s; sending and reading together are
/// bounded by the timeout. Runs on the executor of the calling coroutine.
boost::asio::awaitable<tl::expected<http_answer, http_error>> fetch(http_request request, std::chrono::milliseconds timeout);

/// Runs fetch() and returns its result. Blocks until it has finished and runs an io_context of its own, so it is for programs outside the daemon.
/// Thread safe.
tl::expected<http_answer, http_error> fetchNow(const http_request &request, std::chrono::milliseconds timeout);

} // namespace sequoiawharf
