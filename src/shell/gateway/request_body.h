#pragma once

#include "src/shell/call_stream.h"
#include "src/shell/gateway/call_memory.h"

#include <string>
#include <string_view>

namespace sequoiawharf
{

/// The body of a call. Its beginning can be held in memory, and the rest is streamed. A body that is held whole can be read again for another attempt.
/// Used by one coroutine at a time on one thread.
class request_body : public body_source
{
public:
    /// length: announced length in bytes; empty: unknown. maxBytes: size above which reading fails with TooLarge. caller and memory outlive the
    /// object.
    request_body(body_source &caller, call_memory &memory, std::optional<std::uint64_t> length, std::uint64_t maxBytes);

    /// Reads ahead up to limit bytes, or one more to detect a longer body of unknown length; reads nothing if the announced length exceeds the limit.
    /// Memory is reserved as bytes arrive; while there is none, nothing is read. Returns the number of bytes read ahead, or TimedOut if the reservation
    /// was given up. Precondition: called once, before read().
    stream_awaitable<std::size_t> hold(std::size_t limit);

    /// Returns whether the whole body is in memory.
    bool isHeld() const
    {
        return m_isComplete;
    }

    /// Returns the part of the body that is in memory.
    std::string_view held() const
    {
        return m_held;
    }

    /// Returns whether the body can still be read from its beginning.
    bool isReplayable() const
    {
        return m_isComplete || !m_wasForwarded;
    }

    /// Returns the memory that the call holds.
    call_memory &memory() const
    {
        return m_memory;
    }

    /// Moves the read position to the beginning. Precondition: isReplayable().
    void rewind();

    /// Returns the error that ended the caller's stream, or nothing.
    std::optional<stream_error> fault() const
    {
        return m_fault;
    }

    stream_awaitable<std::size_t> read(std::span<char> buffer) override;

    /// Cancels reading because the body is no longer needed. Errors of the caller's stream after that are not recorded in fault().
    void cancel() override;

private:
    stream_awaitable<std::size_t> readCaller(std::span<char> buffer);

    body_source &m_caller;
    call_memory &m_memory;
    std::optional<std::uint64_t> m_length;
    std::uint64_t m_maxBytes;
    std::uint64_t m_received = 0;
    std::string m_held;
    std::size_t m_position = 0;
    bool m_isComplete = false;
    bool m_wasForwarded = false;
    bool m_isCancelled = false;
    std::optional<stream_error> m_fault;
};

} // namespace sequoiawharf
