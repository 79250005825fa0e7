#include "sequoiawharf/configuration_record.h"
#include "src/config/record_keys.h"
#include "src/config/row_names.h"

#include <boost/json.hpp>

#include <algorithm>
#include <ranges>

namespace sequoiawharf
{

namespace
{

namespace json = boost::json;
namespace keys = record_keys;

json::string_view textOf(std::string_view text)
{
    return {text.data(), text.size()};
}

template<typename range, typename projection> json::array toArray(const range &items, projection toValue)
{
    json::array out;
    std::ranges::for_each(items, [&](const auto &item) {
        out.emplace_back(toValue(item));
    });
    return out;
}

void addUnlessEmpty(json::object &target, const char *key, json::array &&list)
{
    if (!list.empty()) {
        target[key] = std::move(list);
    }
}

template<typename name_type> json::string nameText(const name_type &name)
{
    return json::string(textOf(name.str()));
}

json::string addressText(const host_port &address)
{
    return json::string(textOf(toString(address)));
}

json::object toJson(const route &rule)
{
    json::object out;
    out[keys::kName] = nameText(rule.name);
    if (!rule.host.empty()) {
        out[keys::kHost] = textOf(rule.host);
    }
    out[keys::kPath] = textOf(rule.pathPrefix);
    if (rule.subpathsOnly) {
        out[keys::kBeneathOnly] = true;
    }
    addUnlessEmpty(out, keys::kSplit, toArray(rule.split, [](const pool_share_weight &part) {
                       return json::object {{keys::kPool, nameText(part.pool)}, {keys::kWeight, part.weight}};
                   }));
    addUnlessEmpty(out, keys::kMethods, toArray(rule.methods, [](const std::string &method) {
                       return json::string(textOf(method));
                   }));
    out[keys::kPool] = nameText(rule.pool);
    out[keys::kClass] = textOf(toString(rule.priority));
    out[keys::kDeadlineMs] = rule.deadline.count();
    if (rule.idempotent) {
        out[keys::kIdempotent] = *rule.idempotent;
    }
    out[keys::kMaxBodyBytes] = rule.maxBodyBytes;
    if (rule.maxAttempts > 0) {
        out[keys::kMaxAttempts] = rule.maxAttempts;
    }
    if (rule.latencyObjective.count() > 0) {
        out[keys::kObjectiveMs] = rule.latencyObjective.count();
    }
    if (rule.isPublic) {
        out[keys::kPublic] = true;
    }
    addUnlessEmpty(out, keys::kHomes, toArray(rule.homes, nameText<region_id>));
    return out;
}

// Groups endpoints by data centre, so that its name is not repeated for each endpoint.
void addEndpoints(json::object &target, const char *key, const std::vector<endpoint> &endpoints)
{
    json::object byCentre;
    std::ranges::for_each(endpoints, [&](const endpoint &member) {
        auto &list = byCentre[textOf(member.dataCentre.str())];
        if (!list.is_array()) {
            list = json::array();
        }
        list.as_array().emplace_back(addressText(member.address));
    });
    target[key] = std::move(byCentre);
    json::array addresses;
    std::ranges::transform(endpoints | std::views::filter(&endpoint::leaving), std::back_inserter(addresses), [](const endpoint &member) {
        return json::value(addressText(member.address));
    });
    addUnlessEmpty(target, keys::kLeaving, std::move(addresses));
}

json::object toJson(const pool &entry)
{
    json::object out;
    out[keys::kName] = nameText(entry.name);
    out[keys::kSlots] = entry.slots;
    out[keys::kConnections] = entry.maxConnections;
    if (!entry.loadPath.empty()) {
        out[keys::kLoadPath] = textOf(entry.loadPath);
    }
    if (!entry.probePath.empty()) {
        out[keys::kProbePath] = textOf(entry.probePath);
    }
    addUnlessEmpty(out, keys::kNotRunStatuses, toArray(entry.notRunStatuses, [](std::uint16_t status) {
                       return json::value(status);
                   }));
    if (entry.warmupTime.count() > 0) {
        out[keys::kWarmupMs] = entry.warmupTime.count();
    }
    if (entry.coldCallsPerSecond > 0) {
        out[keys::kColdCallsPerSecond] = entry.coldCallsPerSecond;
    }
    addEndpoints(out, keys::kEndpoints, entry.endpoints);
    return out;
}

json::object toJson(const pool_patch &patch)
{
    json::object out;
    out[keys::kPool] = nameText(patch.pool);
    if (!patch.set.empty()) {
        addEndpoints(out, keys::kSet, patch.set);
    }
    addUnlessEmpty(out, keys::kRemoved, toArray(patch.removed, addressText));
    return out;
}

json::object toJson(const organisation &entry)
{
    json::object out;
    out[keys::kName] = nameText(entry.name);
    addUnlessEmpty(out, keys::kKeys, toArray(entry.keys, [](const std::string &key) {
                       return json::string(textOf(key));
                   }));
    if (entry.priority) {
        out[keys::kClass] = textOf(toString(*entry.priority));
    }
    if (entry.quota.isSet()) {
        out[keys::kCallsPerSecond] = entry.quota.perSecond;
        out[keys::kBurst] = entry.quota.burst;
    }
    addUnlessEmpty(out, keys::kHomes, toArray(entry.homes, nameText<region_id>));
    return out;
}

json::object toJson(const whole_tables &tables)
{
    json::object out;
    out[keys::kRoutes] = toArray(tables.routes.routes(), [](const route &rule) {
        return toJson(rule);
    });
    out[keys::kPools] = toArray(tables.pools.pools(), [](const pool &entry) {
        return toJson(entry);
    });
    // Left out when empty, so that instances of earlier builds can read the tables of deployments without organisations.
    addUnlessEmpty(out, keys::kOrganisations, toArray(tables.organisations.organisations(), [](const organisation &entry) {
                       return toJson(entry);
                   }));
    return out;
}

json::object toJson(const table_delta &delta)
{
    const auto row = [](const auto &entry) {
        return toJson(entry);
    };
    const auto name = [](const auto &entry) {
        return nameText(entry);
    };
    json::object out;
    addUnlessEmpty(out, keys::kRoutesSet, toArray(delta.routesSet, row));
    addUnlessEmpty(out, keys::kRoutesRemoved, toArray(delta.routesRemoved, name));
    addUnlessEmpty(out, keys::kPoolsSet, toArray(delta.poolsSet, row));
    addUnlessEmpty(out, keys::kPoolsRemoved, toArray(delta.poolsRemoved, name));
    addUnlessEmpty(out, keys::kPoolsPatched, toArray(delta.poolsPatched, row));
    addUnlessEmpty(out, keys::kOrganisationsSet, toArray(delta.organisationsSet, row));
    addUnlessEmpty(out, keys::kOrganisationsRemoved, toArray(delta.organisationsRemoved, name));
    return out;
}

json::object toJson(const publication &record)
{
    json::object out;
    out[keys::kKind] = keys::kPublication;
    out[keys::kId] = nameText(record.id);
    out[keys::kBase] = record.base;
    out[keys::kAuthor] = textOf(record.author);
    out[keys::kNote] = textOf(record.note);
    if (const auto *const tables = std::get_if<whole_tables>(&record.change)) {
        out[keys::kTables] = toJson(*tables);
    } else {
        out[keys::kDelta] = toJson(std::get<table_delta>(record.change));
    }
    return out;
}

json::object toJson(const state_record &record)
{
    json::object out;
    out[keys::kKind] = keys::kState;
    out[keys::kVersion] = record.version;
    out[keys::kAsOf] = record.asOf;
    out[keys::kTables] = toJson(record.tables);
    return out;
}

} // namespace

std::string encodeRecord(const configuration_record &record)
{
    const auto object = std::visit(
        [](const auto &value) {
            return toJson(value);
        },
        record);
    return json::serialize(object);
}

} // namespace sequoiawharf
