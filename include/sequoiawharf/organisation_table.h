#pragma once

#include "sequoiawharf/ids.h"
#include "sequoiawharf/route_table.h"
#include "sequoiawharf/row_list.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sequoiawharf
{

/// The most calls of an organisation that all instances together may send to endpoints.
struct call_quota {
    double perSecond = 0; ///< 0: unlimited.
    double burst = 0; ///< Calls allowed beyond the rate within any window.

    /// Returns whether the calls of the organisation are limited.
    bool isSet() const
    {
        return perSecond > 0;
    }
    friend bool operator==(const call_quota &, const call_quota &) = default;
};

/// A customer whose callers present its keys. Its name is passed to targets; its keys never are, nor are they logged.
struct organisation {
    organisation_name name;
    std::vector<std::string> keys;
    std::optional<route_class> priority; ///< Replaces the class of the route; unset: the route's class applies.
    call_quota quota;
    std::vector<region_id> homes; ///< The only regions whose endpoints may serve its calls; empty: all.

    friend bool operator==(const organisation &, const organisation &) = default;
};

/// The operators' table of organisations. Immutable once built; const methods are thread safe. Copies share their rows.
class organisation_table
{
public:
    organisation_table() = default;

    /// Builds a table from organisations in any order. Precondition: names are unique.
    explicit organisation_table(std::vector<organisation> organisations);

    /// Returns whether the table has no rows; calls then need no key.
    bool empty() const
    {
        return m_rows.pointers().empty();
    }

    /// Returns the organisation of that name, or null. It lives as long as any table that holds it.
    const organisation *find(const organisation_name &name) const
    {
        return m_rows.find(name).get();
    }

    /// Returns all organisations as a random-access range of const organisation &, ordered by name.
    auto organisations() const
    {
        return m_rows.view();
    }

    /// Returns a copy of the table without the removed organisations and with the set ones, which replace those of the same name. Removed names that
    /// do not exist are ignored.
    organisation_table with(std::vector<organisation> set, const std::vector<organisation_name> &removed) const;

    friend bool operator==(const organisation_table &, const organisation_table &) = default;

private:
    row_list<organisation> m_rows;
};

} // namespace sequoiawharf
