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

/// One address at which a target of a pool serves calls.
struct endpoint {
    host_port address;
    data_centre_id dataCentre;
    bool leaving = false; ///< Gets no new calls.
    std::string identity {}; ///< Id of the target process at the address, as service discovery and the target itself report it; empty: unknown.
    std::uint64_t incarnation = 0; ///< Distinguishes successive processes of one identity; 0: unknown.
    mono_time warmupEnd {}; ///< When the warm-up of the process ends, as reported by service discovery; the epoch: unknown.
    std::uint32_t slots = 0; ///< Calls that the endpoint serves concurrently, as reported by service discovery; 0: as stated for the pool.

    friend bool operator==(const endpoint &, const endpoint &) = default;
};

/// A named set of interchangeable endpoints.
struct pool {
    pool_name name;
    std::uint32_t slots = 4; ///< Calls that one endpoint serves concurrently.
    std::uint32_t maxConnections = 250; ///< Connections that one endpoint accepts from all instances together.
    std::string loadPath; ///< Path of the page on which an endpoint reports its load; empty: none.
    std::string probePath; ///< Path of the page that is probed right before a call is sent; empty: no probing.
    std::vector<std::uint16_t> notRunStatuses; ///< Statuses of answers that mean that the target did not run the call.
    std::chrono::milliseconds warmupTime {0}; ///< How long an endpoint stays cold after its start; 0: not limited while it is cold.
    double coldCallsPerSecond = 0; ///< Rate that a cold endpoint tolerates from all instances together; 0: unlimited.
    std::vector<endpoint> endpoints; ///< Ordered by address.

    friend bool operator==(const pool &, const pool &) = default;
};

/// The operators' table of pools. Immutable once built; const methods are thread safe. Copies share their pools.
class pool_table
{
public:
    pool_table() = default;

    /// Builds a table from pools and endpoints in any order. Precondition: pool names are unique.
    explicit pool_table(std::vector<pool> pools);

    /// Returns the pool of that name, or null. The pool lives as long as any table that holds it.
    const pool *find(const pool_name &name) const
    {
        return m_rows.find(name).get();
    }

    /// Returns the pool of that name, or null. Tables derived from each other by with() return the same object for an
    /// unchanged pool.
    std::shared_ptr<const pool> findShared(const pool_name &name) const
    {
        return m_rows.find(name);
    }

    /// Returns all pools as a random-access range of const pool &, ordered by name.
    auto pools() const
    {
        return m_rows.view();
    }

    /// Returns a copy of the table without the removed pools and with the set ones, which replace pools of the same name. Removed names that do not exist are
    /// ignored.
    pool_table with(std::vector<pool> set, const std::vector<pool_name> &removed) const;

    friend bool operator==(const pool_table &, const pool_table &) = default;

private:
    row_list<pool> m_rows;
};

} // namespace sequoiawharf
