#include "src/shell/gateway/recording_sink.h"

namespace sequoiawharf
{

recording_sink::recording_sink(answer_sink &next)
    : m_next(next)
{
}

stream_awaitable<std::size_t> recording_sink::start(const answer_head &head)
{
    m_isStarted = true;
    m_ending = head.ending;
    m_reason = head.reason;
    return m_next.start(head);
}

stream_awaitable<std::size_t> recording_sink::write(std::span<const char> bytes)
{
    return m_next.write(bytes);
}

stream_awaitable<std::size_t> recording_sink::finish()
{
    auto sent = co_await m_next.finish();
    m_isFinished = sent.has_value();
    co_return sent;
}

void recording_sink::abort()
{
    m_next.abort();
}

bool recording_sink::isReceiverGone() const
{
    return m_next.isReceiverGone();
}

void recording_sink::onReceiverGone(std::function<void()> action)
{
    m_onGone = action;
    m_next.onReceiverGone(std::move(action));
    if (m_isSenderCancelled && m_onGone) {
        m_onGone();
    }
}

void recording_sink::cancelSender()
{
    m_isSenderCancelled = true;
    if (m_onGone) {
        m_onGone();
    }
}

} // namespace sequoiawharf
