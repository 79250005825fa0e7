#include "src/shell/gateway/caller_streams.h"

#include "src/shell/gateway/head_format.h"
#include "src/shell/metrics/gateway_metrics.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <sys/socket.h>

#include <array>
#include <cerrno>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::string_view kLastChunk = "0\r\n\r\n";
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;

// Returns whether the peer closed or reset the connection. Unread bytes count as open.
bool isClosedByPeer(asio::ip::tcp::socket &socket)
{
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace

caller_connection::caller_connection(asio::ip::tcp::socket accepted)
    : socket(std::move(accepted))
{
}

void caller_connection::reset()
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

caller_body::caller_body(caller_connection &connection, message_reader &reader, request_parser &parser, thread_metrics &metrics, bool expectsContinue)
    : m_connection(connection)
    , m_reader(reader)
    , m_parser(parser)
    , m_metrics(metrics)
    , m_expectsContinue(expectsContinue)
{
}

stream_awaitable<std::size_t> caller_body::read(std::span<char> buffer)
{
    if (m_isCancelled) {
        co_return tl::unexpected(stream_error::TimedOut);
    }
    if (m_expectsContinue && !m_parser.is_done()) {
        m_expectsContinue = false;
        boost::system::error_code error;
        co_await asio::async_write(m_connection.socket, asio::buffer(kContinue), asio::redirect_error(asio::use_awaitable, error));
    }
    m_isReading = true;
    const auto count = co_await m_reader.readBody(m_parser, buffer);
    m_isReading = false;
    if (m_isCancelled) {
        co_return tl::unexpected(stream_error::TimedOut);
    }
    if (!count) {
        const bool isMalformed = count.error().what == message_fault::kind::Malformed;
        co_return tl::unexpected(isMalformed ? stream_error::Malformed : stream_error::PeerGone);
    }
    m_metrics.countBytes(byte_direction::FromCallers, *count);
    if (*count == 0 && m_onComplete) {
        std::exchange(m_onComplete, {})();
    }
    co_return *count;
}

void caller_body::cancel()
{
    m_isCancelled = true;
    if (m_isReading) {
        boost::system::error_code ignored;
        m_connection.socket.cancel(ignored);
    }
}

bool caller_body::isComplete() const
{
    return m_parser.is_done();
}

void caller_body::onComplete(std::function<void()> action)
{
    m_onComplete = std::move(action);
}

// State of the wait for the caller's disconnect. It outlives the answer while the wait is pending.
struct caller_answer::disconnect_watch {
    std::function<void()> action;
    asio::cancellation_signal stop;
    bool isWatching = false;
    bool isGone = false;
};

caller_answer::caller_answer(std::shared_ptr<caller_connection> connection,
                             const caller_body &body,
                             const answer_terms &terms,
                             thread_metrics &metrics,
                             const std::atomic<bool> &stopping)
    : m_connection(std::move(connection))
    , m_body(body)
    , m_terms(terms)
    , m_metrics(metrics)
    , m_stopping(stopping)
    , m_disconnect(std::make_shared<disconnect_watch>())
{
}

caller_answer::~caller_answer()
{
    stopWatching();
}

void caller_answer::onReceiverGone(std::function<void()> action)
{
    m_disconnect->action = std::move(action);
    if (m_disconnect->action) {
        watch();
    } else {
        stopWatching();
    }
}

void caller_answer::watch()
{
    if (!m_disconnect->action || m_disconnect->isWatching || m_connection->buffer.size() > 0) {
        return;
    }
    m_disconnect->isWatching = true;
    auto wait = [state = m_disconnect, connection = m_connection](const boost::system::error_code &cancelled) {
        state->isWatching = false;
        if (cancelled || !state->action || !isClosedByPeer(connection->socket)) {
            return;
        }
        state->isGone = true;
        const auto action = std::exchange(state->action, {});
        action();
    };
    m_connection->socket.async_wait(asio::ip::tcp::socket::wait_read, asio::bind_cancellation_slot(m_disconnect->stop.slot(), std::move(wait)));
}

void caller_answer::stopWatching()
{
    m_disconnect->action = {};
    if (m_disconnect->isWatching) {
        m_disconnect->stop.emit(asio::cancellation_type::terminal);
    }
}

stream_awaitable<std::size_t> caller_answer::start(const answer_head &head)
{
    m_hasNoBody = m_terms.isHead || head.status == kNoContent || head.status == kNotModified;
    m_hasLength = head.contentLength.has_value();
    m_isChunked = !m_hasLength && !m_hasNoBody && !m_terms.isVersion10;
    m_remainingBytes = m_hasNoBody ? 0 : head.contentLength.value_or(0);
    m_closes = m_terms.closes || !m_body.isComplete() || m_stopping.load(std::memory_order_relaxed) || (!m_hasLength && !m_hasNoBody && !m_isChunked);
    m_pendingHead.reserve(1024);
    appendAnswerHead(m_pendingHead, m_terms.dialect, head, {m_terms.id, m_terms.label, m_closes, m_isChunked, head.status == kNoContent});
    if (head.bodyFollows) {
        co_return std::size_t {0};
    }
    co_return co_await send({}, {}, {});
}

stream_awaitable<std::size_t> caller_answer::write(std::span<const char> bytes)
{
    const std::string_view part(bytes.data(), bytes.size());
    if (m_hasNoBody || part.empty()) {
        co_return std::size_t {0};
    }
    if (m_isChunked) {
        const auto size = fmt::format("{:x}\r\n", part.size());
        co_return co_await send(size, part, "\r\n");
    }
    if (m_hasLength && part.size() > m_remainingBytes) {
        abort();
        co_return tl::unexpected(stream_error::Malformed);
    }
    m_remainingBytes -= m_hasLength ? part.size() : 0;
    co_return co_await send(part, {}, {});
}

stream_awaitable<std::size_t> caller_answer::finish()
{
    if (m_remainingBytes > 0) {
        abort();
        co_return tl::unexpected(stream_error::Malformed);
    }
    auto sent = co_await send({}, m_isChunked ? kLastChunk : std::string_view {}, {});
    m_isFinished = sent.has_value();
    co_return sent;
}

stream_awaitable<std::size_t> caller_answer::send(std::string_view first, std::string_view second, std::string_view third)
{
    if (m_isAborted || m_disconnect->isGone) {
        co_return tl::unexpected(stream_error::PeerGone);
    }
    const std::array<asio::const_buffer, 4> buffers {asio::buffer(m_pendingHead), asio::buffer(first), asio::buffer(second), asio::buffer(third)};
    if (asio::buffer_size(buffers) == 0) {
        co_return std::size_t {0};
    }
    boost::system::error_code error;
    const auto count = co_await asio::async_write(m_connection->socket, buffers, asio::redirect_error(asio::use_awaitable, error));
    m_metrics.countBytes(byte_direction::ToCallers, count);
    m_pendingHead.clear();
    if (error) {
        co_return tl::unexpected(stream_error::PeerGone);
    }
    co_return count;
}

void caller_answer::abort()
{
    m_isAborted = true;
    m_closes = true;
    m_connection->reset();
}

bool caller_answer::isReceiverGone() const
{
    return m_disconnect->isGone || m_isAborted;
}

} // namespace sequoiawharf
