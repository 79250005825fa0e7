#pragma once

#include "sequoiawharf/memory_budget.h"

#include <boost/asio/awaitable.hpp>
#include <boost/intrusive/list_hook.hpp>

#include <functional>

namespace sequoiawharf
{

/// The memory that one call holds of the process's budget; the destructor returns it. An element of the list of its thread's calls, from which the
/// destructor removes it. Used on one thread.
class call_memory : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    /// started: when the call was received. Precondition: the budget outlives the object.
    call_memory(memory_budget &budget, mono_time started);
    ~call_memory();
    call_memory(const call_memory &) = delete;
    call_memory &operator=(const call_memory &) = delete;

    /// Reserves the bytes, and waits until the budget has them. Returns false if end() or stopWaiting() came first.
    boost::asio::awaitable<bool> reserve(std::size_t bytes);

    /// Reserves the bytes and returns true, or returns false at once if the budget does not have them.
    bool tryReserve(std::size_t bytes);

    /// Returns the size of the buffer for streaming a body: a large one with its memory reserved, or a small one under pressure.
    std::size_t streamBufferBytes();

    /// Makes a pending reserve(), and every later one that would wait, return false.
    void stopWaiting();

    /// Records that the call waits for bytes of the request's body.
    void readStarted();

    /// Records that the wait has ended, with the number of bytes received.
    void readEnded(std::size_t bytes);

    /// Sets the action that ends the call's unfinished body. Precondition: what it uses outlives the object.
    void onEnd(std::function<void()> action);

    /// Ends the unfinished body, to free its memory.
    void end();

    /// Returns whether end() was called.
    bool isEnded() const
    {
        return m_isEnded;
    }

    /// Returns whether the call waits for its caller or for memory, so that end() frees memory.
    bool isEndable() const
    {
        return !m_isEnded && (m_isReading || m_isWaiting);
    }

    /// Returns the progress of the body.
    const body_progress &progress() const
    {
        return m_progress;
    }

private:
    memory_budget &m_budget;
    body_progress m_progress;
    std::function<void()> m_onEnd;
    bool m_isReading = false;
    bool m_isWaiting = false;
    bool m_mayWait = true;
    bool m_isEnded = false;
};

} // namespace sequoiawharf
