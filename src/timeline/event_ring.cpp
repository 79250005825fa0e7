#include "src/timeline/event_ring.h"

#include <algorithm>
#include <cassert>
#include <span>

namespace sequoiawharf
{

event_ring::event_ring(std::size_t capacity)
    : m_capacity(capacity)
    , m_slots(std::make_unique<slot[]>(capacity))
{
    assert(capacity > 0);
}

bool event_ring::tryLock(slot &place)
{
    return !place.locked.exchange(true, std::memory_order_acquire);
}

void event_ring::unlock(slot &place)
{
    place.locked.store(false, std::memory_order_release);
}

void event_ring::push(event &&entry)
{
    auto &place = m_slots[m_next.fetch_add(1, std::memory_order_relaxed) % m_capacity];
    if (!tryLock(place)) {
        m_dropped.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    place.entry = std::move(entry);
    place.filled = true;
    unlock(place);
}

std::vector<event> event_ring::snapshot() const
{
    std::vector<event> events;
    std::ranges::for_each(std::span(m_slots.get(), m_capacity), [&](slot &place) {
        if (!tryLock(place)) {
            return;
        }
        if (place.filled) {
            events.push_back(place.entry);
        }
        unlock(place);
    });
    std::ranges::sort(events, {}, &event::time);
    return events;
}

} // namespace sequoiawharf
