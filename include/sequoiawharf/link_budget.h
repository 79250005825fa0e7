#pragma once

#include "sequoiawharf/route_table.h"
#include "sequoiawharf/time.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>

namespace sequoiawharf
{

/// Paces the bytes of calls that this instance sends between regions, by its share of the link. A call waits only for calls of its own priority
/// and higher ones. Lower priorities may use a smaller part of the share, so that bulk calls always leave capacity for urgent ones. In any
/// window of t seconds at most share * (t + 12 ms) bytes and three pieces of quantum() bytes are sent, for any number of writers. All methods
/// are thread safe and lock-free.
class link_budget
{
public:
    /// bytesPerSecond: initial share; see setShare().
    explicit link_budget(std::uint64_t bytesPerSecond);

    /// Sets the bytes per second that calls of this instance may use; at least quantum(). See link_share.
    void setShare(std::uint64_t bytesPerSecond);

    /// Reserves the bytes and returns zero if they may be sent now; otherwise returns the time after which to try again. Precondition: bytes is
    /// at most quantum().
    std::chrono::nanoseconds tryReserve(route_class priority, std::uint64_t bytes, mono_time now);

    /// Returns the most bytes that one call of tryReserve() may reserve.
    std::uint64_t quantum() const
    {
        return kQuantum;
    }

    /// Returns the bytes per second that calls of this instance may use.
    std::uint64_t share() const
    {
        return m_share.load(std::memory_order_relaxed);
    }

    /// Returns the number of bytes reserved so far for calls of the priority.
    std::uint64_t bytes(route_class priority) const;

private:
    static constexpr std::uint64_t kQuantum = 4096;

    /// Time in nanoseconds at which the bytes reserved so far are sent at the rate of a class.
    using horizon = std::atomic<std::int64_t>;

    static std::int64_t tryAdvance(horizon &busyUntil, std::int64_t cost, std::int64_t nowNs, std::int64_t limitNs);

    std::atomic<std::uint64_t> m_share;
    std::array<horizon, kRouteClassCount> m_classes {}; ///< Of the calls of a class together with the more urgent ones.
    std::array<std::atomic<std::uint64_t>, kRouteClassCount> m_bytes {};
};

} // namespace sequoiawharf
