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

/// Order in which waiting calls of a pool are served, most urgent first.
enum class route_class { Urgent, Normal, Bulk };

inline constexpr std::size_t kRouteClassCount = 3;

/// One part of a route's calls, for routes that divide them among pools.
struct pool_share_weight {
    pool_name pool;
    std::uint32_t weight = 1; ///< Relative to the sum of the route's weights.

    friend bool operator==(const pool_share_weight &, const pool_share_weight &) = default;
};

/// One rule of the route table: which requests go to which pool, and how.
struct route {
    route_name name;
    std::string host; ///< Host that the request names, without a port; empty: every host.
    std::string pathPrefix; ///< Begins with '/'; matches whole path segments.
    bool subpathsOnly = false; ///< The path without the prefix's final slash does not match.
    std::vector<std::string> methods; ///< Empty: every method.
    pool_name pool;
    std::vector<pool_share_weight> split; ///< Divides the calls among pools; empty: all go to pool.
    route_class priority = route_class::Normal;
    std::chrono::milliseconds deadline {1000};
    std::optional<bool> idempotent; ///< Unset: decided by the method.
    std::uint64_t maxBodyBytes = 1U << 20U;
    unsigned maxAttempts = 0; ///< Most endpoints that one call may be sent to; 0: as many as the pool allows.
    std::chrono::milliseconds latencyObjective {0}; ///< Time within which an answer is worth most; 0: not stated.

    friend bool operator==(const route &, const route &) = default;
};

/// Tells whether a call on the route may run more than once: the route's word if it has one, else false for POST and PATCH. Thread safe.
bool isIdempotent(const route &rule, std::string_view method);

/// Draws the pool of one call by the route's weights; unit: a random number from 0 to 1. Thread safe.
const pool_name &choosePool(const route &rule, double unit);

/// The operators' table of routes. An immutable value once built; const methods are thread safe. Copies share their routes.
class route_table
{
public:
    route_table() = default;

    /// Takes the routes in any order; later lookups do not depend on it. Precondition: names are unique.
    explicit route_table(std::vector<route> routes);

    /// Returns the route with the longest matching path prefix that allows the method, or null. Cost grows with the number of path segments.
    /// Of two routes with one prefix, the one that names the host wins. The route lives as long as a table that holds it.
    const route *find(std::string_view host, std::string_view method, std::string_view path) const;

    /// Returns the route of a request that names no host.
    const route *find(std::string_view method, std::string_view path) const
    {
        return find({}, method, path);
    }

    /// Returns the route of that name, or null.
    const route *find(const route_name &name) const
    {
        return m_rows.find(name).get();
    }

    /// Returns another route that takes a request which the rule takes too, at the same path prefix, or null.
    const route *findOverlap(const route &rule) const;

    /// Returns all routes as a random-access range of const route &, ordered by name.
    auto routes() const
    {
        return m_rows.view();
    }

    /// Returns a table without the removed routes and with those set, which replace routes of the same name.
    route_table with(std::vector<route> set, const std::vector<route_name> &removed) const;

    friend bool operator==(const route_table &a, const route_table &b)
    {
        return a.m_rows == b.m_rows;
    }

private:
    void removeRow(const route_name &name);

    row_list<route> m_rows;
    std::vector<const route *> m_byPrefix; // the rows, ordered by prefix and name
};

} // namespace sequoiawharf
