#pragma once

#include "sequoiawharf/configuration_record.h"

#include <rapidcheck.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <ranges>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace sequoiawharf::testing
{

/// Returns an endpoint whose address and data centre follow from the number.
inline endpoint makeEndpoint(unsigned number, bool leaving = false)
{
    const auto host = "127.9.0." + std::to_string(number % 250 + 1);
    return {{host, static_cast<std::uint16_t>(9000 + number)}, data_centre_id(number % 2 == 0 ? "dc-a" : "dc-b"), leaving};
}

/// Returns a pool of numbered endpoints, which are leaving if the number of slots is odd.
inline pool makePool(const std::string &name, const std::vector<unsigned> &endpoints, std::uint32_t slots = 4)
{
    pool entry;
    entry.name = pool_name(name);
    entry.slots = slots;
    for (const auto number : endpoints) {
        entry.endpoints.push_back(makeEndpoint(number, slots % 2 == 1));
    }
    return entry;
}

/// Returns a route with its own name as path prefix.
inline route makeRoute(const std::string &name, const std::string &poolName)
{
    route rule;
    rule.name = route_name(name);
    rule.pathPrefix = "/" + name;
    rule.pool = pool_name(poolName);
    return rule;
}

/// Draws valid tables of up to six pools, each with a route.
inline rc::Gen<whole_tables> anyTables()
{
    using pool_row = std::tuple<unsigned, std::vector<unsigned>, unsigned>;
    const auto anyRow
        = rc::gen::tuple(rc::gen::inRange(0U, 6U), rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 12U)), rc::gen::inRange(1U, 6U));
    return rc::gen::map(rc::gen::container<std::vector<pool_row>>(anyRow), [](const std::vector<pool_row> &rows) {
        std::map<std::string, pool> pools;
        std::vector<route> routes;
        for (const auto &[number, endpoints, slots] : rows) {
            const auto name = "p" + std::to_string(number);
            const std::set<unsigned> distinct(endpoints.begin(), endpoints.end());
            if (pools.emplace(name, makePool(name, {distinct.begin(), distinct.end()}, slots)).second) {
                routes.push_back(makeRoute("r" + std::to_string(slots) + "-" + std::to_string(number), name));
            }
        }
        std::vector<pool> values;
        std::ranges::copy(pools | std::views::values, std::back_inserter(values));
        return whole_tables {route_table(std::move(routes)), pool_table(std::move(values))};
    });
}

/// Returns the text of a publication that changes a configuration into the tables.
inline std::string publicationText(const std::string &id, const configuration &from, const whole_tables &to)
{
    return encodeRecord(publication {publication_id(id), from.version, makeDelta(from, to), "tester", "note"});
}

/// Returns tables of one pool with that many slots, by which tests distinguish versions.
inline whole_tables simpleTables(std::uint32_t slots)
{
    return {route_table({makeRoute("r", "p")}), pool_table({makePool("p", {1, 2}, slots)})};
}

} // namespace sequoiawharf::testing
