#include "src/shell/peer/peer_stream.h"

#include "src/shell/peer/peer_session.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <cassert>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;

constexpr std::size_t kMaxHeadBytes = 64U << 10U;

/// Clears the pending write when the coroutine that owns its bytes ends, also when it is destroyed.
class pending_write_guard
{
public:
    explicit pending_write_guard(std::span<const char> &pendingWrite)
        : m_pendingWrite(pendingWrite)
    {
    }
    ~pending_write_guard()
    {
        m_pendingWrite = {};
    }
    pending_write_guard(const pending_write_guard &) = delete;
    pending_write_guard &operator=(const pending_write_guard &) = delete;

private:
    std::span<const char> &m_pendingWrite;
};

} // namespace

peer_stream::peer_stream(std::weak_ptr<peer_session> session, std::int32_t id)
    : m_session(std::move(session))
    , m_id(id)
{
}

void peer_stream::onGone(std::function<void()> action)
{
    m_onGone = std::move(action);
}

void peer_stream::cancelRead()
{
    m_readCancelled = true;
    m_changed.notify();
}

asio::awaitable<bool> peer_stream::awaitHead(mono_time until)
{
    while (!m_headComplete && !m_closed && std::chrono::steady_clock::now() < until) {
        co_await m_changed.wait(until);
    }
    co_return m_headComplete;
}

stream_awaitable<std::size_t> peer_stream::read(std::span<char> buffer, mono_time until)
{
    while (m_receiveOffset == m_receiveBuffer.size()) {
        if (m_state == stream_state::Complete) {
            co_return std::size_t {0};
        }
        if (m_closed) {
            co_return tl::unexpected(stream_error::PeerGone);
        }
        if (m_readCancelled || std::chrono::steady_clock::now() >= until) {
            co_return tl::unexpected(stream_error::TimedOut);
        }
        co_await m_changed.wait(until);
    }
    const auto size = std::min(buffer.size(), m_receiveBuffer.size() - m_receiveOffset);
    std::copy_n(m_receiveBuffer.data() + m_receiveOffset, size, buffer.data());
    m_receiveOffset += size;
    if (m_receiveOffset == m_receiveBuffer.size()) {
        m_receiveBuffer.clear();
        m_receiveOffset = 0;
    }
    if (const auto session = m_session.lock()) {
        session->consume(m_id, size);
    }
    co_return size;
}

stream_awaitable<std::size_t> peer_stream::write(std::span<const char> bytes, mono_time until)
{
    assert(m_pendingWrite.empty() && !m_finishing);
    const pending_write_guard guard(m_pendingWrite);
    m_pendingWrite = bytes;
    resume();
    while (!m_pendingWrite.empty()) {
        if (m_closed) {
            co_return tl::unexpected(stream_error::PeerGone);
        }
        if (std::chrono::steady_clock::now() >= until) {
            co_return tl::unexpected(stream_error::TimedOut);
        }
        co_await m_changed.wait(until);
    }
    co_return bytes.size();
}

void peer_stream::respond(const header_list &headers)
{
    const auto session = m_session.lock();
    if (session && !m_closed) {
        session->respond(m_id, headers);
    }
}

void peer_stream::finish()
{
    m_finishing = true;
    resume();
}

asio::awaitable<void> peer_stream::flush(mono_time until)
{
    const auto session = m_session.lock();
    if (session) {
        co_await session->flush(shared_from_this(), until);
    }
}

void peer_stream::reset(std::uint32_t code)
{
    const auto session = m_session.lock();
    if (session && !m_closed) {
        session->reset(m_id, code);
    }
    handleClose(code);
}

void peer_stream::resume()
{
    const auto session = m_session.lock();
    if (session && !m_closed) {
        session->resume(m_id, m_deferred);
        m_deferred = false;
    }
}

void peer_stream::handleHeader(std::string_view name, std::string_view value)
{
    m_headBytes += name.size() + value.size();
    if (m_headBytes > kMaxHeadBytes) {
        return reset(NGHTTP2_ENHANCE_YOUR_CALM);
    }
    if (!m_headComplete) {
        m_head.push_back({std::string(name), std::string(value)});
    }
}

void peer_stream::handleHeadEnd()
{
    m_headComplete = true;
    m_changed.notify();
}

void peer_stream::handleData(std::string_view bytes)
{
    if (m_receiveOffset > 0) {
        m_receiveBuffer.erase(0, m_receiveOffset);
        m_receiveOffset = 0;
    }
    m_receiveBuffer.append(bytes);
    m_changed.notify();
}

void peer_stream::handleEndStream()
{
    if (m_state == stream_state::Open) {
        m_state = stream_state::Complete;
    }
    m_changed.notify();
}

void peer_stream::handleClose(std::uint32_t code)
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    m_closeCode = code;
    if (m_state == stream_state::Open) {
        m_state = code == NGHTTP2_REFUSED_STREAM || !m_mayHaveBeenSent ? stream_state::Refused : stream_state::Broken;
    }
    m_changed.notify();
    const auto action = std::exchange(m_onGone, {});
    if (action && isGone()) {
        action();
    }
}

std::ptrdiff_t peer_stream::fillBody(std::span<char> buffer, bool &ended)
{
    const auto size = std::min(buffer.size(), m_pendingWrite.size());
    std::copy_n(m_pendingWrite.data(), size, buffer.data());
    m_pendingWrite = m_pendingWrite.subspan(size);
    if (m_pendingWrite.empty()) {
        m_changed.notify();
    }
    ended = m_finishing && m_pendingWrite.empty();
    if (size == 0 && !ended) {
        m_deferred = true;
        return NGHTTP2_ERR_DEFERRED;
    }
    return static_cast<std::ptrdiff_t>(size);
}

std::string_view findHeader(const header_list &headers, std::string_view name)
{
    const auto match = std::ranges::find(headers, name, &header_field::name);
    return match == headers.end() ? std::string_view {} : std::string_view(match->value);
}

} // namespace sequoiawharf
