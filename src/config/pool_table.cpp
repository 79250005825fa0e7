#include "sequoiawharf/pool_table.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

void sortEndpoints(pool &entry)
{
    std::ranges::sort(entry.endpoints, {}, &endpoint::address);
}

std::vector<pool> withSortedEndpoints(std::vector<pool> pools)
{
    std::ranges::for_each(pools, sortEndpoints);
    return pools;
}

} // namespace

pool_table::pool_table(std::vector<pool> pools)
    : m_rows(withSortedEndpoints(std::move(pools)))
{
}

pool_table pool_table::with(std::vector<pool> set, const std::vector<pool_name> &removed) const
{
    pool_table result = *this;
    std::ranges::for_each(removed, [&](const pool_name &name) {
        result.m_rows.remove(name);
    });
    std::ranges::for_each(set, [&](pool &entry) {
        sortEndpoints(entry);
        result.m_rows.set(std::make_shared<const pool>(std::move(entry)));
    });
    return result;
}

} // namespace sequoiawharf
