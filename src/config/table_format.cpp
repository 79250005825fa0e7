#include "src/config/row_names.h"
#include "src/config/table_yaml.h"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace sequoiawharf
{

namespace
{

using text_buffer = fmt::memory_buffer;

template<typename... args> void append(text_buffer &out, fmt::format_string<args...> format, args &&...values)
{
    fmt::format_to(std::back_inserter(out), format, std::forward<args>(values)...);
}

void appendRoute(text_buffer &out, const route &rule)
{
    append(out, "  - name: \"{}\"\n    path: \"{}\"\n", rule.name.str(), rule.pathPrefix);
    if (!rule.methods.empty()) {
        append(out, "    methods: [{}]\n", fmt::join(rule.methods, ", "));
    }
    append(out, "    pool: \"{}\"\n    class: {}\n    deadline: {}ms\n", rule.pool.str(), toString(rule.priority), rule.deadline.count());
    if (rule.idempotent) {
        append(out, "    idempotent: {}\n", *rule.idempotent);
    }
    append(out, "    max_body_bytes: {}\n", rule.maxBodyBytes);
}

void appendEndpoint(text_buffer &out, const endpoint &member)
{
    append(out, "      - {{address: \"{}\", data_centre: \"{}\"", toString(member.address), member.dataCentre.str());
    append(out, "{}}}\n", member.leaving ? ", leaving: true" : "");
}

void appendPool(text_buffer &out, const pool &entry)
{
    append(out, "  - name: \"{}\"\n    slots: {}\n    connections: {}\n", entry.name.str(), entry.slots, entry.maxConnections);
    if (!entry.loadPath.empty()) {
        append(out, "    load_path: \"{}\"\n", entry.loadPath);
    }
    if (!entry.notRunStatuses.empty()) {
        append(out, "    not_run_statuses: [{}]\n", fmt::join(entry.notRunStatuses, ", "));
    }
    if (entry.endpoints.empty()) {
        return append(out, "    endpoints: []\n");
    }
    append(out, "    endpoints:\n");
    std::ranges::for_each(entry.endpoints, [&](const endpoint &member) {
        appendEndpoint(out, member);
    });
}

} // namespace

std::string formatRoutes(const route_table &routes)
{
    if (routes.routes().empty()) {
        return "routes: []\n";
    }
    text_buffer out;
    append(out, "routes:\n");
    std::ranges::for_each(routes.routes(), [&](const route &rule) {
        appendRoute(out, rule);
    });
    return fmt::to_string(out);
}

std::string formatPools(const pool_table &pools)
{
    if (pools.pools().empty()) {
        return "pools: []\n";
    }
    text_buffer out;
    append(out, "pools:\n");
    std::ranges::for_each(pools.pools(), [&](const pool &entry) {
        appendPool(out, entry);
    });
    return fmt::to_string(out);
}

} // namespace sequoiawharf
