#pragma once

#include "sequoiawharf/event.h"
#include "sequoiawharf/ids.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiawharf
{

/// A filter of events. An empty or zero field matches every event.
struct event_query {
    std::int64_t sinceMs = 0; ///< Earliest time, in wall-clock milliseconds.
    std::string pool;
    std::string kind;
    call_id call = 0;

    friend bool operator==(const event_query &, const event_query &) = default;
};

/// Returns whether the event passes the filter. Thread safe.
bool matches(const event_query &query, const event &entry);

/// An event with the instance that recorded it.
struct instance_event {
    instance_id instance;
    event entry;
};

/// Part of the time line of one instance.
struct event_page {
    instance_id instance;
    std::uint64_t dropped = 0; ///< Number of events that its ring could not keep.
    std::vector<event> events;
};

/// Returns the page as JSON. Thread safe.
std::string formatEvents(const event_page &page);

/// Parses a page from JSON, leaving out malformed events. Returns nothing when the text is not a page. Thread safe.
std::optional<event_page> parseEvents(std::string_view text);

/// Returns the events of all pages ordered by time, and by instance where times are equal. Thread safe.
std::vector<instance_event> mergeEvents(const std::vector<event_page> &pages);

/// Returns the kind with the given name, or nothing when there is none. Thread safe.
std::optional<event_kind> eventKindOf(std::string_view name);

} // namespace sequoiawharf
