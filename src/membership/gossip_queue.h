#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace sequoiawharf
{

/// News that are passed on a fixed number of times each (Demers et al., "Epidemic algorithms for replicated database maintenance", 1987).
/// Not thread safe.
template<typename item> class gossip_queue
{
public:
    explicit gossip_queue(unsigned sends)
        : m_sends(sends)
    {
    }

    /// Adds an item in place of those that same() holds to be about the same thing.
    template<typename predicate> void add(item news, predicate same)
    {
        add(std::move(news), same, m_sends);
    }

    /// As above, to be passed on another number of times.
    template<typename predicate> void add(item news, predicate same, unsigned sends)
    {
        std::erase_if(m_items, [&](const entry &old) {
            return same(old.news);
        });
        m_items.push_back({std::move(news), sends});
    }

    /// Takes the items that were passed on least, up to a sum of sizes, and lowers room by it.
    template<typename size_function> std::vector<item> take(std::size_t &room, size_function size)
    {
        std::ranges::stable_sort(m_items, std::ranges::greater {}, &entry::left);
        std::vector<item> taken;
        for (auto &old : m_items) {
            const std::size_t bytes = size(old.news);
            if (bytes > room) {
                break;
            }
            room -= bytes;
            --old.left;
            taken.push_back(old.news);
        }
        std::erase_if(m_items, [](const entry &old) {
            return old.left == 0;
        });
        return taken;
    }

    bool empty() const
    {
        return m_items.empty();
    }

private:
    struct entry {
        item news;
        unsigned left = 0;
    };

    unsigned m_sends;
    std::vector<entry> m_items;
};

} // namespace sequoiawharf
