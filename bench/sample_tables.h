#pragma once

#include "sequoiawharf/configuration.h"

#include <fmt/format.h>

#include <utility>
#include <vector>

namespace sequoiawharf::bench
{

/// Returns one endpoint of a sample pool. centres is the number of data centres over which a pool's endpoints are spread and must not be 0.
inline endpoint makeEndpoint(unsigned pool, unsigned number, unsigned centres, bool leaving = false)
{
    const auto host = fmt::format("10.{}.{}.{}", pool / 250, pool % 250, number + 1);
    return {{host, 9000}, data_centre_id(fmt::format("centre-{:02}", number % centres)), leaving};
}

/// Returns both tables at version 1, with the given number of pools named "service-NNNN", endpoints per pool, and one route to each pool.
inline configuration makeConfiguration(unsigned pools, unsigned endpoints, unsigned centres)
{
    std::vector<route> routes;
    std::vector<pool> rows;
    for (unsigned p = 0; p < pools; ++p) {
        pool entry;
        entry.name = pool_name(fmt::format("service-{:04}", p));
        entry.loadPath = "/load";
        entry.notRunStatuses = {503};
        for (unsigned n = 0; n < endpoints; ++n) {
            entry.endpoints.push_back(makeEndpoint(p, n, centres));
        }
        route rule;
        rule.name = route_name(fmt::format("route-{:04}", p));
        rule.pathPrefix = fmt::format("/service-{:04}", p);
        rule.pool = entry.name;
        routes.push_back(std::move(rule));
        rows.push_back(std::move(entry));
    }
    return {1, route_table(std::move(routes)), pool_table(std::move(rows))};
}

} // namespace sequoiawharf::bench
