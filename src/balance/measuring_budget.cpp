#include "sequoiawharf/measuring_budget.h"

#include <algorithm>
#include <cassert>

namespace sequoiawharf
{

measuring_budget::measuring_budget(const measuring_limits &limits, mono_time now)
    : m_limits(limits)
    , m_heldBytes(static_cast<double>(limits.bytesPerSecond))
    , m_heldMessages(limits.messagesPerSecond)
    , m_refilled(now)
{
}

bool measuring_budget::take(measuring_kind kind, std::uint64_t mostBytes, mono_time now)
{
    auto &entry = m_counts[static_cast<std::size_t>(kind)];
    if (!canAfford(mostBytes, now)) {
        entry.refusals.fetch_add(1, std::memory_order_relaxed);
        return false;
    }
    m_heldMessages -= 1;
    m_heldBytes -= static_cast<double>(mostBytes);
    entry.messages.fetch_add(1, std::memory_order_relaxed);
    entry.bytes.fetch_add(mostBytes, std::memory_order_relaxed);
    return true;
}

bool measuring_budget::canAfford(std::uint64_t mostBytes, mono_time now)
{
    refill(now);
    return m_heldMessages >= 1 && m_heldBytes >= static_cast<double>(mostBytes);
}

void measuring_budget::refund(measuring_kind kind, std::uint64_t bytes)
{
    assert(countsOf(kind).bytes.load(std::memory_order_relaxed) >= bytes);
    m_counts[static_cast<std::size_t>(kind)].bytes.fetch_sub(bytes, std::memory_order_relaxed);
    m_heldBytes = std::min(m_heldBytes + static_cast<double>(bytes), static_cast<double>(m_limits.bytesPerSecond));
}

// Each bucket holds one second's worth.
void measuring_budget::refill(mono_time now)
{
    const auto passed = std::max(0.0, std::chrono::duration<double>(now - m_refilled).count());
    m_heldBytes = std::min(m_heldBytes + passed * static_cast<double>(m_limits.bytesPerSecond), static_cast<double>(m_limits.bytesPerSecond));
    m_heldMessages = std::min(m_heldMessages + passed * m_limits.messagesPerSecond, static_cast<double>(m_limits.messagesPerSecond));
    m_refilled = std::max(m_refilled, now);
}

} // namespace sequoiawharf
