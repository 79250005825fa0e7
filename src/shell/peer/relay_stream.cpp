#include "src/shell/peer/relay_stream.h"

#include "src/shell/peer/peer_stream.h"
#include "src/shell/peer/relay_headers.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;

/// Time after the deadline of a call in which an answer that reports the timeout may still be sent.
constexpr std::chrono::milliseconds kAnswerGrace {500};

} // namespace

stream_awaitable<std::size_t> writePaced(peer_stream &stream, write_pacer *pacer, route_class priority, std::span<const char> bytes, mono_time until)
{
    const std::size_t total = bytes.size();
    while (!bytes.empty()) {
        const auto chunk = bytes.first(pacer != nullptr ? std::min(bytes.size(), pacer->quantum()) : bytes.size());
        bool admitted = true;
        if (pacer != nullptr) {
            admitted = co_await pacer->admit(priority, chunk.size(), until);
        }
        if (!admitted) {
            co_return tl::unexpected(stream_error::TimedOut);
        }
        const auto written = co_await stream.write(chunk, until);
        if (!written) {
            co_return written;
        }
        bytes = bytes.subspan(chunk.size());
    }
    co_return total;
}

relayed_body::relayed_body(std::shared_ptr<peer_stream> stream, mono_time until)
    : m_stream(std::move(stream))
    , m_until(until)
{
}

stream_awaitable<std::size_t> relayed_body::read(std::span<char> buffer)
{
    return m_stream->read(buffer, m_until);
}

void relayed_body::cancel()
{
    m_stream->cancelRead();
}

relayed_answer::relayed_answer(std::shared_ptr<peer_stream> stream, peer_identity self, write_pacer *pacer, route_class priority, mono_time until)
    : m_stream(std::move(stream))
    , m_self(std::move(self))
    , m_pacer(pacer)
    , m_priority(priority)
    , m_until(until + kAnswerGrace)
{
}

stream_awaitable<std::size_t> relayed_answer::start(const answer_head &head)
{
    if (isReceiverGone()) {
        co_return tl::unexpected(stream_error::PeerGone);
    }
    m_stream->respond(toRelayAnswer(head, m_self));
    co_return std::size_t {0};
}

stream_awaitable<std::size_t> relayed_answer::write(std::span<const char> bytes)
{
    return writePaced(*m_stream, m_pacer, m_priority, bytes, m_until);
}

stream_awaitable<std::size_t> relayed_answer::finish()
{
    m_ended = true;
    m_stream->onGone({});
    if (isReceiverGone()) {
        co_return tl::unexpected(stream_error::PeerGone);
    }
    m_stream->finish();
    co_await m_stream->flush(m_until);
    if (isReceiverGone()) {
        co_return tl::unexpected(stream_error::PeerGone);
    }
    co_return std::size_t {0};
}

void relayed_answer::abort()
{
    m_ended = true;
    m_stream->onGone({});
    m_stream->reset(NGHTTP2_INTERNAL_ERROR);
}

void relayed_answer::onReceiverGone(std::function<void()> action)
{
    m_stream->onGone(std::move(action));
}

bool relayed_answer::isReceiverGone() const
{
    return m_stream->isGone();
}

} // namespace sequoiawharf
