#include "src/shell/net/page_server.h"

#include "src/shell/net/http_status.h"
#include "src/shell/net/url_query.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <optional>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::chrono::seconds kIdleTimeout {60};
constexpr std::uint64_t kMaxRequestBytes = 64U << 20U;

using reuse_port = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

// Returns nothing when the query is malformed.
std::optional<page_request> toPageRequest(http::request<http::string_body> &&message)
{
    const std::string target(message.target());
    const auto mark = std::min(target.find('?'), target.size());
    auto query = parseQuery(std::string_view(target).substr(std::min(mark + 1, target.size())));
    if (!query) {
        return std::nullopt;
    }
    page_request request;
    request.method = std::string(message.method_string());
    request.path = target.substr(0, mark);
    request.query = std::move(*query);
    request.body = std::move(message.body());
    return request;
}

page_answer badRequest()
{
    return {kBadRequest, "text/plain", "the request is malformed\n"};
}

// Returns whether a read failed because of the bytes that the client sent, rather than because the connection ended.
bool isMalformed(const boost::system::error_code &error)
{
    static const auto &category = make_error_code(http::error::end_of_stream).category();
    return error.category() == category && error != http::error::end_of_stream && error != http::error::partial_message;
}

http::response<http::string_body> toMessage(page_answer &&page, bool keepAlive)
{
    http::response<http::string_body> message;
    message.version(11);
    message.result(page.status);
    message.set(http::field::content_type, page.contentType);
    std::ranges::for_each(page.headers, [&message](const auto &field) {
        message.set(field.first, field.second);
    });
    message.keep_alive(keepAlive);
    message.body() = std::move(page.body);
    message.prepare_payload();
    return message;
}

} // namespace

tl::expected<void, std::string> listenAt(asio::ip::tcp::acceptor &acceptor, const host_port &address)
{
    boost::system::error_code error;
    const auto host = asio::ip::make_address(address.host, error);
    const asio::ip::tcp::endpoint endpoint(host, address.port);
    const auto step = [&](auto &&action) {
        if (!error) {
            action();
        }
    };
    step([&] {
        acceptor.open(endpoint.protocol(), error);
    });
    step([&] {
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    });
    step([&] {
        acceptor.set_option(reuse_port(true), error);
    });
    step([&] {
        acceptor.bind(endpoint, error);
    });
    step([&] {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    });
    if (error) {
        return tl::unexpected(fmt::format("address {} cannot be listened at: {}", toString(address), error.message()));
    }
    return {};
}

page_server::page_server(asio::io_context &context)
    : m_acceptor(context)
{
}

void page_server::add(std::string path, handler page)
{
    m_pages.insert_or_assign(std::move(path), std::move(page));
}

void page_server::addDefault(handler page)
{
    m_default = std::move(page);
}

tl::expected<void, std::string> page_server::start(const host_port &address)
{
    auto listening = listenAt(m_acceptor, address);
    if (listening) {
        asio::co_spawn(m_acceptor.get_executor(), acceptLoop(), asio::detached);
    }
    return listening;
}

void page_server::stop()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

asio::awaitable<void> page_server::acceptLoop()
{
    while (m_acceptor.is_open()) {
        boost::system::error_code error;
        auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }
}

asio::awaitable<void> page_server::serve(asio::ip::tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    boost::system::error_code error;
    bool keepAlive = true;
    while (keepAlive) {
        stream.expires_after(kIdleTimeout);
        http::request_parser<http::string_body> parser;
        parser.body_limit(kMaxRequestBytes);
        co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error && !isMalformed(error)) {
            co_return;
        }
        keepAlive = !error && parser.get().keep_alive();
        const auto request = error ? std::nullopt : toPageRequest(parser.release());
        page_answer page = badRequest();
        if (request) {
            page = co_await answer(*request);
        }
        if (page.dropConnection) {
            co_return;
        }
        const auto message = toMessage(std::move(page), keepAlive);
        stream.expires_after(kIdleTimeout);
        co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
    }
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
}

asio::awaitable<page_answer> page_server::answer(const page_request &request)
{
    const auto page = m_pages.find(request.path);
    if (page != m_pages.end()) {
        co_return co_await page->second(request);
    }
    if (m_default) {
        co_return co_await m_default(request);
    }
    co_return page_answer {404, "text/plain", fmt::format("page {} does not exist\n", request.path)};
}

} // namespace sequoiawharf
