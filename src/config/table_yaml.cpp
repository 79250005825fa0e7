#include "src/config/table_yaml.h"

#include "src/base/yaml_fields.h"
#include "src/config/row_names.h"
#include "src/config/table_rules.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <ranges>

namespace sequoiawharf
{

namespace
{

using std::chrono::milliseconds;
using fault_list = std::vector<table_fault>;

constexpr std::uint64_t kMaxBodyBytes = 1ULL << 40U;

// A row with the line on which it begins.
template<typename row> struct located_row {
    row value;
    int line = 0;
    bool complete = false; // the fields that the validation needs are present
};

int lineOf(const YAML::Node &node)
{
    return node.Mark().line + 1;
}

std::string nameOf(const YAML::Node &row)
{
    const auto name = row.IsMap() ? row["name"] : YAML::Node();
    return name.IsDefined() && name.IsScalar() ? name.Scalar() : std::string("?");
}

void readClass(yaml_fields &fields, route_class &target)
{
    std::string text(toString(target));
    fields.read("class", text);
    if (const auto value = parseRouteClass(text)) {
        target = *value;
    } else {
        fields.fault("class", "must be urgent, normal or bulk");
    }
}

route readRouteRow(const YAML::Node &node, fault_list &faults)
{
    route rule;
    yaml_fields fields(node, fmt::format("route \"{}\"", nameOf(node)), faults);
    for (const auto *key : {"name", "path", "pool"}) {
        fields.require(key);
    }
    fields.read("name", rule.name);
    fields.read("path", rule.pathPrefix);
    fields.read("methods", rule.methods);
    fields.read("pool", rule.pool);
    readClass(fields, rule.priority);
    fields.read("deadline", rule.deadline, milliseconds(1), milliseconds(600'000));
    if (fields.child("idempotent").IsDefined()) {
        bool idempotent = false;
        fields.read("idempotent", idempotent);
        rule.idempotent = idempotent;
    }
    fields.readNumber("max_body_bytes", rule.maxBodyBytes, 0, kMaxBodyBytes);
    fields.rejectUnknown();
    return rule;
}

endpoint readEndpoint(const YAML::Node &node, const std::string &poolName, fault_list &faults)
{
    endpoint member;
    yaml_fields fields(node, fmt::format("pool \"{}\": endpoint", poolName), faults);
    fields.require("address");
    fields.require("data_centre");
    fields.read("address", member.address);
    fields.read("data_centre", member.dataCentre);
    fields.read("leaving", member.leaving);
    fields.rejectUnknown();
    return member;
}

void readStatuses(yaml_fields &fields, std::vector<std::uint16_t> &target)
{
    std::vector<std::string> texts;
    fields.read("not_run_statuses", texts);
    std::ranges::for_each(texts, [&](const std::string &text) {
        if (text.size() == 3 && std::ranges::all_of(text, [](char c) {
                return c >= '0' && c <= '9';
            })) {
            target.push_back(static_cast<std::uint16_t>(std::stoi(text)));
        } else {
            fields.fault("not_run_statuses", fmt::format("holds \"{}\", which is not a status from 400 to 599", text));
        }
    });
}

pool readPoolRow(const YAML::Node &node, fault_list &faults)
{
    pool entry;
    yaml_fields fields(node, fmt::format("pool \"{}\"", nameOf(node)), faults);
    fields.require("name");
    fields.require("endpoints");
    fields.read("name", entry.name);
    fields.readNumber("slots", entry.slots, 1, 10'000);
    fields.readNumber("connections", entry.maxConnections, 1, 1'000'000);
    fields.read("load_path", entry.loadPath);
    readStatuses(fields, entry.notRunStatuses);
    const auto members = fields.child("endpoints");
    if (members.IsDefined() && !members.IsSequence()) {
        fields.fault("endpoints", "must be a list");
    } else if (members.IsDefined()) {
        std::for_each(members.begin(), members.end(), [&](const YAML::Node &member) {
            auto value = readEndpoint(member, entry.name.str(), faults);
            if (value.address.port != 0 && !value.dataCentre.empty()) {
                entry.endpoints.push_back(std::move(value));
            }
        });
    }
    fields.rejectUnknown();
    return entry;
}

bool isComplete(const route &rule)
{
    return !rule.name.empty() && !rule.pathPrefix.empty() && !rule.pool.empty();
}

bool isComplete(const pool &entry)
{
    return !entry.name.empty();
}

template<typename row, typename reader>
std::vector<located_row<row>> readRows(const table_file &file, const std::string &key, reader readRow, fault_list &faults)
{
    std::vector<located_row<row>> rows;
    try {
        const auto root = YAML::Load(file.text);
        yaml_fields fields(root, "the file", faults);
        fields.require(key);
        const auto list = fields.child(key);
        fields.rejectUnknown();
        if (!list.IsDefined() || !list.IsSequence()) {
            faults.push_back({fmt::format("\"{}\" must be a list", key), lineOf(root)});
            return rows;
        }
        std::transform(list.begin(), list.end(), std::back_inserter(rows), [&](const YAML::Node &node) {
            auto value = readRow(node, faults);
            const bool complete = isComplete(value);
            return located_row<row> {std::move(value), lineOf(node), complete};
        });
    } catch (const YAML::Exception &error) {
        faults.push_back({error.msg, error.mark.line + 1});
    }
    return rows;
}

template<typename row> void checkDuplicates(const std::vector<located_row<row>> &rows, std::string_view kind, fault_list &faults)
{
    std::map<std::string, int> firstLine;
    std::ranges::for_each(rows, [&](const located_row<row> &entry) {
        const auto [first, isNew] = firstLine.emplace(entry.value.name.str(), entry.line);
        if (!isNew && !entry.value.name.empty()) {
            faults.push_back({fmt::format("{} \"{}\" is listed twice, first in line {}", kind, first->first, first->second), entry.line});
        }
    });
}

template<typename row> std::vector<row> valuesOf(const std::vector<located_row<row>> &rows)
{
    std::vector<row> values;
    std::ranges::transform(rows, std::back_inserter(values), &located_row<row>::value);
    return values;
}

// Checks the complete rows and sets the line of each fault that this adds.
template<typename row, typename check> void checkRows(const std::vector<located_row<row>> &rows, fault_list &faults, check checkRow)
{
    auto complete = rows | std::views::filter(&located_row<row>::complete);
    std::ranges::for_each(complete, [&](const located_row<row> &entry) {
        const auto before = faults.size();
        checkRow(entry.value);
        std::for_each(faults.begin() + static_cast<std::ptrdiff_t>(before), faults.end(), [&](table_fault &fault) {
            fault.line = entry.line;
        });
    });
}

void appendSorted(std::vector<file_fault> &target, const std::string &file, fault_list &&faults)
{
    std::ranges::stable_sort(faults, {}, &table_fault::line);
    const auto duplicates = std::ranges::unique(faults);
    faults.erase(duplicates.begin(), duplicates.end());
    std::ranges::transform(faults, std::back_inserter(target), [&](table_fault &fault) {
        return file_fault {file, std::move(fault)};
    });
}

} // namespace

std::string toString(const file_fault &fault)
{
    return fmt::format("{}:{}: {}", fault.file, fault.fault.line, fault.fault.message);
}

tl::expected<whole_tables, std::vector<file_fault>> parseTables(const table_file &routes, const table_file &pools)
{
    fault_list routeFaults;
    fault_list poolFaults;
    const auto routeRows = readRows<route>(routes, "routes", readRouteRow, routeFaults);
    const auto poolRows = readRows<pool>(pools, "pools", readPoolRow, poolFaults);
    whole_tables tables {route_table(valuesOf(routeRows)), pool_table(valuesOf(poolRows))};

    checkDuplicates(routeRows, "route", routeFaults);
    checkDuplicates(poolRows, "pool", poolFaults);
    checkSizes(tables.routes, tables.pools, poolFaults);
    const bool poolsUnreadable = poolRows.empty() && !poolFaults.empty();
    if (!poolsUnreadable) {
        checkRows(routeRows, routeFaults, [&](const route &rule) {
            checkRoute(rule, tables.routes, tables.pools, routeFaults);
        });
    }
    checkRows(poolRows, poolFaults, [&](const pool &entry) {
        checkPool(*tables.pools.find(entry.name), poolFaults);
    });

    std::vector<file_fault> faults;
    appendSorted(faults, routes.name, std::move(routeFaults));
    appendSorted(faults, pools.name, std::move(poolFaults));
    if (!faults.empty()) {
        return tl::unexpected(std::move(faults));
    }
    return tables;
}

} // namespace sequoiawharf
