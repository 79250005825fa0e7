#include "sequoiawharf/measuring_budget.h"

#include <algorithm>
#include <cassert>

namespace sequoiawharf
{

measuring_budget::measuring_budget(const measuring_limits &limits, mono_time now)
    : m_limits(limits)
    , m_availableBytes(static_cast<double>(limits.bytesPerSecond))
    , m_availableMessages(limits.messagesPerSecond)
    , m_lastRefill(now)
{
}

bool measuring_budget::take(measuring_kind kind, std::uint64_t maxBytes, mono_time now)
{
    auto &entry = m_usage[static_cast<std::size_t>(kind)];
    if (!canAfford(maxBytes, now)) {
        entry.refusals.fetch_add(1, std::memory_order_relaxed);
        return false;
    }
    m_availableMessages -= 1;
    m_availableBytes -= static_cast<double>(maxBytes);
    entry.messages.fetch_add(1, std::memory_order_relaxed);
    entry.bytes.fetch_add(maxBytes, std::memory_order_relaxed);
    return true;
}

bool measuring_budget::canAfford(std::uint64_t maxBytes, mono_time now)
{
    refill(now);
    return m_availableMessages >= 1 && m_availableBytes >= static_cast<double>(maxBytes);
}

void measuring_budget::refund(measuring_kind kind, std::uint64_t bytes)
{
    assert(usageOf(kind).bytes.load(std::memory_order_relaxed) >= bytes);
    m_usage[static_cast<std::size_t>(kind)].bytes.fetch_sub(bytes, std::memory_order_relaxed);
    m_availableBytes = std::min(m_availableBytes + static_cast<double>(bytes), static_cast<double>(m_limits.bytesPerSecond));
}

// Each token bucket holds the tokens of one second.
void measuring_budget::refill(mono_time now)
{
    const auto elapsed = std::max(0.0, std::chrono::duration<double>(now - m_lastRefill).count());
    m_availableBytes = std::min(m_availableBytes + elapsed * static_cast<double>(m_limits.bytesPerSecond), static_cast<double>(m_limits.bytesPerSecond));
    m_availableMessages = std::min(m_availableMessages + elapsed * m_limits.messagesPerSecond, static_cast<double>(m_limits.messagesPerSecond));
    m_lastRefill = std::max(m_lastRefill, now);
}

} // namespace sequoiawharf
