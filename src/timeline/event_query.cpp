#include "src/timeline/event_query.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <ranges>
#include <tuple>

namespace sequoiawharf
{

namespace
{

namespace json = boost::json;

std::string textAt(const json::object &object, std::string_view key)
{
    const auto *const value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

template<typename number> number numberAt(const json::object &object, std::string_view key)
{
    const auto *const value = object.if_contains(key);
    json::error_code error;
    const auto result = value == nullptr ? number {} : value->to_number<number>(error);
    return error ? number {} : result;
}

json::object toJson(const event &entry)
{
    return {
        {"wall_ms", entry.time.wallMs},
        {"counter", entry.time.counter},
        {"kind", toString(entry.kind)},
        {"call", entry.call == 0 ? std::string() : formatCallId(entry.call)},
        {"pool", entry.pool},
        {"subject", entry.subject},
        {"detail", entry.detail},
    };
}

std::optional<event> toEvent(const json::value &value)
{
    const auto *const object = value.if_object();
    const auto kind = object == nullptr ? std::nullopt : eventKindOf(textAt(*object, "kind"));
    if (!kind) {
        return std::nullopt;
    }
    event entry;
    entry.kind = *kind;
    entry.time = {numberAt<std::int64_t>(*object, "wall_ms"), numberAt<std::uint32_t>(*object, "counter")};
    const auto call = textAt(*object, "call");
    std::from_chars(call.data(), call.data() + call.size(), entry.call, 16);
    entry.pool = textAt(*object, "pool");
    entry.subject = textAt(*object, "subject");
    entry.detail = textAt(*object, "detail");
    return entry;
}

} // namespace

bool matches(const event_query &query, const event &entry)
{
    return entry.time.wallMs >= query.sinceMs && (query.pool.empty() || query.pool == entry.pool) && (query.kind.empty() || query.kind == toString(entry.kind))
           && (query.call == 0 || query.call == entry.call);
}

std::string formatEvents(const event_page &page)
{
    json::array events;
    std::ranges::transform(page.events, std::back_inserter(events), toJson);
    return json::serialize(json::object {{"instance", page.instance.str()}, {"dropped", page.dropped}, {"events", std::move(events)}}) + "\n";
}

std::optional<event_page> parseEvents(std::string_view text)
{
    json::error_code error;
    const auto value = json::parse(text, error);
    const auto *const object = error ? nullptr : value.if_object();
    const auto *const events = object == nullptr ? nullptr : object->if_contains("events");
    if (events == nullptr || !events->is_array()) {
        return std::nullopt;
    }
    event_page page;
    page.instance = instance_id(textAt(*object, "instance"));
    page.dropped = numberAt<std::uint64_t>(*object, "dropped");
    std::ranges::for_each(events->get_array(), [&](const json::value &item) {
        if (auto entry = toEvent(item)) {
            page.events.push_back(std::move(*entry));
        }
    });
    return page;
}

std::vector<instance_event> mergeEvents(const std::vector<event_page> &pages)
{
    std::vector<instance_event> merged;
    std::ranges::for_each(pages, [&](const event_page &page) {
        std::ranges::transform(page.events, std::back_inserter(merged), [&](const event &entry) {
            return instance_event {page.instance, entry};
        });
    });
    std::ranges::stable_sort(merged, [](const instance_event &a, const instance_event &b) {
        return std::tie(a.entry.time, a.instance) < std::tie(b.entry.time, b.instance);
    });
    return merged;
}

std::optional<event_kind> eventKindOf(std::string_view name)
{
    const auto kinds = std::views::iota(0, static_cast<int>(event_kind::StopEnded) + 1);
    const auto found = std::ranges::find_if(kinds, [&](int index) {
        return toString(static_cast<event_kind>(index)) == name;
    });
    return found == kinds.end() ? std::nullopt : std::optional(static_cast<event_kind>(*found));
}

} // namespace sequoiawharf
