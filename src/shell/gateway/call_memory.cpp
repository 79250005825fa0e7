#include "src/shell/gateway/call_memory.h"

#include "src/shell/net/clock.h"
#include "src/shell/net/pause.h"

namespace sequoiawharf
{

namespace
{

constexpr std::size_t kSmallCallBytes = 32U << 10U; // up to which a call may use the reserved part: a body of 16 KB and its parser's buffer
constexpr std::size_t kStreamBufferBytes = 64U << 10U;
constexpr std::size_t kPressedStreamBufferBytes = 4096;
constexpr std::chrono::milliseconds kRetryInterval {20}; // other threads free memory without a signal to this one

} // namespace

call_memory::call_memory(memory_budget &budget, mono_time started)
    : m_budget(budget)
{
    m_progress.lastByte = started;
}

call_memory::~call_memory()
{
    m_budget.release(m_progress.heldBytes);
}

bool call_memory::tryReserve(std::size_t bytes)
{
    const auto kind = m_progress.heldBytes + bytes <= kSmallCallBytes ? memory_budget::use::Small : memory_budget::use::Large;
    if (!m_budget.tryReserve(bytes, kind)) {
        return false;
    }
    m_progress.heldBytes += bytes;
    return true;
}

boost::asio::awaitable<bool> call_memory::reserve(std::size_t bytes)
{
    if (tryReserve(bytes)) {
        co_return true;
    }
    m_isWaiting = true;
    m_budget.waitStarted(bytes);
    bool isReserved = false;
    while (!isReserved && m_mayWait && !m_isEnded) {
        co_await pauseFor(kRetryInterval);
        isReserved = m_mayWait && !m_isEnded && tryReserve(bytes);
    }
    m_budget.waitEnded(bytes);
    m_isWaiting = false;
    if (isReserved) {
        m_progress.lastByte = monoNow(); // the wait was not the caller's
    }
    co_return isReserved;
}

std::size_t call_memory::streamBufferBytes()
{
    // The parser's buffer grows to the size of the buffer that it fills.
    return tryReserve(2 * kStreamBufferBytes) ? kStreamBufferBytes : kPressedStreamBufferBytes;
}

void call_memory::stopWaiting()
{
    m_mayWait = false;
}

void call_memory::readStarted()
{
    m_isReading = true;
}

void call_memory::readEnded(std::size_t bytes)
{
    m_isReading = false;
    if (bytes > 0) {
        m_progress.receivedBytes += bytes;
        m_progress.lastByte = monoNow();
    }
}

void call_memory::onEnd(std::function<void()> action)
{
    m_onEnd = std::move(action);
}

void call_memory::end()
{
    m_isEnded = true;
    if (m_onEnd) {
        m_onEnd();
    }
}

} // namespace sequoiawharf
