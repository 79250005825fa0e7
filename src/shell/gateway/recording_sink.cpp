#include "src/shell/gateway/recording_sink.h"

namespace sequoiawharf
{

noted_answer::noted_answer(answer_sink &next)
    : m_next(next)
{
}

stream_awaitable<std::size_t> noted_answer::start(const answer_head &head)
{
    m_isStarted = true;
    m_ending = head.ending;
    m_reason = head.reason;
    return m_next.start(head);
}

stream_awaitable<std::size_t> noted_answer::write(std::span<const char> bytes)
{
    return m_next.write(bytes);
}

stream_awaitable<std::size_t> noted_answer::finish()
{
    auto sent = co_await m_next.finish();
    m_isFinished = sent.has_value();
    co_return sent;
}

void noted_answer::abort()
{
    m_next.abort();
}

bool noted_answer::isReceiverGone() const
{
    return m_next.isReceiverGone();
}

void noted_answer::onReceiverGone(std::function<void()> action)
{
    m_next.onReceiverGone(std::move(action));
}

} // namespace sequoiawharf
