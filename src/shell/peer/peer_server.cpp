#include "src/shell/peer/peer_server.h"

#include "src/shell/net/http_status.h"
#include "src/shell/net/log.h"
#include "src/shell/net/page_server.h"
#include "src/shell/peer/peer_stream.h"
#include "src/shell/peer/relay_headers.h"
#include "src/shell/peer/relay_stream.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;

constexpr std::string_view kPeerPart = "peer";
constexpr std::size_t kMaxControlBytes = 1U << 20U;
constexpr std::chrono::seconds kControlTimeout {10};
constexpr unsigned kTooLarge = 413;

/// Reads the body of a control request. The error is the HTTP status to answer with, or 0 when the read failed or timed out.
asio::awaitable<tl::expected<std::string, unsigned>> readControlBody(peer_stream &stream, mono_time until)
{
    std::string body;
    std::array<char, 4096> buffer {};
    while (true) {
        const auto size = co_await stream.read(buffer, until);
        if (!size) {
            co_return tl::unexpected(0U);
        }
        if (*size == 0) {
            co_return body;
        }
        if (body.size() + *size > kMaxControlBytes) {
            co_return tl::unexpected(kTooLarge);
        }
        body.append(buffer.data(), *size);
    }
}

} // namespace

/// State of one accepted connection.
struct peer_server::connection {
    std::optional<peer_identity> sender; ///< Set by the first relayed call; later calls must have the same sender.
};

control_handler runOn(asio::io_context &context, control_handler handler)
{
    return [&context, handler = std::move(handler)](std::string request) -> asio::awaitable<tl::expected<std::string, unsigned>> {
        co_return co_await asio::co_spawn(context, handler(std::move(request)), asio::use_awaitable);
    };
}

peer_server::peer_server(asio::io_context &context, peer_services services)
    : m_context(context)
    , m_acceptor(context)
    , m_services(std::move(services))
{
}

tl::expected<void, std::string> peer_server::start(const host_port &address)
{
    auto listening = listenAt(m_acceptor, address);
    if (listening) {
        asio::co_spawn(m_context, acceptLoop(), asio::detached);
    }
    return listening;
}

void peer_server::stop()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    std::ranges::for_each(m_sessions, [](const auto &weak) {
        if (const auto session = weak.lock()) {
            session->stop();
        }
    });
}

void peer_server::close()
{
    stop();
    std::ranges::for_each(m_sessions, [](const auto &weak) {
        if (const auto session = weak.lock()) {
            session->close();
        }
    });
}

std::size_t peer_server::streamCount() const
{
    std::size_t count = 0;
    std::ranges::for_each(m_sessions, [&](const auto &weak) {
        const auto session = weak.lock();
        count += session ? session->streamCount() : 0;
    });
    return count;
}

asio::awaitable<void> peer_server::acceptLoop()
{
    while (m_acceptor.is_open()) {
        boost::system::error_code error;
        auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            continue;
        }
        std::erase_if(m_sessions, [](const auto &weak) {
            return weak.expired();
        });
        const auto from = std::make_shared<connection>();
        m_sessions.push_back(
            peer_session::start(std::move(socket), peer_session::side::Server, m_services.traffic, [this, from](std::shared_ptr<peer_stream> stream) {
                accept(from, std::move(stream));
            }));
    }
}

void peer_server::accept(const std::shared_ptr<connection> &from, std::shared_ptr<peer_stream> stream)
{
    if (isRelayedCall(stream->head())) {
        return acceptRelay(*from, stream);
    }
    asio::co_spawn(m_context, serveControl(std::move(stream)), asio::detached);
}

void peer_server::acceptRelay(connection &from, const std::shared_ptr<peer_stream> &stream)
{
    auto call = readRelayRequest(stream->head(), m_services.self, std::chrono::steady_clock::now());
    const bool sameSender = call && (!from.sender || *from.sender == call->sender);
    if (!sameSender || m_services.calls == nullptr) {
        logTo(log_level::Warning, kPeerPart, "Relayed call refused. known={} sender={}", call.has_value(), call ? call->sender.instance.str() : "");
        return stream->reset(NGHTTP2_REFUSED_STREAM);
    }
    from.sender = call->sender;
    asio::co_spawn(m_context, serveRelay(stream, std::move(call->head)), asio::detached);
}

asio::awaitable<void> peer_server::serveControl(std::shared_ptr<peer_stream> stream)
{
    const auto until = std::chrono::steady_clock::now() + kControlTimeout;
    tl::expected<std::string, unsigned> answer = tl::unexpected(kNotFound);
    if (m_services.control && findHeader(stream->head(), ":path") == "/control") {
        answer = co_await readControlBody(*stream, until);
    }
    if (answer) {
        answer = co_await m_services.control(std::move(*answer));
    }
    const unsigned status = answer ? 200U : answer.error();
    if (status == 0) {
        co_return stream->reset(NGHTTP2_CANCEL);
    }
    const header_list head {{":status", fmt::to_string(status)}};
    stream->respond(head);
    if (answer && !answer->empty()) {
        co_await stream->write(*answer, until);
    }
    stream->finish();
}

asio::awaitable<void> peer_server::serveRelay(std::shared_ptr<peer_stream> stream, call_head head)
{
    const auto until = head.received + head.callerTimeout.value_or(std::chrono::minutes(10));
    const auto priority = m_services.classify ? m_services.classify(head) : route_class::Normal;
    relayed_body body(stream, until);
    relayed_answer answer(stream, m_services.self, m_services.pacer, priority, until);
    co_await m_services.calls->handle(std::move(head), body, answer);
    stream->onGone({});
    if (!answer.ended()) {
        answer.abort();
    }
}

} // namespace sequoiawharf
