#pragma once

#include "sequoiawharf/time.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <span>
#include <vector>

namespace sequoiawharf
{

/// Limits the bytes that all calls of a process hold together. Part of the limit is reserved for small requests. Thread safe, without a lock.
class memory_budget
{
public:
    /// Who asks for memory.
    enum class use {
        Small, ///< A call that holds little: it may use the whole limit.
        Large, ///< Any other call: it may not use the reserved part.
    };

    /// limit: in bytes; an eighth of it is reserved for small calls.
    explicit memory_budget(std::size_t limit);

    /// Reserves the bytes and returns true, or returns false if the calls would then hold more than the use allows.
    bool tryReserve(std::size_t bytes, use kind);

    /// Returns bytes that were reserved.
    void release(std::size_t bytes);

    /// Adds the bytes that a call waits for.
    void waitStarted(std::size_t bytes);

    /// Removes bytes added by waitStarted(), when the call has got them or gives up.
    void waitEnded(std::size_t bytes);

    /// Returns the bytes that calls wait for; above 0, the budget is under pressure.
    std::size_t awaited() const;

    /// Returns the bytes that calls hold.
    std::size_t held() const;

    std::size_t limit() const
    {
        return m_limit;
    }

private:
    std::size_t m_limit;
    std::atomic<std::size_t> m_held {0};
    std::atomic<std::size_t> m_awaited {0};
};

/// Progress of a request's body that is not complete.
struct body_progress {
    std::size_t heldBytes = 0; ///< Memory that its end frees.
    std::size_t receivedBytes = 0;
    mono_time lastByte {}; ///< When its newest byte was received, or its call began.
};

/// Shortest time without a byte after which a body may be ended under pressure. Bodies that arrive on slow paths pause for less.
inline constexpr std::chrono::milliseconds kMinQuietTime {500};

/// Returns the indices of the bodies to end so that at least the given bytes become free, or of as many as may be ended: the body without a byte for
/// the longest time first, then the one with fewer bytes received. A body that holds nothing or has had a byte within kMinQuietTime is not ended.
std::vector<std::size_t> bodiesToEnd(std::span<const body_progress> bodies, std::size_t bytes, mono_time now);

} // namespace sequoiawharf
