#include "sequoiawharf/configuration_record.h"
#include "src/config/table_rules.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace sequoiawharf
{

namespace
{

using fault_list = std::vector<table_fault>;
using change_result = tl::expected<std::shared_ptr<const configuration>, fault_list>;

// Adds a fault for each name that the delta changes twice.
template<typename name> class changed_names
{
public:
    changed_names(std::string_view kind, fault_list &faults)
        : m_kind(kind)
        , m_faults(faults)
    {
    }
    void add(const name &value)
    {
        if (!m_names.insert(value).second) {
            m_faults.push_back({fmt::format("{} \"{}\" is changed twice", m_kind, value.str()), 0});
        }
    }

private:
    std::string_view m_kind;
    fault_list &m_faults;
    std::set<name> m_names;
};

void checkChangedOnce(const table_delta &delta, fault_list &faults)
{
    changed_names<route_name> routes("route", faults);
    changed_names<pool_name> pools("pool", faults);
    changed_names<organisation_name> organisations("organisation", faults);
    const auto addRoute = [&](const route_name &name) {
        routes.add(name);
    };
    const auto addPool = [&](const pool_name &name) {
        pools.add(name);
    };
    std::ranges::for_each(delta.routesSet, addRoute, &route::name);
    std::ranges::for_each(delta.routesRemoved, addRoute);
    std::ranges::for_each(delta.poolsSet, addPool, &pool::name);
    std::ranges::for_each(delta.poolsRemoved, addPool);
    std::ranges::for_each(delta.poolsPatched, addPool, &pool_patch::pool);
    const auto addOrganisation = [&](const organisation_name &name) {
        organisations.add(name);
    };
    std::ranges::for_each(delta.organisationsSet, addOrganisation, &organisation::name);
    std::ranges::for_each(delta.organisationsRemoved, addOrganisation);
}

void checkRemovedExist(const table_delta &delta, const configuration &from, fault_list &faults)
{
    std::ranges::for_each(delta.routesRemoved, [&](const route_name &name) {
        if (from.routes.find(name) == nullptr) {
            faults.push_back({fmt::format("route \"{}\" cannot be removed: it does not exist", name.str()), 0});
        }
    });
    std::ranges::for_each(delta.poolsRemoved, [&](const pool_name &name) {
        if (from.pools.find(name) == nullptr) {
            faults.push_back({fmt::format("pool \"{}\" cannot be removed: it does not exist", name.str()), 0});
        }
    });
    std::ranges::for_each(delta.organisationsRemoved, [&](const organisation_name &name) {
        if (from.organisations.find(name) == nullptr) {
            faults.push_back({fmt::format("organisation \"{}\" cannot be removed: it does not exist", name.str()), 0});
        }
    });
}

void applyTo(pool &entry, const pool_patch &patch, fault_list &faults)
{
    std::ranges::for_each(patch.removed, [&](const host_port &address) {
        if (std::erase_if(entry.endpoints,
                          [&](const endpoint &member) {
                              return member.address == address;
                          })
            == 0) {
            faults.push_back({fmt::format("pool \"{}\": endpoint {} cannot be removed: it does not exist", entry.name.str(), toString(address)), 0});
        }
    });
    std::ranges::for_each(patch.set, [&](const endpoint &member) {
        const auto existing = std::ranges::find(entry.endpoints, member.address, &endpoint::address);
        if (existing == entry.endpoints.end()) {
            entry.endpoints.push_back(member);
        } else {
            *existing = member;
        }
    });
}

std::vector<pool> poolsAfter(const table_delta &delta, const configuration &from, fault_list &faults)
{
    auto pools = delta.poolsSet;
    std::ranges::for_each(delta.poolsPatched, [&](const pool_patch &patch) {
        const auto *const existing = from.pools.find(patch.pool);
        if (existing == nullptr) {
            faults.push_back({fmt::format("pool \"{}\" cannot be patched: it does not exist", patch.pool.str()), 0});
            return;
        }
        applyTo(pools.emplace_back(*existing), patch, faults);
    });
    return pools;
}

// Validates the rows that the delta changes, and the routes whose pool it may have removed.
void checkChangedRows(const table_delta &delta, const configuration &next, fault_list &faults)
{
    std::ranges::for_each(delta.routesSet, [&](const route &rule) {
        checkRoute(rule, next.routes, next.pools, faults);
    });
    const auto checkByName = [&](const pool_name &name) {
        checkPool(*next.pools.find(name), faults);
    };
    std::ranges::for_each(delta.poolsSet, checkByName, &pool::name);
    std::ranges::for_each(delta.poolsPatched, checkByName, &pool_patch::pool);
    if (!delta.poolsRemoved.empty()) {
        std::ranges::for_each(next.routes.routes(), [&](const route &rule) {
            checkPoolExists(rule, next.pools, faults);
        });
    }
    checkSizes(next.routes, next.pools, faults);
    if (!delta.organisationsSet.empty()) {
        std::ranges::copy(validate(next.organisations), std::back_inserter(faults));
    }
}

change_result applyDelta(const configuration &from, const table_delta &delta, config_version version)
{
    auto next = applyTrustedDelta(from, delta, version);
    if (!next) {
        return tl::unexpected(std::move(next.error()));
    }
    fault_list faults;
    checkChangedRows(delta, *next, faults);
    if (!faults.empty()) {
        return tl::unexpected(std::move(faults));
    }
    return std::make_shared<const configuration>(std::move(*next));
}

change_result applyWhole(const whole_tables &tables, config_version version)
{
    auto faults = validate(tables.routes, tables.pools);
    std::ranges::copy(validate(tables.organisations), std::back_inserter(faults));
    if (!faults.empty()) {
        return tl::unexpected(std::move(faults));
    }
    return std::make_shared<const configuration>(
        configuration {.version = version, .routes = tables.routes, .pools = tables.pools, .organisations = tables.organisations});
}

} // namespace

tl::expected<configuration, fault_list> applyTrustedDelta(const configuration &from, const table_delta &delta, config_version version)
{
    fault_list faults;
    checkChangedOnce(delta, faults);
    checkRemovedExist(delta, from, faults);
    auto pools = poolsAfter(delta, from, faults);
    if (!faults.empty()) {
        return tl::unexpected(std::move(faults));
    }
    return configuration {.version = version,
                          .routes = from.routes.with(delta.routesSet, delta.routesRemoved),
                          .pools = from.pools.with(std::move(pools), delta.poolsRemoved),
                          .callers = from.callers,
                          .organisations = from.organisations.with(delta.organisationsSet, delta.organisationsRemoved)};
}

change_result applyChange(const configuration &from, const std::variant<whole_tables, table_delta> &change, config_version version)
{
    if (const auto *const tables = std::get_if<whole_tables>(&change)) {
        return applyWhole(*tables, version);
    }
    return applyDelta(from, std::get<table_delta>(change), version);
}

} // namespace sequoiawharf
