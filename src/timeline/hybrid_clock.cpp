#include "sequoiawharf/hybrid_clock.h"

#include <algorithm>
#include <chrono>

namespace sequoiawharf
{

namespace
{

constexpr unsigned kCounterBits = 16;
constexpr std::uint64_t kCounterMask = (1U << kCounterBits) - 1;
constexpr std::chrono::minutes kMaxClockLead {1};

std::uint64_t packWall(wall_time wall)
{
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(wall.time_since_epoch()).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(millis, 0)) << kCounterBits;
}

std::uint64_t pack(hybrid_time time)
{
    return (static_cast<std::uint64_t>(time.wallMs) << kCounterBits) + time.counter;
}

hybrid_time unpack(std::uint64_t packed)
{
    return {static_cast<std::int64_t>(packed >> kCounterBits), static_cast<std::uint32_t>(packed & kCounterMask)};
}

} // namespace

hybrid_time hybrid_clock::tick(wall_time wall)
{
    const auto now = packWall(wall);
    auto last = m_last.load(std::memory_order_relaxed);
    auto next = std::max(now, last + 1);
    while (!m_last.compare_exchange_weak(last, next, std::memory_order_acq_rel, std::memory_order_relaxed)) {
        next = std::max(now, last + 1);
    }
    return unpack(next);
}

bool hybrid_clock::observe(hybrid_time other, wall_time wall)
{
    if (other.wallMs < 0 || other.counter > kCounterMask || pack(other) > packWall(wall + kMaxClockLead)) {
        return false;
    }
    const auto observed = pack(other);
    auto last = m_last.load(std::memory_order_relaxed);
    while (last < observed && !m_last.compare_exchange_weak(last, observed, std::memory_order_acq_rel, std::memory_order_relaxed)) { }
    return true;
}

} // namespace sequoiawharf
