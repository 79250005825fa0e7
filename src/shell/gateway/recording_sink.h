#pragma once

#include "src/shell/call_stream.h"

#include <optional>

namespace sequoiawharf
{

/// Forwards an answer to another sink, records how it ended, and can end its sender's work as if the receiver had gone. Used by one coroutine at a time, on the
/// thread of that sink.
class recording_sink : public answer_sink
{
public:
    /// Precondition: next outlives the object.
    explicit recording_sink(answer_sink &next);

    stream_awaitable<std::size_t> start(const answer_head &head) override;
    stream_awaitable<std::size_t> write(std::span<const char> bytes) override;
    stream_awaitable<std::size_t> finish() override;
    void abort() override;
    bool isReceiverGone() const override;
    void onReceiverGone(std::function<void()> action) override;

    /// Runs the action of onReceiverGone(), now or as soon as one is set, while the receiver still waits for an answer. Precondition: start() was not
    /// called.
    void cancelSender();

    /// Returns whether start() was called.
    bool isStarted() const
    {
        return m_isStarted;
    }
    /// Returns whether the answer was forwarded completely.
    bool isFinished() const
    {
        return m_isFinished;
    }
    /// Returns the ending that the head stated; Unknown before start().
    call_ending ending() const
    {
        return m_ending;
    }
    /// Returns the reason that the head stated; ConnectionLost before start().
    call_reason reason() const
    {
        return m_reason;
    }

private:
    answer_sink &m_next;
    call_ending m_ending = call_ending::Unknown;
    call_reason m_reason = call_reason::ConnectionLost;
    std::function<void()> m_onGone;
    bool m_isSenderCancelled = false;
    bool m_isStarted = false;
    bool m_isFinished = false;
};

} // namespace sequoiawharf
