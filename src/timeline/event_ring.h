#pragma once

#include "sequoiawharf/event.h"

#include <atomic>
#include <memory>
#include <vector>

namespace sequoiawharf
{

/// A ring buffer of the newest events. Several threads may write and read at the same time without waiting: an event whose slot is in use by
/// another thread is dropped and counted.
class event_ring
{
public:
    /// Precondition: capacity > 0.
    explicit event_ring(std::size_t capacity);

    /// Stores the event in the slot of the oldest one. Thread safe.
    void push(event &&entry);

    /// Returns the stored events ordered by time, without those whose slot is in use by another thread. Thread safe.
    std::vector<event> snapshot() const;

    /// Returns the number of events that push() dropped. Thread safe.
    std::uint64_t dropped() const
    {
        return m_dropped.load(std::memory_order_relaxed);
    }

private:
    struct slot {
        std::atomic<bool> locked {false}; ///< A thread reads or writes the slot.
        bool filled = false;
        event entry;
    };

    static bool tryLock(slot &place);
    static void unlock(slot &place);

    std::size_t m_capacity;
    std::unique_ptr<slot[]> m_slots;
    std::atomic<std::uint64_t> m_next {0};
    std::atomic<std::uint64_t> m_dropped {0};
};

} // namespace sequoiawharf
