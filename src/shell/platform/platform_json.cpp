#include "src/shell/platform/platform_json.h"

#include "src/base/yaml_fields.h"

#include <boost/json.hpp>

#include <algorithm>
#include <limits>
#include <optional>

namespace sequoiawharf
{

namespace
{

namespace json = boost::json;

constexpr std::uint64_t kMaxNumber = std::numeric_limits<std::int64_t>::max();

json::string_view textOf(std::string_view text)
{
    return {text.data(), text.size()};
}

std::optional<json::value> parse(std::string_view text)
{
    json::parse_options options;
    options.allow_invalid_utf8 = true; // records of the log may hold arbitrary bytes
    json::error_code error;
    auto value = json::parse(textOf(text), error, {}, options);
    if (error) {
        return std::nullopt;
    }
    return value;
}

std::optional<std::uint64_t> numberAt(const json::object &object, const char *key)
{
    const auto *const value = object.if_contains(key);
    if (value == nullptr) {
        return std::nullopt;
    }
    json::error_code error;
    const auto number = value->to_number<std::uint64_t>(error);
    if (error || number > kMaxNumber) {
        return std::nullopt;
    }
    return number;
}

std::string textAt(const json::object &object, const char *key)
{
    const auto *const value = object.if_contains(key);
    const auto *const text = value == nullptr ? nullptr : value->if_string();
    return text == nullptr ? std::string() : std::string(text->data(), text->size());
}

constexpr std::uint64_t kMaxTimeMs = 100'000'000'000'000; // year 5138

std::optional<wall_time> timeAt(const json::object &object, const char *key)
{
    const auto value = numberAt(object, key);
    if (!value || *value > kMaxTimeMs) {
        return std::nullopt;
    }
    return wall_time(std::chrono::milliseconds(*value));
}

std::int64_t toMs(wall_time time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

std::optional<log_record> toRecord(const json::value &value)
{
    const auto *const object = value.if_object();
    if (object == nullptr) {
        return std::nullopt;
    }
    const auto offset = numberAt(*object, "offset");
    const auto time = timeAt(*object, "time_ms");
    const auto *const data = object->if_contains("data");
    if (!offset || !time || data == nullptr || !data->is_string()) {
        return std::nullopt;
    }
    return log_record {*offset, *time, textAt(*object, "data")};
}

std::optional<listed_instance> toInstance(const json::value &value)
{
    const auto *const object = value.if_object();
    if (object == nullptr) {
        return std::nullopt;
    }
    const auto gateway = parseHostPort(textAt(*object, "gateway"));
    const auto peer = parseHostPort(textAt(*object, "peer"));
    const auto admin = parseHostPort(textAt(*object, "admin"));
    listed_instance instance;
    instance.id = instance_id(textAt(*object, "instance"));
    instance.dataCentre = data_centre_id(textAt(*object, "data_centre"));
    instance.region = region_id(textAt(*object, "region"));
    instance.leaving = textAt(*object, "state") == "leaving";
    if (!gateway || !peer || !admin || instance.id.empty()) {
        return std::nullopt;
    }
    instance.gateway = *gateway;
    instance.peer = *peer;
    instance.admin = *admin;
    return instance;
}

// Converts each item of a JSON list. Returns Malformed when it is no list or any item cannot be converted.
template<typename item, typename converter> platform_result<std::vector<item>> toList(const json::value *value, converter convert)
{
    const auto *const list = value == nullptr ? nullptr : value->if_array();
    if (list == nullptr) {
        return tl::unexpected(platform_error::Malformed);
    }
    std::vector<item> items;
    items.reserve(list->size());
    const bool readable = std::ranges::all_of(*list, [&](const json::value &entry) {
        auto converted = convert(entry);
        if (converted) {
            items.push_back(std::move(*converted));
        }
        return converted.has_value();
    });
    if (!readable) {
        return tl::unexpected(platform_error::Malformed);
    }
    return items;
}

} // namespace

std::string encodeAppended(log_offset offset)
{
    return json::serialize(json::object {{"offset", offset}});
}

platform_result<log_offset> parseAppended(std::string_view text)
{
    const auto value = parse(text);
    const auto *const object = value ? value->if_object() : nullptr;
    const auto offset = object == nullptr ? std::nullopt : numberAt(*object, "offset");
    if (!offset) {
        return tl::unexpected(platform_error::Malformed);
    }
    return *offset;
}

std::string encodePage(const log_page &page)
{
    json::array records;
    std::ranges::for_each(page.records, [&](const log_record &record) {
        records.push_back(json::object {{"offset", record.offset}, {"time_ms", toMs(record.time)}, {"data", textOf(record.data)}});
    });
    json::object out;
    out["first"] = page.first;
    out["next"] = page.next;
    out["oldest_ms"] = toMs(page.oldest);
    out["now_ms"] = toMs(page.now);
    out["records"] = std::move(records);
    return json::serialize(out);
}

platform_result<log_page> parsePage(std::string_view text)
{
    const auto value = parse(text);
    const auto *const object = value ? value->if_object() : nullptr;
    if (object == nullptr) {
        return tl::unexpected(platform_error::Malformed);
    }
    const auto first = numberAt(*object, "first");
    const auto next = numberAt(*object, "next");
    const auto oldest = timeAt(*object, "oldest_ms");
    const auto now = timeAt(*object, "now_ms");
    auto records = toList<log_record>(object->if_contains("records"), toRecord);
    if (!first || !next || !oldest || !now || !records || *first > *next) {
        return tl::unexpected(platform_error::Malformed);
    }
    return log_page {*first, *next, *oldest, *now, std::move(*records)};
}

std::string encodeInstances(const std::vector<listed_instance> &instances)
{
    json::array list;
    std::ranges::for_each(instances, [&](const listed_instance &instance) {
        json::object out;
        out["instance"] = textOf(instance.id.str());
        out["gateway"] = textOf(toString(instance.gateway));
        out["peer"] = textOf(toString(instance.peer));
        out["admin"] = textOf(toString(instance.admin));
        out["data_centre"] = textOf(instance.dataCentre.str());
        out["region"] = textOf(instance.region.str());
        out["state"] = instance.leaving ? "leaving" : "live";
        list.push_back(std::move(out));
    });
    return json::serialize(list);
}

platform_result<std::vector<listed_instance>> parseInstances(std::string_view text)
{
    const auto value = parse(text);
    return toList<listed_instance>(value ? &*value : nullptr, toInstance);
}

} // namespace sequoiawharf
