#include "sequoiawharf/configuration.h"
#include "src/base/names.h"
#include "src/base/yaml_fields.h"
#include "src/config/table_rules.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <ranges>

namespace sequoiawharf
{

namespace
{

constexpr std::chrono::milliseconds kMaxDeadline = std::chrono::minutes(10);
constexpr std::uint32_t kMaxSlots = 10'000;
constexpr std::uint32_t kMaxConnections = 1'000'000;
constexpr std::uint64_t kMaxBodyBytesLimit = 1ULL << 40U;
constexpr std::size_t kMaxPathBytes = 1000;
constexpr std::size_t kMaxRows = 10'000;
constexpr std::size_t kMaxEndpoints = 10'000;
constexpr std::uint16_t kLowestErrorStatus = 400;
constexpr std::uint16_t kHighestErrorStatus = 599;

void add(std::vector<table_fault> &faults, std::string message)
{
    faults.push_back({std::move(message), 0});
}

bool isMethod(std::string_view text)
{
    return !text.empty() && text.size() <= 32 && std::ranges::all_of(text, [](char c) {
        return c >= 'A' && c <= 'Z';
    });
}

void checkName(std::string_view kind, const std::string &name, std::vector<table_fault> &faults)
{
    if (!name.empty() && !isName(name)) {
        add(faults, fmt::format("{} \"{}\": the name must be up to {} printable characters without spaces or quotes", kind, name, kMaxNameBytes));
    }
}

void checkPath(const route &rule, std::vector<table_fault> &faults)
{
    const auto &path = rule.pathPrefix;
    if (!path.starts_with('/')) {
        add(faults, fmt::format("route \"{}\": path \"{}\" does not begin with '/'", rule.name.str(), path));
    }
    if (path.size() > kMaxPathBytes || !isPrintable(path) || path.find_first_of("?#") != std::string::npos) {
        add(faults, fmt::format("route \"{}\": path must be up to {} printable characters without '?' or '#'", rule.name.str(), kMaxPathBytes));
    }
}

void checkMethods(const route &rule, std::vector<table_fault> &faults)
{
    if (!std::ranges::all_of(rule.methods, isMethod)) {
        add(faults, fmt::format("route \"{}\": methods must be words in capitals, such as GET", rule.name.str()));
    }
}

void checkOverlap(const route &rule, const route_table &routes, std::vector<table_fault> &faults)
{
    const auto *const other = routes.findOverlap(rule);
    if (other != nullptr) {
        add(faults,
            fmt::format("route \"{}\": route \"{}\" takes the same path \"{}\" with a common method", rule.name.str(), other->name.str(), rule.pathPrefix));
    }
}

void checkEndpoint(const pool &entry, const endpoint &member, std::vector<table_fault> &faults)
{
    const auto address = toString(member.address);
    if (!parseHostPort(address)) {
        add(faults, fmt::format("pool \"{}\": endpoint \"{}\" is not an IP number and a port", entry.name.str(), address));
    }
    if (member.dataCentre.empty()) {
        add(faults, fmt::format("pool \"{}\": endpoint {} has no data centre", entry.name.str(), address));
    }
    checkName("data centre", member.dataCentre.str(), faults);
}

void checkEndpoints(const pool &entry, std::vector<table_fault> &faults)
{
    if (entry.endpoints.size() > kMaxEndpoints) {
        add(faults, fmt::format("pool \"{}\": {} endpoints are more than {}", entry.name.str(), entry.endpoints.size(), kMaxEndpoints));
    }
    const auto duplicate = std::ranges::adjacent_find(entry.endpoints, {}, &endpoint::address);
    if (duplicate != entry.endpoints.end()) {
        add(faults, fmt::format("pool \"{}\": endpoint {} is listed twice", entry.name.str(), toString(duplicate->address)));
    }
    std::ranges::for_each(entry.endpoints, [&](const endpoint &member) {
        checkEndpoint(entry, member, faults);
    });
}

template<typename rows, typename projection>
void checkDuplicateNames(const rows &table, projection nameOf, std::string_view kind, std::vector<table_fault> &faults)
{
    for (auto row = std::ranges::adjacent_find(table, {}, nameOf); row != table.end();
         row = std::ranges::adjacent_find(std::next(row), table.end(), {}, nameOf)) {
        add(faults, fmt::format("{} \"{}\" is listed twice", kind, std::invoke(nameOf, *row).str()));
    }
}

} // namespace

void checkPoolExists(const route &rule, const pool_table &pools, std::vector<table_fault> &faults)
{
    std::ranges::for_each(rule.split, [&](const pool_share_weight &part) {
        if (pools.find(part.pool) == nullptr) {
            add(faults, fmt::format("route \"{}\": pool \"{}\" of its split does not exist in the pool table", rule.name.str(), part.pool.str()));
        }
    });
    if (rule.split.empty() && pools.find(rule.pool) == nullptr) {
        add(faults, fmt::format("route \"{}\": pool \"{}\" does not exist in the pool table", rule.name.str(), rule.pool.str()));
    }
}

void checkRoute(const route &rule, const route_table &routes, const pool_table &pools, std::vector<table_fault> &faults)
{
    const auto &name = rule.name.str();
    if (name.empty()) {
        add(faults, fmt::format("a route with path \"{}\" has no name", rule.pathPrefix));
    }
    checkName("route", name, faults);
    checkPath(rule, faults);
    checkMethods(rule, faults);
    checkPoolExists(rule, pools, faults);
    checkOverlap(rule, routes, faults);
    if (rule.deadline <= std::chrono::milliseconds::zero() || rule.deadline > kMaxDeadline) {
        add(faults, fmt::format("route \"{}\": deadline of {} ms is outside 1 to {} ms", name, rule.deadline.count(), kMaxDeadline.count()));
    }
    if (rule.maxBodyBytes > kMaxBodyBytesLimit) {
        add(faults, fmt::format("route \"{}\": max_body_bytes of {} is over {}", name, rule.maxBodyBytes, kMaxBodyBytesLimit));
    }
}

void checkPool(const pool &entry, std::vector<table_fault> &faults)
{
    const auto &name = entry.name.str();
    if (name.empty()) {
        add(faults, "a pool has no name");
    }
    checkName("pool", name, faults);
    if (entry.slots == 0 || entry.slots > kMaxSlots) {
        add(faults, fmt::format("pool \"{}\": {} slots are outside 1 to {}", name, entry.slots, kMaxSlots));
    }
    if (entry.maxConnections == 0 || entry.maxConnections > kMaxConnections) {
        add(faults, fmt::format("pool \"{}\": {} connections are outside 1 to {}", name, entry.maxConnections, kMaxConnections));
    }
    if (!entry.loadPath.empty() && (!entry.loadPath.starts_with('/') || entry.loadPath.size() > kMaxPathBytes || !isPrintable(entry.loadPath))) {
        add(faults, fmt::format("pool \"{}\": load_path must begin with '/' and hold no spaces", name));
    }
    const auto isErrorStatus = [](std::uint16_t status) {
        return status >= kLowestErrorStatus && status <= kHighestErrorStatus;
    };
    if (!std::ranges::all_of(entry.notRunStatuses, isErrorStatus)) {
        add(faults, fmt::format("pool \"{}\": not_run_statuses must be from {} to {}", name, kLowestErrorStatus, kHighestErrorStatus));
    }
    checkEndpoints(entry, faults);
}

void checkSizes(const route_table &routes, const pool_table &pools, std::vector<table_fault> &faults)
{
    if (routes.routes().size() > kMaxRows || pools.pools().size() > kMaxRows) {
        add(faults, fmt::format("a table has more than {} rows", kMaxRows));
    }
}

std::vector<table_fault> validate(const organisation_table &organisations)
{
    std::vector<table_fault> faults;
    const auto rows = organisations.organisations();
    if (rows.size() > kMaxRows) {
        add(faults, fmt::format("the table of organisations has more than {} rows", kMaxRows));
    }
    checkDuplicateNames(rows, &organisation::name, "organisation", faults);
    std::map<std::string_view, std::string_view> owners; // of the keys, which the messages must not contain
    std::ranges::for_each(rows, [&](const organisation &entry) {
        if (entry.name.empty()) {
            add(faults, "an organisation has no name");
        }
        checkName("organisation", entry.name.str(), faults);
        std::ranges::for_each(entry.keys, [&](const std::string &key) {
            const auto [owner, isNew] = owners.try_emplace(key, entry.name.str());
            if (key.empty()) {
                add(faults, fmt::format("organisation \"{}\" has an empty key", entry.name.str()));
            } else if (!isNew) {
                add(faults, fmt::format("organisation \"{}\" has a key that organisation \"{}\" has too", entry.name.str(), owner->second));
            }
        });
    });
    return faults;
}

std::vector<table_fault> validate(const route_table &routes, const pool_table &pools)
{
    std::vector<table_fault> faults;
    checkSizes(routes, pools, faults);
    checkDuplicateNames(routes.routes(), &route::name, "route", faults);
    checkDuplicateNames(pools.pools(), &pool::name, "pool", faults);
    std::ranges::for_each(routes.routes(), [&](const route &rule) {
        checkRoute(rule, routes, pools, faults);
    });
    std::ranges::for_each(pools.pools(), [&](const pool &entry) {
        checkPool(entry, faults);
    });
    return faults;
}

} // namespace sequoiawharf
