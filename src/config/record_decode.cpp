#include "sequoiawharf/configuration_record.h"
#include "src/base/yaml_fields.h"
#include "src/config/json_fields.h"
#include "src/config/record_keys.h"
#include "src/config/row_names.h"

#include <limits>
#include <set>

namespace sequoiawharf
{

namespace
{

namespace json = boost::json;
namespace keys = record_keys;
using fault_slot = std::optional<record_fault>;

constexpr std::uint64_t kMaxNumber = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t kMax32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t kMax16 = std::numeric_limits<std::uint16_t>::max();
constexpr std::size_t kMaxDepth = 16; // levels of nested JSON values

host_port readAddress(json_fields &fields, const json::value &value, const char *key)
{
    const auto address = parseHostPort(fields.textOf(value, key));
    if (!address) {
        fields.fail(fmt::format("\"{}\" holds a value that is not an IP address and a port", key));
        return {};
    }
    return *address;
}

bool readFlag(json_fields &fields, const char *key)
{
    const auto *const value = fields.find(key);
    if (value != nullptr && !value->is_bool()) {
        fields.fail(fmt::format("\"{}\" is not true or false", key));
    }
    return value != nullptr && value->is_bool() && value->get_bool();
}

std::uint64_t readOptionalNumber(json_fields &fields, const char *key, std::uint64_t high)
{
    const auto *const value = fields.find(key);
    return value == nullptr ? 0 : fields.numberOf(*value, key, high);
}

double readOptionalReal(json_fields &fields, const char *key)
{
    const auto *const value = fields.find(key);
    json::error_code error;
    const auto number = value == nullptr ? 0.0 : value->to_number<double>(error);
    if (error || !(number >= 0)) {
        fields.fail(fmt::format("\"{}\" is not a number from 0 up", key));
        return 0;
    }
    return number;
}

std::vector<region_id> readHomes(json_fields &fields)
{
    std::vector<region_id> homes;
    fields.forEach(keys::kHomes, [&](const json::value &home) {
        homes.emplace_back(fields.textOf(home, keys::kHomes));
    });
    return homes;
}

pool_share_weight readShare(const json::value &value, fault_slot &fault)
{
    json_fields fields(value, "split", fault);
    pool_share_weight part {pool_name(fields.text(keys::kPool)), static_cast<std::uint32_t>(fields.number(keys::kWeight, kMax32))};
    fields.rejectUnknown();
    return part;
}

route readRoute(const json::value &value, fault_slot &fault)
{
    route rule;
    json_fields fields(value, "route", fault);
    rule.name = route_name(fields.text(keys::kName));
    rule.host = fields.optionalText(keys::kHost);
    rule.pathPrefix = fields.text(keys::kPath);
    rule.subpathsOnly = readFlag(fields, keys::kBeneathOnly);
    fields.forEach(keys::kSplit, [&](const json::value &part) {
        rule.split.push_back(readShare(part, fault));
    });
    rule.maxAttempts = static_cast<unsigned>(readOptionalNumber(fields, keys::kMaxAttempts, kMax16));
    rule.latencyObjective = std::chrono::milliseconds(readOptionalNumber(fields, keys::kObjectiveMs, kMax32));
    fields.forEach(keys::kMethods, [&](const json::value &method) {
        rule.methods.push_back(fields.textOf(method, keys::kMethods));
    });
    rule.pool = pool_name(fields.text(keys::kPool));
    if (const auto priority = parseRouteClass(fields.text(keys::kClass))) {
        rule.priority = *priority;
    } else {
        fields.fail("\"class\" is not urgent, normal or bulk");
    }
    rule.deadline = std::chrono::milliseconds(fields.number(keys::kDeadlineMs, kMax32));
    if (const auto *const idempotent = fields.find(keys::kIdempotent)) {
        rule.idempotent = idempotent->is_bool() && idempotent->get_bool();
        if (!idempotent->is_bool()) {
            fields.fail("\"idempotent\" is not true or false");
        }
    }
    rule.maxBodyBytes = fields.number(keys::kMaxBodyBytes, kMaxNumber);
    rule.isPublic = readFlag(fields, keys::kPublic);
    rule.homes = readHomes(fields);
    fields.rejectUnknown();
    return rule;
}

void readCentre(json_fields &fields, const json::key_value_pair &entry, const char *key, std::vector<endpoint> &target)
{
    const auto *const list = entry.value().if_array();
    if (list == nullptr) {
        return fields.fail(fmt::format("\"{}\" does not give a list for each data centre", key));
    }
    const data_centre_id centre(std::string(entry.key().data(), entry.key().size()));
    std::ranges::transform(*list, std::back_inserter(target), [&](const json::value &address) {
        return endpoint {.address = readAddress(fields, address, key), .dataCentre = centre};
    });
}

std::vector<endpoint> readEndpoints(json_fields &fields, const char *key)
{
    std::vector<endpoint> endpoints;
    const auto *const value = fields.find(key);
    if (value != nullptr && !value->is_object()) {
        fields.fail(fmt::format("\"{}\" is not an object", key));
    } else if (value != nullptr) {
        std::ranges::for_each(value->get_object(), [&](const json::key_value_pair &entry) {
            readCentre(fields, entry, key, endpoints);
        });
    }
    std::set<host_port> leaving;
    fields.forEach(keys::kLeaving, [&](const json::value &address) {
        leaving.insert(readAddress(fields, address, keys::kLeaving));
    });
    std::ranges::for_each(endpoints, [&](endpoint &member) {
        member.leaving = leaving.contains(member.address);
    });
    std::ranges::sort(endpoints, {}, &endpoint::address);
    return endpoints;
}

pool readPool(const json::value &value, fault_slot &fault)
{
    pool entry;
    json_fields fields(value, "pool", fault);
    entry.name = pool_name(fields.text(keys::kName));
    entry.slots = static_cast<std::uint32_t>(fields.number(keys::kSlots, kMax32));
    entry.maxConnections = static_cast<std::uint32_t>(fields.number(keys::kConnections, kMax32));
    entry.loadPath = fields.optionalText(keys::kLoadPath);
    entry.probePath = fields.optionalText(keys::kProbePath);
    fields.forEach(keys::kNotRunStatuses, [&](const json::value &status) {
        entry.notRunStatuses.push_back(static_cast<std::uint16_t>(fields.numberOf(status, keys::kNotRunStatuses, kMax16)));
    });
    entry.warmupTime = std::chrono::milliseconds(readOptionalNumber(fields, keys::kWarmupMs, kMax32));
    entry.coldCallsPerSecond = readOptionalReal(fields, keys::kColdCallsPerSecond);
    fields.require(keys::kEndpoints);
    entry.endpoints = readEndpoints(fields, keys::kEndpoints);
    fields.rejectUnknown();
    return entry;
}

pool_patch readPatch(const json::value &value, fault_slot &fault)
{
    pool_patch patch;
    json_fields fields(value, "pool patch", fault);
    patch.pool = pool_name(fields.text(keys::kPool));
    patch.set = readEndpoints(fields, keys::kSet);
    fields.forEach(keys::kRemoved, [&](const json::value &address) {
        patch.removed.push_back(readAddress(fields, address, keys::kRemoved));
    });
    fields.rejectUnknown();
    return patch;
}

organisation readOrganisation(const json::value &value, fault_slot &fault)
{
    organisation entry;
    json_fields fields(value, "organisation", fault);
    entry.name = organisation_name(fields.text(keys::kName));
    fields.forEach(keys::kKeys, [&](const json::value &key) {
        entry.keys.push_back(fields.textOf(key, keys::kKeys));
    });
    if (fields.find(keys::kClass) != nullptr) {
        entry.priority = parseRouteClass(fields.text(keys::kClass));
        if (!entry.priority) {
            fields.fail("\"class\" is not urgent, normal or bulk");
        }
    }
    entry.quota = {readOptionalReal(fields, keys::kCallsPerSecond), readOptionalReal(fields, keys::kBurst)};
    entry.homes = readHomes(fields);
    fields.rejectUnknown();
    return entry;
}

whole_tables readTables(const json::value &value, fault_slot &fault)
{
    std::vector<route> routes;
    std::vector<pool> pools;
    std::vector<organisation> organisations;
    json_fields fields(value, "tables", fault);
    fields.require(keys::kRoutes);
    fields.require(keys::kPools);
    fields.forEach(keys::kRoutes, [&](const json::value &row) {
        routes.push_back(readRoute(row, fault));
    });
    fields.forEach(keys::kPools, [&](const json::value &row) {
        pools.push_back(readPool(row, fault));
    });
    fields.forEach(keys::kOrganisations, [&](const json::value &row) {
        organisations.push_back(readOrganisation(row, fault));
    });
    fields.rejectUnknown();
    return {route_table(std::move(routes)), pool_table(std::move(pools)), organisation_table(std::move(organisations))};
}

table_delta readDelta(const json::value &value, fault_slot &fault)
{
    table_delta delta;
    json_fields fields(value, "delta", fault);
    fields.forEach(keys::kRoutesSet, [&](const json::value &row) {
        delta.routesSet.push_back(readRoute(row, fault));
    });
    fields.forEach(keys::kRoutesRemoved, [&](const json::value &name) {
        delta.routesRemoved.emplace_back(fields.textOf(name, keys::kRoutesRemoved));
    });
    fields.forEach(keys::kPoolsSet, [&](const json::value &row) {
        delta.poolsSet.push_back(readPool(row, fault));
    });
    fields.forEach(keys::kPoolsRemoved, [&](const json::value &name) {
        delta.poolsRemoved.emplace_back(fields.textOf(name, keys::kPoolsRemoved));
    });
    fields.forEach(keys::kPoolsPatched, [&](const json::value &patch) {
        delta.poolsPatched.push_back(readPatch(patch, fault));
    });
    fields.forEach(keys::kOrganisationsSet, [&](const json::value &row) {
        delta.organisationsSet.push_back(readOrganisation(row, fault));
    });
    fields.forEach(keys::kOrganisationsRemoved, [&](const json::value &name) {
        delta.organisationsRemoved.emplace_back(fields.textOf(name, keys::kOrganisationsRemoved));
    });
    fields.rejectUnknown();
    return delta;
}

publication readPublication(const json::value &value, fault_slot &fault)
{
    publication record;
    json_fields fields(value, "publication", fault);
    fields.find(keys::kKind);
    record.id = publication_id(fields.text(keys::kId));
    if (record.id.empty()) {
        fields.fail("has an empty \"id\"");
    }
    record.base = fields.number(keys::kBase, kMaxNumber);
    record.author = fields.optionalText(keys::kAuthor);
    record.note = fields.optionalText(keys::kNote);
    const auto *const tables = fields.find(keys::kTables);
    const auto *const delta = fields.find(keys::kDelta);
    if ((tables == nullptr) == (delta == nullptr)) {
        fields.fail("needs either \"tables\" or \"delta\"");
    } else if (tables != nullptr) {
        record.change = readTables(*tables, fault);
    } else {
        record.change = readDelta(*delta, fault);
    }
    fields.rejectUnknown();
    return record;
}

state_record readState(const json::value &value, fault_slot &fault)
{
    state_record record;
    json_fields fields(value, "state", fault);
    fields.find(keys::kKind);
    record.version = fields.number(keys::kVersion, kMaxNumber);
    record.asOf = fields.number(keys::kAsOf, kMaxNumber);
    if (record.version > record.asOf) {
        fields.fail("has a \"version\" after \"as_of\"");
    }
    if (const auto *const tables = fields.require(keys::kTables)) {
        record.tables = readTables(*tables, fault);
    }
    fields.rejectUnknown();
    return record;
}

} // namespace

tl::expected<configuration_record, record_fault> decodeRecord(std::string_view text)
{
    if (text.size() > kMaxRecordBytes) {
        return tl::unexpected(
            record_fault {record_error::TooLarge, fmt::format("the record has {} bytes, more than the limit of {}", text.size(), kMaxRecordBytes)});
    }
    json::parse_options options;
    options.max_depth = kMaxDepth;
    json::error_code error;
    json::monotonic_resource memory;
    const auto value = json::parse(json::string_view(text.data(), text.size()), error, &memory, options);
    if (error) {
        return tl::unexpected(record_fault {record_error::NotJson, error.message()});
    }

    fault_slot fault;
    json_fields fields(value, "record", fault);
    const auto kind = fields.text(keys::kKind);
    configuration_record record;
    if (fault) {
        return tl::unexpected(record_fault {record_error::UnknownKind, fault->detail});
    }
    if (kind == keys::kPublication) {
        record = readPublication(value, fault);
    } else if (kind == keys::kState) {
        record = readState(value, fault);
    } else {
        return tl::unexpected(record_fault {record_error::UnknownKind, "the kind of the record is unknown"});
    }
    if (fault) {
        return tl::unexpected(std::move(*fault));
    }
    return record;
}

} // namespace sequoiawharf
