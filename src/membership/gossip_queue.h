#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace sequoiawharf
{

/// Queue of gossip items, each of which is sent a fixed number of times (Demers et al., "Epidemic algorithms for replicated database maintenance",
/// 1987). Not thread safe.
template<typename item> class gossip_queue
{
public:
    /// sends: default number of times that an item is sent.
    explicit gossip_queue(unsigned sends)
        : m_sends(sends)
    {
    }

    /// Adds an item and removes the queued ones for which same() returns true.
    template<typename predicate> void add(item content, predicate same)
    {
        add(std::move(content), same, m_sends);
    }

    /// As above, with another number of sends for this item.
    template<typename predicate> void add(item content, predicate same, unsigned sends)
    {
        std::erase_if(m_items, [&](const entry &queued) {
            return same(queued.content);
        });
        m_items.push_back({std::move(content), sends});
    }

    /// Returns the items with the most sends left, until the next one doesn't fit into room bytes, and subtracts their sizes from room. Counts
    /// one send of each and removes items without sends left.
    template<typename size_function> std::vector<item> dequeue(std::size_t &room, size_function size)
    {
        std::ranges::stable_sort(m_items, std::ranges::greater {}, &entry::sendsLeft);
        std::vector<item> batch;
        for (auto &queued : m_items) {
            const std::size_t bytes = size(queued.content);
            if (bytes > room) {
                break;
            }
            room -= bytes;
            --queued.sendsLeft;
            batch.push_back(queued.content);
        }
        std::erase_if(m_items, [](const entry &queued) {
            return queued.sendsLeft == 0;
        });
        return batch;
    }

    /// Returns whether no items are queued.
    bool empty() const
    {
        return m_items.empty();
    }

private:
    struct entry {
        item content;
        unsigned sendsLeft = 0;
    };

    unsigned m_sends;
    std::vector<entry> m_items;
};

} // namespace sequoiawharf
