#pragma once

#include "src/shell/call_stream.h"

#include <optional>

namespace sequoiawharf
{

/// Passes an answer on and notes how it ended.
class noted_answer : public answer_sink
{
public:
    /// next outlives the object.
    explicit noted_answer(answer_sink &next);

    stream_awaitable<std::size_t> start(const answer_head &head) override;
    stream_awaitable<std::size_t> write(std::span<const char> bytes) override;
    stream_awaitable<std::size_t> finish() override;
    void abort() override;
    bool isReceiverGone() const override;
    void onReceiverGone(std::function<void()> action) override;

    /// Tells whether start() was called.
    bool isStarted() const
    {
        return m_isStarted;
    }
    /// Tells whether the answer was passed on as whole.
    bool isFinished() const
    {
        return m_isFinished;
    }
    call_ending ending() const
    {
        return m_ending;
    }
    call_reason reason() const
    {
        return m_reason;
    }

private:
    answer_sink &m_next;
    call_ending m_ending = call_ending::Unknown;
    call_reason m_reason = call_reason::ConnectionLost;
    bool m_isStarted = false;
    bool m_isFinished = false;
};

} // namespace sequoiawharf
