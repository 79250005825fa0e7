#include "sequoiawharf/key_index.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <numeric>
#include <ranges>

namespace sequoiawharf
{

namespace
{

std::uint64_t hashOf(std::string_view key, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

// Compares without an early exit: the time must not tell how many leading bytes agree.
bool areEqual(std::string_view a, std::string_view b)
{
    if (a.size() != b.size()) {
        return false;
    }
    const auto difference = std::transform_reduce(a.begin(), a.end(), b.begin(), 0U, std::bit_or<> {}, [](char left, char right) {
        return static_cast<unsigned>(static_cast<unsigned char>(left) ^ static_cast<unsigned char>(right));
    });
    return difference == 0;
}

} // namespace

key_index::key_index(const organisation_table &organisations, std::uint64_t seed)
    : m_table(organisations)
    , m_seed(seed)
{
    std::ranges::for_each(m_table.organisations(), [this](const organisation &owner) {
        std::ranges::for_each(owner.keys, [&](const std::string &key) {
            if (find(key) == nullptr) {
                m_entries.emplace(hashOf(key, m_seed), entry {&owner, &key});
            }
        });
    });
}

const organisation *key_index::find(std::string_view key) const
{
    const auto [first, last] = m_entries.equal_range(hashOf(key, m_seed));
    const auto match = std::find_if(first, last, [&](const auto &item) {
        return areEqual(*item.second.key, key);
    });
    return match == last ? nullptr : match->second.owner;
}

} // namespace sequoiawharf
