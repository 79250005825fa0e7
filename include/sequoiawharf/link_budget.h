#pragma once

#include "sequoiawharf/route_table.h"
#include "sequoiawharf/time.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>

namespace sequoiawharf
{

/// Paces the calls that this instance sends between regions by its part of the link. An urgent call waits only for other urgent ones; a less
/// urgent one waits for all that are as urgent or more, and may use less of the part, so that bulk leaves room at any moment. In any window of
/// t seconds at most the part times (t + 12 ms) and three pieces are sent, however many writers there are.
/// All methods are thread safe and lock-free.
class link_budget
{
public:
    explicit link_budget(std::uint64_t bytesPerSecond);

    /// Sets the bytes per second that calls of this instance may use; see link_share.
    void setShare(std::uint64_t bytesPerSecond);

    /// Books the bytes if they may be sent now and returns zero; else returns the time after which to try again. Precondition: bytes <=
    /// quantum().
    std::chrono::nanoseconds tryReserve(route_class priority, std::uint64_t bytes, mono_time now);

    /// Returns the bytes that may be booked at once.
    std::uint64_t quantum() const
    {
        return kQuantum;
    }

    std::uint64_t share() const
    {
        return m_share.load(std::memory_order_relaxed);
    }

    /// Returns the bytes booked for calls of a class.
    std::uint64_t bytes(route_class priority) const;

private:
    static constexpr std::uint64_t kQuantum = 4096;

    /// Time at which the bytes booked so far are sent at the given rate.
    using horizon = std::atomic<std::int64_t>;

    static std::int64_t tryAdvance(horizon &line, std::int64_t cost, std::int64_t nowNs, std::int64_t limitNs);

    std::atomic<std::uint64_t> m_share;
    std::array<horizon, kRouteClassCount> m_classes {}; ///< Of the calls of a class and those more urgent.
    std::array<std::atomic<std::uint64_t>, kRouteClassCount> m_bytes {};
};

} // namespace sequoiawharf
