#include "sequoiawharf/configuration_record.h"

#include <algorithm>
#include <fmt/format.h>

namespace sequoiawharf
{

namespace
{

bool differOnlyInEndpoints(const pool &a, const pool &b)
{
    return a.slots == b.slots && a.maxConnections == b.maxConnections && a.loadPath == b.loadPath && a.probePath == b.probePath
           && a.notRunStatuses == b.notRunStatuses && a.warmupTime == b.warmupTime && a.coldCallsPerSecond == b.coldCallsPerSecond;
}

const endpoint *findEndpoint(const pool &entry, const host_port &address)
{
    const auto position = std::ranges::lower_bound(entry.endpoints, address, {}, &endpoint::address);
    return position != entry.endpoints.end() && position->address == address ? &*position : nullptr;
}

pool_patch makePatch(const pool &from, const pool &to)
{
    pool_patch patch;
    patch.pool = to.name;
    std::ranges::copy_if(to.endpoints, std::back_inserter(patch.set), [&](const endpoint &member) {
        const auto *const existing = findEndpoint(from, member.address);
        return existing == nullptr || *existing != member;
    });
    std::ranges::for_each(from.endpoints, [&](const endpoint &member) {
        if (findEndpoint(to, member.address) == nullptr) {
            patch.removed.push_back(member.address);
        }
    });
    return patch;
}

void addPoolChange(table_delta &delta, const pool *from, const pool &to)
{
    if (from == &to || (from != nullptr && *from == to)) {
        return;
    }
    if (from != nullptr && differOnlyInEndpoints(*from, to)) {
        auto patch = makePatch(*from, to);
        if (patch.set.size() + patch.removed.size() < to.endpoints.size()) {
            delta.poolsPatched.push_back(std::move(patch));
            return;
        }
    }
    delta.poolsSet.push_back(to);
}

void describePatch(const pool_patch &patch, const configuration &from, std::vector<std::string> &lines)
{
    const auto *const existing = from.pools.find(patch.pool);
    std::ranges::for_each(patch.removed, [&](const host_port &address) {
        lines.push_back(fmt::format("pool {}: endpoint {} removed", patch.pool.str(), toString(address)));
    });
    std::ranges::for_each(patch.set, [&](const endpoint &member) {
        const bool exists = existing != nullptr && findEndpoint(*existing, member.address) != nullptr;
        lines.push_back(fmt::format("pool {}: endpoint {} {}: data centre {}{}",
                                    patch.pool.str(),
                                    toString(member.address),
                                    exists ? "changed" : "added",
                                    member.dataCentre.str(),
                                    member.leaving ? ", leaving" : ""));
    });
}

} // namespace

bool table_delta::empty() const
{
    return *this == table_delta {};
}

table_delta makeDelta(const configuration &from, const whole_tables &to)
{
    const auto &[routes, pools, organisations] = to;
    table_delta delta;
    std::ranges::for_each(routes.routes(), [&](const route &rule) {
        const auto *const existing = from.routes.find(rule.name);
        if (existing == nullptr || *existing != rule) {
            delta.routesSet.push_back(rule);
        }
    });
    std::ranges::for_each(from.routes.routes(), [&](const route &rule) {
        if (routes.find(rule.name) == nullptr) {
            delta.routesRemoved.push_back(rule.name);
        }
    });
    std::ranges::for_each(pools.pools(), [&](const pool &entry) {
        addPoolChange(delta, from.pools.find(entry.name), entry);
    });
    std::ranges::for_each(from.pools.pools(), [&](const pool &entry) {
        if (pools.find(entry.name) == nullptr) {
            delta.poolsRemoved.push_back(entry.name);
        }
    });
    std::ranges::for_each(organisations.organisations(), [&](const organisation &entry) {
        const auto *const existing = from.organisations.find(entry.name);
        if (existing == nullptr || (existing != &entry && *existing != entry)) {
            delta.organisationsSet.push_back(entry);
        }
    });
    std::ranges::for_each(from.organisations.organisations(), [&](const organisation &entry) {
        if (to.organisations.find(entry.name) == nullptr) {
            delta.organisationsRemoved.push_back(entry.name);
        }
    });
    return delta;
}

std::vector<std::string> describe(const table_delta &delta, const configuration &from)
{
    std::vector<std::string> lines;
    std::ranges::for_each(delta.routesRemoved, [&](const route_name &name) {
        lines.push_back(fmt::format("route {} removed", name.str()));
    });
    std::ranges::for_each(delta.routesSet, [&](const route &rule) {
        const bool exists = from.routes.find(rule.name) != nullptr;
        lines.push_back(fmt::format("route {} {}: path {}, pool {}", rule.name.str(), exists ? "changed" : "added", rule.pathPrefix, rule.pool.str()));
    });
    std::ranges::for_each(delta.poolsRemoved, [&](const pool_name &name) {
        lines.push_back(fmt::format("pool {} removed", name.str()));
    });
    std::ranges::for_each(delta.poolsSet, [&](const pool &entry) {
        const bool exists = from.pools.find(entry.name) != nullptr;
        lines.push_back(fmt::format("pool {} {}: {} endpoints", entry.name.str(), exists ? "changed" : "added", entry.endpoints.size()));
    });
    std::ranges::for_each(delta.poolsPatched, [&](const pool_patch &patch) {
        describePatch(patch, from, lines);
    });
    std::ranges::for_each(delta.organisationsRemoved, [&](const organisation_name &name) {
        lines.push_back(fmt::format("organisation {} removed", name.str()));
    });
    std::ranges::for_each(delta.organisationsSet, [&](const organisation &entry) {
        const bool exists = from.organisations.find(entry.name) != nullptr;
        lines.push_back(fmt::format("organisation {} {}: {} keys", entry.name.str(), exists ? "changed" : "added", entry.keys.size()));
    });
    return lines;
}

} // namespace sequoiawharf
