#pragma once

#include "sequoiawharf/organisation_table.h"

#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace sequoiawharf
{

/// Finds the organisation that holds a key. Keys are hashed with a secret seed and compared in constant time, so that neither collisions nor response
/// times help to guess one. Immutable and thread safe.
class key_index
{
public:
    key_index() = default;

    /// Builds the index of a table. seed: random, drawn once per process. A key that two organisations hold belongs to the first by name.
    key_index(const organisation_table &organisations, std::uint64_t seed);

    /// Returns the organisation that holds the key, or null. It lives as long as the table.
    const organisation *find(std::string_view key) const;

private:
    struct entry {
        const organisation *owner = nullptr;
        const std::string *key = nullptr;
    };

    organisation_table m_table; ///< Keeps the rows alive that the entries point to.
    std::uint64_t m_seed = 0;
    std::unordered_multimap<std::uint64_t, entry> m_entries;
};

} // namespace sequoiawharf
