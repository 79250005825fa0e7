#pragma once

#include "sequoiawharf/ids.h"
#include "sequoiawharf/row_list.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiawharf
{

/// Priority class of a route. Calls waiting for a pool are served in this order, most urgent first.
enum class route_class { Urgent, Normal, Bulk };

inline constexpr std::size_t kRouteClassCount = 3;

/// The weight of one pool among which a route divides its calls.
struct pool_share_weight {
    pool_name pool;
    std::uint32_t weight = 1; ///< Relative to the sum of the weights of the route's split.

    friend bool operator==(const pool_share_weight &, const pool_share_weight &) = default;
};

/// One rule of the route table: selects requests by host, path and method, and states the pool and the terms for their calls.
struct route {
    route_name name;
    std::string host; ///< Host of the request without a port; empty: every host.
    std::string pathPrefix; ///< Begins with '/'; matches whole path segments.
    bool subpathsOnly = false; ///< Only paths below the prefix match: the prefix without its final slash does not.
    std::vector<std::string> methods; ///< Empty: every method.
    pool_name pool;
    std::vector<pool_share_weight> split; ///< Divides the calls among pools by weight, in place of `pool`; empty: all calls go to `pool`.
    route_class priority = route_class::Normal;
    std::chrono::milliseconds deadline {1000};
    std::optional<bool> idempotent; ///< Unset: depends on the method, see isIdempotent().
    std::uint64_t maxBodyBytes = 1U << 20U;
    unsigned maxAttempts = 0; ///< Most endpoints that one call may be sent to; 0: limited by the pool only.
    std::chrono::milliseconds latencyObjective {0}; ///< Target time for an answer; 0: none.
    bool isPublic = false; ///< Calls need no key although the configuration holds organisations.
    std::vector<region_id> homes {}; ///< The only regions whose endpoints may serve the calls; empty: all.

    friend bool operator==(const route &, const route &) = default;
};

/// Returns whether a call on the route may run more than once: the route's `idempotent` if set, else false for POST and PATCH and true for every
/// other method. Thread safe.
bool isIdempotent(const route &rule, std::string_view method);

/// Returns the pool for one call, chosen by the weights of the route's split. unit: a random number in [0, 1). Thread safe.
const pool_name &choosePool(const route &rule, double unit);

/// The operators' table of routes. Immutable once built; const methods are thread safe. Copies share their routes.
class route_table
{
public:
    route_table() = default;

    /// Builds a table from routes in any order; lookups do not depend on the order. Precondition: names are unique.
    explicit route_table(std::vector<route> routes);

    /// Returns the route with the longest matching path prefix that allows the host and the method, or null. Of routes with the same prefix, one that
    /// names the host precedes one for every host. The cost grows with the number of path segments. The route lives as long as any table that holds
    /// it.
    const route *find(std::string_view host, std::string_view method, std::string_view path) const;

    /// Returns the route for a request without a host, or null.
    const route *find(std::string_view method, std::string_view path) const
    {
        return find({}, method, path);
    }

    /// Returns the route of that name, or null.
    const route *find(const route_name &name) const
    {
        return m_rows.find(name).get();
    }

    /// Returns the homes of all routes for the host together, those for every host included; empty: at least one route has none, or there is no route. The
    /// cost grows with the number of routes.
    std::vector<region_id> homesOf(std::string_view host) const;

    /// Returns another route with the same host and path prefix and at least one method in common, or null.
    const route *findOverlap(const route &rule) const;

    /// Returns all routes as a random-access range of const route &, ordered by name.
    auto routes() const
    {
        return m_rows.view();
    }

    /// Returns a copy of the table without the removed routes and with the set ones, which replace routes of the same name. Removed names that do not exist are
    /// ignored.
    route_table with(std::vector<route> set, const std::vector<route_name> &removed) const;

    friend bool operator==(const route_table &a, const route_table &b)
    {
        return a.m_rows == b.m_rows;
    }

private:
    void removeRow(const route_name &name);

    row_list<route> m_rows;
    std::vector<const route *> m_byPrefix; ///< The rows, ordered by prefix and name.
};

} // namespace sequoiawharf
