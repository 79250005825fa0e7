#include "src/shell/instance/endpoint_page.h"

#include "src/base/yaml_fields.h"
#include "src/shell/gateway/header_rules.h"
#include "src/shell/net/deflated.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace sequoiawharf
{

namespace
{

namespace json = boost::json;

// An entry is a row with these columns; a removal has only the first two. The era is the last column of records of another era than the page's. Field
// names would double the size of a page.
enum column : std::size_t { Identity, Offset, Incarnation, Sequence, Pool, Address, DataCentre, Slots, Leaving, WarmUpMs, ColumnCount };
constexpr std::size_t kRemovalColumns = Offset + 1;

constexpr const char *kEraField = "era";
constexpr const char *kConfigurationEraField = "config_era";

// Era 0 is left out, which is that of the earlier builds and of services that state none.
void addEra(json::object &object, const char *name, std::uint64_t era)
{
    if (era != 0) {
        object[name] = era;
    }
}

std::uint64_t eraIn(const json::object &object, const char *name)
{
    const auto *const era = object.if_contains(name);
    return era == nullptr ? 0 : era->to_number<std::uint64_t>();
}

json::array toJson(const discovery_record &record, std::uint64_t pageEra)
{
    json::array row {record.identity, record.position.offset};
    if (record.entry) {
        const auto &entry = *record.entry;
        row.insert(row.end(), {entry.incarnation, entry.sequence, entry.pool.str(), toString(entry.address)});
        row.insert(row.end(), {entry.dataCentre.str(), entry.slots, entry.leaving, entry.warmUp.count()});
    }
    if (record.position.era != pageEra) {
        row.push_back(record.position.era);
    }
    return row;
}

std::string textAt(const json::array &row, column at)
{
    return json::value_to<std::string>(row.at(at));
}

discovery_record toRecord(const json::value &value, std::uint64_t pageEra)
{
    const auto &row = value.as_array();
    const bool isRemoval = row.size() <= kRemovalColumns + 1;
    const bool hasEra = row.size() == (isRemoval ? kRemovalColumns : ColumnCount) + 1;
    discovery_record record;
    record.identity = textAt(row, Identity);
    record.position = {hasEra ? row.back().to_number<std::uint64_t>() : pageEra, row.at(Offset).to_number<log_offset>()};
    if (isRemoval) {
        return record;
    }
    const auto address = parseHostPort(textAt(row, Address));
    if (!address || row.size() != ColumnCount + (hasEra ? 1 : 0)) {
        throw boost::system::system_error(json::make_error_code(json::error::syntax));
    }
    endpoint_entry entry;
    entry.identity = record.identity;
    entry.incarnation = row.at(Incarnation).to_number<std::uint64_t>();
    entry.sequence = row.at(Sequence).to_number<std::uint64_t>();
    entry.pool = pool_name(textAt(row, Pool));
    entry.address = *address;
    entry.dataCentre = data_centre_id(textAt(row, DataCentre));
    entry.slots = row.at(Slots).to_number<std::uint32_t>();
    entry.leaving = row.at(Leaving).as_bool();
    entry.warmUp = std::chrono::milliseconds(row.at(WarmUpMs).to_number<std::int64_t>());
    record.entry = std::move(entry);
    return record;
}

json::object evacuationsToJson(const evacuation_state &state)
{
    json::array centres;
    std::ranges::transform(state.centres, std::back_inserter(centres), [](const data_centre_id &centre) {
        return json::value(centre.str());
    });
    json::object result {{"as_of", state.asOf.offset}, {"centres", std::move(centres)}};
    addEra(result, kEraField, state.asOf.era);
    return result;
}

evacuation_state toEvacuations(const json::value &value)
{
    evacuation_state state;
    state.asOf = {eraIn(value.as_object(), kEraField), value.as_object().at("as_of").to_number<log_offset>()};
    std::ranges::for_each(value.as_object().at("centres").as_array(), [&](const json::value &centre) {
        state.centres.emplace(json::value_to<std::string>(centre));
    });
    return state;
}

} // namespace

std::string endpointPagePath(log_position from)
{
    const auto era = from.era == 0 ? std::string {} : fmt::format("&{}={}", kEraField, from.era);
    return fmt::format("{}?from={}{}", kEndpointPage, from.offset, era);
}

std::optional<log_position> parseEndpointPageQuery(const std::map<std::string, std::string> &query)
{
    const auto numberOf = [&query](const char *name) {
        const auto found = query.find(name);
        return found == query.end() ? std::nullopt : parseDecimal(found->second);
    };
    const auto offset = numberOf("from");
    const auto era = query.contains(kEraField) ? numberOf(kEraField) : std::optional<std::uint64_t>(0);
    return offset && era ? std::optional(log_position {*era, *offset}) : std::nullopt;
}

std::string formatEndpointRecords(const std::vector<discovery_record> &records, std::uint64_t era)
{
    json::array rows;
    std::ranges::transform(records, std::back_inserter(rows), [era](const discovery_record &record) {
        return toJson(record, era);
    });
    return packedJson(json::serialize(rows));
}

std::string formatEndpointPage(const endpoint_page &page, std::string_view records)
{
    json::object head {
        {"next", page.changes.next.offset},
        {"whole", page.changes.isSnapshot},
        {"age_ms", page.age.count()},
        {"version", page.configuration.version},
        {"is_followed", page.configuration.isFollowed},
        {"config_next", page.configuration.next.offset},
    };
    addEra(head, kEraField, page.changes.next.era);
    addEra(head, kConfigurationEraField, page.configuration.next.era);
    if (page.configuration.proofAge) {
        head["proof_age_ms"] = page.configuration.proofAge->count();
    }
    if (page.configuration.evacuations) {
        head["evacuations"] = evacuationsToJson(*page.configuration.evacuations);
    }
    return fmt::format("{}\n{}", json::serialize(head), records);
}

std::optional<endpoint_page> parseEndpointPage(std::string_view text)
{
    const auto lineEnd = std::min(text.find('\n'), text.size());
    const auto headText = text.substr(0, lineEnd);
    const auto rows = unpackedJson(text.substr(std::min(lineEnd + 1, text.size())));
    if (!rows) {
        return std::nullopt;
    }
    try {
        const auto head = json::parse(json::string_view(headText.data(), headText.size()));
        const auto records = json::parse(*rows);
        const auto &object = head.as_object();
        endpoint_page page;
        page.changes.next = {eraIn(object, kEraField), object.at("next").to_number<log_offset>()};
        page.changes.isSnapshot = object.at("whole").as_bool();
        page.age = std::chrono::milliseconds(object.at("age_ms").to_number<std::int64_t>());
        page.configuration.version = object.at("version").to_number<config_version>();
        page.configuration.isFollowed = object.at("is_followed").as_bool();
        // Instances of earlier builds do not tell it.
        const auto *const next = object.if_contains("config_next");
        page.configuration.next = {eraIn(object, kConfigurationEraField), next == nullptr ? 0 : next->to_number<log_offset>()};
        if (const auto *const proofAge = object.if_contains("proof_age_ms")) {
            page.configuration.proofAge = std::chrono::milliseconds(proofAge->to_number<std::int64_t>());
        }
        if (const auto *const evacuations = object.if_contains("evacuations")) {
            page.configuration.evacuations = toEvacuations(*evacuations);
        }
        std::ranges::transform(records.as_array(), std::back_inserter(page.changes.records), [&page](const json::value &row) {
            return toRecord(row, page.changes.next.era);
        });
        return page;
    } catch (const std::exception &) {
        // Boost.JSON reports missing and mistyped fields by exceptions. The asking instance then reads the service itself.
        return std::nullopt;
    }
}

} // namespace sequoiawharf
