#pragma once

#include "sequoiawharf/ids.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace sequoiawharf
{

/// A complete HTTP request of the control plane; calls do not use it.
struct http_request {
    host_port server;
    std::string method = "GET";
    std::string path = "/";
    std::string body;
    std::string contentType = "application/json";
    std::uint64_t maxAnswerBytes = 256U << 20U; ///< A larger answer body fails the request with Lost.
};

/// A complete HTTP answer.
struct http_answer {
    unsigned status = 0;
    std::string body;
};

/// Errors of fetch().
enum class http_error {
    NotSent, ///< No connection was established, so the server did not receive the request.
    Lost, ///< The connection failed before a complete answer arrived; the server may have received the request.
};

/// Sends one request on a new connection and returns its answer. Connecting is bounded by the timeout and by 1.5 s; sending and reading together are
/// bounded by the timeout. Runs on the executor of the calling coroutine.
boost::asio::awaitable<tl::expected<http_answer, http_error>> fetch(http_request request, std::chrono::milliseconds timeout);

/// Runs fetch() and returns its result. Blocks until it has finished and runs an io_context of its own, so it is for programs outside the daemon.
/// Thread safe.
tl::expected<http_answer, http_error> fetchNow(const http_request &request, std::chrono::milliseconds timeout);

} // namespace sequoiawharf
