#pragma once

#include "sequoiawharf/ids.h"
#include "sequoiawharf/row_list.h"

#include "sequoiawharf/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace sequoiawharf
{

/// One address at which a target of a pool serves.
struct endpoint {
    host_port address;
    data_centre_id dataCentre;
    bool leaving = false; ///< Takes no new calls.
    std::string identity {}; ///< Name by which the process at the address knows itself; empty: not known.
    std::uint64_t incarnation = 0; ///< Tells successive processes of one identity apart; 0: not known.
    mono_time warmupEnd {}; ///< Slow until then, as discovery says; the epoch: not known.

    friend bool operator==(const endpoint &, const endpoint &) = default;
};

/// A named set of endpoints that serve the same calls.
struct pool {
    pool_name name;
    std::uint32_t slots = 4; ///< Calls that one endpoint serves at the same time.
    std::uint32_t maxConnections = 250; ///< Connections that one endpoint allows to all instances together.
    std::string loadPath; ///< Page of an endpoint that reports its load; empty: none.
    std::string probePath; ///< Page that tells at once how an endpoint is, asked right before a call is sent; empty: none.
    std::vector<std::uint16_t> notRunStatuses; ///< Answer statuses by which a target says that it did not run the call.
    std::vector<endpoint> endpoints; ///< Ordered by address.

    friend bool operator==(const pool &, const pool &) = default;
};

/// The operators' table of pools. An immutable value once built; const methods are thread safe. Copies share their pools.
class pool_table
{
public:
    pool_table() = default;

    /// Takes the pools and their endpoints in any order. Precondition: pool names are unique.
    explicit pool_table(std::vector<pool> pools);

    /// Returns the pool of that name, or null. It lives as long as a table that holds it.
    const pool *find(const pool_name &name) const
    {
        return m_rows.find(name).get();
    }

    /// Returns the pool of that name, or null. Tables made from each other return the same object for a pool that did not change.
    std::shared_ptr<const pool> findShared(const pool_name &name) const
    {
        return m_rows.find(name);
    }

    /// Returns all pools as a random-access range of const pool &, ordered by name.
    auto pools() const
    {
        return m_rows.view();
    }

    /// Returns a table without the removed pools and with those set, which replace pools of the same name.
    pool_table with(std::vector<pool> set, const std::vector<pool_name> &removed) const;

    friend bool operator==(const pool_table &, const pool_table &) = default;

private:
    row_list<pool> m_rows;
};

} // namespace sequoiawharf
