#include "sequoiawharf/route_table.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace sequoiawharf
{

namespace
{

bool allowsMethod(const route &rule, std::string_view method)
{
    return rule.methods.empty() || std::ranges::find(rule.methods, method) != rule.methods.end();
}

// Returns how specifically the rule matches the request: 0 no match, 1 it allows every host, 2 it names the host.
int specificityOf(const route &rule, std::string_view host, std::string_view method, std::string_view path)
{
    const bool matchesPath = !rule.subpathsOnly || path.starts_with(rule.pathPrefix);
    if (!matchesPath || !allowsMethod(rule, method)) {
        return 0;
    }
    if (rule.host.empty()) {
        return 1;
    }
    return rule.host == host ? 2 : 0;
}

bool methodsOverlap(const route &a, const route &b)
{
    return a.methods.empty() || std::ranges::any_of(a.methods, [&](const std::string &method) {
               return allowsMethod(b, method);
           });
}

// Returns the path without its last segment: "/a/b" to "/a", "/a" to "/", "/" to "".
std::string_view parentOf(std::string_view path)
{
    const auto slash = path.rfind('/');
    if (path.size() <= 1 || slash == std::string_view::npos) {
        return {};
    }
    return slash == 0 ? path.substr(0, 1) : path.substr(0, slash);
}

std::string_view withoutTrailingSlash(std::string_view path)
{
    return path.size() > 1 && path.ends_with('/') ? path.substr(0, path.size() - 1) : path;
}

std::string_view prefixOf(const route *rule)
{
    return withoutTrailingSlash(rule->pathPrefix);
}

std::tuple<std::string_view, const route_name &> orderOf(const route *rule)
{
    return {prefixOf(rule), rule->name};
}

} // namespace

bool isIdempotent(const route &rule, std::string_view method)
{
    return rule.idempotent.value_or(method != "POST" && method != "PATCH");
}

route_table::route_table(std::vector<route> routes)
    : m_rows(std::move(routes))
{
    std::ranges::transform(m_rows.pointers(), std::back_inserter(m_byPrefix), [](const auto &row) {
        return row.get();
    });
    std::ranges::sort(m_byPrefix, {}, orderOf);
}

const pool_name &choosePool(const route &rule, double unit)
{
    if (rule.split.empty()) {
        return rule.pool;
    }
    const auto total = std::accumulate(rule.split.begin(), rule.split.end(), std::uint64_t {0}, [](std::uint64_t sum, const pool_share_weight &part) {
        return sum + part.weight;
    });
    auto remaining = unit * static_cast<double>(total);
    const auto chosen = std::ranges::find_if(rule.split, [&](const pool_share_weight &part) {
        remaining -= part.weight;
        return remaining < 0;
    });
    return chosen == rule.split.end() ? rule.split.back().pool : chosen->pool;
}

const route *route_table::find(std::string_view host, std::string_view method, std::string_view path) const
{
    for (auto prefix = withoutTrailingSlash(path); !prefix.empty(); prefix = parentOf(prefix)) {
        const auto candidates = std::ranges::equal_range(m_byPrefix, prefix, {}, prefixOf);
        const auto best = std::ranges::max_element(candidates, {}, [&](const route *rule) {
            return specificityOf(*rule, host, method, path);
        });
        if (best != candidates.end() && specificityOf(**best, host, method, path) > 0) {
            return *best;
        }
    }
    return nullptr;
}

std::vector<region_id> route_table::homesOf(std::string_view host) const
{
    std::vector<region_id> homes;
    for (const auto *rule : m_byPrefix) {
        if (!rule->host.empty() && rule->host != host) {
            continue;
        }
        if (rule->homes.empty()) {
            return {};
        }
        homes.insert(homes.end(), rule->homes.begin(), rule->homes.end());
    }
    std::ranges::sort(homes);
    const auto duplicates = std::ranges::unique(homes);
    homes.erase(duplicates.begin(), duplicates.end());
    return homes;
}

const route *route_table::findOverlap(const route &rule) const
{
    const auto candidates = std::ranges::equal_range(m_byPrefix, prefixOf(&rule), {}, prefixOf);
    const auto match = std::ranges::find_if(candidates, [&](const route *other) {
        return other->name != rule.name && other->host == rule.host && methodsOverlap(rule, *other);
    });
    return match == candidates.end() ? nullptr : *match;
}

route_table route_table::with(std::vector<route> set, const std::vector<route_name> &removed) const
{
    route_table result = *this;
    std::ranges::for_each(removed, [&](const route_name &name) {
        result.removeRow(name);
    });
    std::ranges::for_each(set, [&](route &rule) {
        result.removeRow(rule.name);
        auto row = std::make_shared<const route>(std::move(rule));
        const auto position = std::ranges::upper_bound(result.m_byPrefix, orderOf(row.get()), {}, orderOf);
        result.m_byPrefix.insert(position, row.get());
        result.m_rows.set(std::move(row));
    });
    return result;
}

void route_table::removeRow(const route_name &name)
{
    const auto row = m_rows.find(name);
    if (!row) {
        return;
    }
    const auto range = std::ranges::equal_range(m_byPrefix, orderOf(row.get()), {}, orderOf);
    m_byPrefix.erase(range.begin(), range.end());
    m_rows.remove(name);
}

} // namespace sequoiawharf
