#include "sequoiawharf/organisation_table.h"

#include <algorithm>

namespace sequoiawharf
{

organisation_table::organisation_table(std::vector<organisation> organisations)
    : m_rows(std::move(organisations))
{
}

organisation_table organisation_table::with(std::vector<organisation> set, const std::vector<organisation_name> &removed) const
{
    organisation_table result = *this;
    std::ranges::for_each(removed, [&](const organisation_name &name) {
        result.m_rows.remove(name);
    });
    std::ranges::for_each(set, [&](organisation &entry) {
        result.m_rows.set(std::make_shared<const organisation>(std::move(entry)));
    });
    return result;
}

} // namespace sequoiawharf
