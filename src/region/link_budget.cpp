#include "sequoiawharf/link_budget.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace sequoiawharf
{

namespace
{

constexpr std::uint64_t kNsPerSecond = 1'000'000'000;

/// Percent of the share that a class, together with those more urgent, may use.
constexpr std::array<std::uint64_t, kRouteClassCount> kPercent {100, 90, 70};

/// A class may be ahead of its rate by this time.
constexpr std::int64_t kBurstNs = 4'000'000;

std::int64_t toNs(mono_time time)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count();
}

} // namespace

link_budget::link_budget(std::uint64_t bytesPerSecond)
    : m_share(std::max(bytesPerSecond, kQuantum))
{
}

void link_budget::setShare(std::uint64_t bytesPerSecond)
{
    m_share.store(std::max(bytesPerSecond, kQuantum), std::memory_order_relaxed);
}

/// Moves the horizon on by the cost unless it stands beyond the limit; returns by how much it does.
std::int64_t link_budget::tryAdvance(horizon &line, std::int64_t cost, std::int64_t nowNs, std::int64_t limitNs)
{
    auto old = line.load(std::memory_order_relaxed);
    do {
        if (old > limitNs) {
            return old - limitNs;
        }
    } while (!line.compare_exchange_weak(old, std::max(old, nowNs) + cost, std::memory_order_relaxed));
    return 0;
}

std::chrono::nanoseconds link_budget::tryReserve(route_class priority, std::uint64_t bytes, mono_time now)
{
    assert(bytes <= kQuantum);
    const auto own = static_cast<std::size_t>(priority);
    const auto nowNs = toNs(now);
    const auto costOf = [&](std::size_t index) {
        return static_cast<std::int64_t>(bytes * kNsPerSecond * 100 / (share() * kPercent[index]) + 1);
    };
    const auto wait = tryAdvance(m_classes[own], costOf(own), nowNs, nowNs + kBurstNs);
    if (wait > 0) {
        return std::chrono::nanoseconds(wait);
    }
    // What is less urgent waits for this call too, and this call not for what is less urgent.
    for (std::size_t lower = own + 1; lower < kRouteClassCount; ++lower) {
        tryAdvance(m_classes[lower], costOf(lower), nowNs, std::numeric_limits<std::int64_t>::max());
    }
    m_bytes[own].fetch_add(bytes, std::memory_order_relaxed);
    return std::chrono::nanoseconds(0);
}

std::uint64_t link_budget::bytes(route_class priority) const
{
    return m_bytes[static_cast<std::size_t>(priority)].load(std::memory_order_relaxed);
}

} // namespace sequoiawharf
