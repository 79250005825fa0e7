#include "src/shell/peer/peer_session.h"

#include "src/shell/net/log.h"
#include "src/shell/peer/peer_callbacks.h"
#include "src/shell/peer/peer_stream.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <netinet/tcp.h>
#include <ranges>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;
using clock = std::chrono::steady_clock;

constexpr std::string_view kSessionPart = "peer";
constexpr std::int32_t kStreamWindowBytes = 128 << 10;
constexpr std::int32_t kConnectionWindowBytes = 1 << 20;
constexpr std::uint32_t kMaxStreams = 512;
constexpr std::size_t kReadBufferBytes = 32U << 10U;
constexpr std::size_t kWriteBatchBytes = 16U << 10U;
constexpr int kMaxUnsentBytes = 16 << 10;
constexpr std::chrono::milliseconds kLivenessCheckInterval {250};
/// Time with open streams and without received bytes after which a ping is sent, and after the ping without a reply the session closes.
constexpr std::chrono::milliseconds kSilenceTimeout {1000};
constexpr std::chrono::hours kWriteIdleWait {1};

using unsent_limit = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;

std::vector<nghttp2_nv> toNv(const header_list &headers)
{
    std::vector<nghttp2_nv> out(headers.size());
    std::ranges::transform(headers, out.begin(), [](const header_field &field) {
        // nghttp2 copies names and values and does not modify them, but its parameters are not const.
        auto *name = reinterpret_cast<std::uint8_t *>(const_cast<char *>(field.name.data()));
        auto *value = reinterpret_cast<std::uint8_t *>(const_cast<char *>(field.value.data()));
        return nghttp2_nv {name, value, field.name.size(), field.value.size(), NGHTTP2_NV_FLAG_NONE};
    });
    return out;
}

} // namespace

std::shared_ptr<peer_session> peer_session::start(asio::ip::tcp::socket socket, side role, std::shared_ptr<peer_traffic> traffic, stream_acceptor accept)
{
    auto session = std::make_shared<peer_session>(std::move(socket), role, std::move(traffic), std::move(accept));
    const auto executor = session->m_socket.get_executor();
    session->sendSettings();
    asio::co_spawn(executor, session->readLoop(), asio::detached);
    asio::co_spawn(executor, session->writeLoop(), asio::detached);
    asio::co_spawn(executor, session->livenessLoop(), asio::detached);
    return session;
}

peer_session::peer_session(asio::ip::tcp::socket socket, side role, std::shared_ptr<peer_traffic> traffic, stream_acceptor accept)
    : m_socket(std::move(socket))
    , m_role(role)
    , m_traffic(std::move(traffic))
    , m_accept(std::move(accept))
    , m_session(callbacks::makeSession(role, this))
    , m_lastReceived(clock::now())
    , m_pingSent(mono_time::min())
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_socket.set_option(unsent_limit(kMaxUnsentBytes), ignored);
}

peer_session::~peer_session()
{
    nghttp2_session_del(m_session);
}

void peer_session::sendSettings()
{
    const std::array<nghttp2_settings_entry, 3> entries {{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxStreams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes},
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    }};
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, entries.data(), entries.size());
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, kConnectionWindowBytes);
}

std::shared_ptr<peer_stream> peer_session::open(const header_list &headers, bool withBody)
{
    if (!isUsable()) {
        return nullptr;
    }
    const auto fields = toNv(headers);
    nghttp2_data_provider provider {};
    provider.read_callback = callbacks::fillBody;
    const auto id = nghttp2_submit_request(m_session, nullptr, fields.data(), fields.size(), withBody ? &provider : nullptr, nullptr);
    if (id < 0) {
        return nullptr;
    }
    auto stream = std::make_shared<peer_stream>(weak_from_this(), id);
    m_streams.emplace(id, stream);
    m_sendReady.notify();
    return stream;
}

bool peer_session::isUsable() const
{
    return !m_closed && !m_stopping && !m_peerStopping;
}

asio::awaitable<bool> peer_session::probeLiveness(std::chrono::milliseconds timeout)
{
    const auto self = shared_from_this();
    const auto pinged = clock::now();
    m_pingSent = pinged;
    nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
    m_sendReady.notify();
    while (!m_closed && m_lastReceived <= pinged && clock::now() < pinged + timeout) {
        co_await m_received.wait(pinged + timeout);
    }
    if (m_lastReceived <= pinged) {
        closeSilent();
    }
    co_return !m_closed;
}

void peer_session::stop()
{
    if (m_closed || m_stopping) {
        return;
    }
    m_stopping = true;
    nghttp2_submit_goaway(m_session, NGHTTP2_FLAG_NONE, nghttp2_session_get_last_proc_stream_id(m_session), NGHTTP2_NO_ERROR, nullptr, 0);
    m_sendReady.notify();
}

void peer_session::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    auto streams = std::exchange(m_streams, {});
    std::ranges::for_each(streams | std::views::values, [](const auto &stream) {
        stream->handleClose(NGHTTP2_INTERNAL_ERROR);
    });
    m_sendReady.notify();
    m_received.notify();
    m_closeSignal.notify();
    m_flushed.notify();
}

void peer_session::closeSilent()
{
    if (m_closed) {
        return;
    }
    boost::system::error_code ignored;
    const auto remote = m_socket.remote_endpoint(ignored);
    logTo(log_level::Info,
          kSessionPart,
          "Closing a connection to another instance on which nothing arrives. peer={} silent_ms={} streams={}",
          toString(host_port {remote.address().to_string(), remote.port()}),
          std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - m_lastReceived).count(),
          m_streams.size());
    m_traffic->silentSessions.fetch_add(1, std::memory_order_relaxed);
    close();
}

void peer_session::consume(std::int32_t id, std::size_t size)
{
    if (!m_closed) {
        nghttp2_session_consume_stream(m_session, id, size);
        m_sendReady.notify();
    }
}

void peer_session::respond(std::int32_t id, const header_list &headers)
{
    const auto fields = toNv(headers);
    nghttp2_data_provider provider {};
    provider.read_callback = callbacks::fillBody;
    nghttp2_submit_response(m_session, id, fields.data(), fields.size(), &provider);
    m_sendReady.notify();
}

void peer_session::resume(std::int32_t id, bool deferred)
{
    if (deferred) {
        nghttp2_session_resume_data(m_session, id);
    }
    m_sendReady.notify();
}

void peer_session::reset(std::int32_t id, std::uint32_t code)
{
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, id, code);
    m_sendReady.notify();
}

std::shared_ptr<peer_stream> peer_session::find(std::int32_t id) const
{
    const auto match = m_streams.find(id);
    return match == m_streams.end() ? nullptr : match->second;
}

asio::awaitable<void> peer_session::readLoop()
{
    const auto self = shared_from_this();
    std::vector<std::uint8_t> buffer(kReadBufferBytes);
    while (!m_closed) {
        boost::system::error_code error;
        const auto size = co_await m_socket.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        if (error || m_closed) {
            break;
        }
        m_lastReceived = clock::now();
        m_traffic->bytesReceived.fetch_add(size, std::memory_order_relaxed);
        if (nghttp2_session_mem_recv(m_session, buffer.data(), size) < 0) {
            break;
        }
        m_received.notify();
        m_sendReady.notify();
    }
    close();
}

std::string peer_session::nextBatch()
{
    std::string batch;
    const std::uint8_t *bytes = nullptr;
    ssize_t size = 1;
    while (batch.size() < kWriteBatchBytes && size > 0) {
        size = nghttp2_session_mem_send(m_session, &bytes);
        batch.append(reinterpret_cast<const char *>(bytes), size > 0 ? static_cast<std::size_t>(size) : 0);
    }
    if (size < 0) {
        close();
    }
    return batch;
}

asio::awaitable<void> peer_session::writeLoop()
{
    const auto self = shared_from_this();
    while (!m_closed) {
        const auto batch = nextBatch();
        if (batch.empty() && (m_stopping || m_peerStopping) && m_streams.empty()) {
            co_return endWriting();
        }
        if (batch.empty()) {
            co_await m_sendReady.wait(clock::now() + kWriteIdleWait);
            continue;
        }
        m_writing = true;
        boost::system::error_code error;
        co_await asio::async_write(m_socket, asio::buffer(batch), asio::redirect_error(asio::use_awaitable, error));
        m_writing = false;
        m_flushed.notify();
        if (error) {
            close();
        }
        m_traffic->bytesSent.fetch_add(batch.size(), std::memory_order_relaxed);
    }
}

void peer_session::endWriting()
{
    if (m_role == side::Client) {
        return close();
    }
    // The server only shuts down its sending side and lets the client close the connection, so that no byte in flight to the client is lost.
    boost::system::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_pingSent = clock::now();
}

asio::awaitable<void> peer_session::flush(std::shared_ptr<peer_stream> stream, mono_time until)
{
    while (!m_closed && (m_writing || m_streams.contains(stream->id())) && clock::now() < until) {
        co_await m_flushed.wait(until);
    }
}

asio::awaitable<void> peer_session::livenessLoop()
{
    const auto self = shared_from_this();
    while (!m_closed) {
        co_await m_closeSignal.wait(clock::now() + kLivenessCheckInterval);
        const auto now = clock::now();
        const bool ended = m_streams.empty() && !isUsable();
        const bool silent = now - m_lastReceived > kSilenceTimeout && (!m_streams.empty() || ended);
        if (m_closed || !silent) {
            continue;
        }
        if (m_pingSent <= m_lastReceived) {
            m_pingSent = now;
            nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
            m_sendReady.notify();
        } else if (now - m_pingSent > kSilenceTimeout) {
            closeSilent();
        }
    }
}

} // namespace sequoiawharf
