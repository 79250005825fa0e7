#include "src/shell/timeline/event_recorder.h"

#include "src/shell/net/log.h"
#include "src/timeline/event_query.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace sequoiawharf
{

namespace
{

constexpr std::string_view kRecorderPart = "event";

// Parses the value of a key into target, which stays unchanged when the query lacks the key. Returns false when the value is not a whole number.
template<typename number> bool readNumber(const page_request &request, const std::string &key, int base, number &target)
{
    const auto found = request.query.find(key);
    if (found == request.query.end()) {
        return true;
    }
    const auto &text = found->second;
    const auto *const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, target, base);
    return result.ec == std::errc {} && result.ptr == end;
}

std::string textOf(const page_request &request, const std::string &key)
{
    const auto found = request.query.find(key);
    return found == request.query.end() ? std::string() : found->second;
}

std::optional<event_query> toQuery(const page_request &request)
{
    event_query query;
    if (!readNumber(request, "since", 10, query.sinceMs) || !readNumber(request, "call", 16, query.call)) {
        return std::nullopt;
    }
    query.pool = textOf(request, "pool");
    query.kind = textOf(request, "kind");
    if (!query.kind.empty() && !eventKindOf(query.kind)) {
        return std::nullopt;
    }
    return query;
}

} // namespace

event_recorder::event_recorder(instance_id self, std::size_t capacity)
    : m_self(std::move(self))
    , m_ring(capacity)
{
}

void event_recorder::record(event entry)
{
    entry.time = m_clock.tick(std::chrono::system_clock::now());
    logTo(log_level::Info,
          kRecorderPart,
          "{}. call={} pool=\"{}\" subject=\"{}\" {}",
          toString(entry.kind),
          entry.call == 0 ? std::string("none") : formatCallId(entry.call),
          entry.pool,
          entry.subject,
          entry.detail);
    m_ring.push(std::move(entry));
}

page_answer event_recorder::page(const page_request &request) const
{
    const auto query = toQuery(request);
    if (!query) {
        return {400, "text/plain", "since is in milliseconds, call in hexadecimal, and kind the name of a kind of event\n"};
    }
    event_page page {m_self, m_ring.dropped(), m_ring.snapshot()};
    std::erase_if(page.events, [&](const event &entry) {
        return !matches(*query, entry);
    });
    return {200, "application/json", formatEvents(page)};
}

} // namespace sequoiawharf
