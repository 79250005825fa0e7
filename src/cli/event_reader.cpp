#include "src/cli/event_reader.h"

#include "src/cli/fleet_status.h"
#include "src/shell/net/fetch_all.h"
#include "src/shell/platform/platform_session.h"

#include <boost/json.hpp>
#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>

namespace sequoiawharf::cli
{

namespace
{

constexpr std::chrono::seconds kEventFetchTimeout {2};

std::string toPath(const event_query &query)
{
    auto path = fmt::format("/events?since={}", query.sinceMs);
    if (!query.pool.empty()) {
        path += "&pool=" + query.pool;
    }
    if (!query.kind.empty()) {
        path += "&kind=" + query.kind;
    }
    if (query.call != 0) {
        path += "&call=" + formatCallId(query.call);
    }
    return path;
}

std::string formatTime(const hybrid_time &time)
{
    const std::chrono::milliseconds sinceEpoch(time.wallMs);
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(sinceEpoch);
    const wall_time wall(seconds);
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}+{}", fmt::gmtime(std::chrono::system_clock::to_time_t(wall)), time.wallMs % 1000, time.counter);
}

void printLine(const instance_event &event)
{
    const auto &entry = event.entry;
    fmt::print("{} {:<16} {:<22} {} {} {} {}\n",
               formatTime(entry.time),
               event.instance.str(),
               toString(entry.kind),
               entry.call == 0 ? "-" : formatCallId(entry.call),
               entry.pool.empty() ? "-" : entry.pool,
               entry.subject.empty() ? "-" : entry.subject,
               entry.detail);
}

boost::json::object toJson(const instance_event &event)
{
    const auto &entry = event.entry;
    return {
        {"wall_ms", entry.time.wallMs},
        {"counter", entry.time.counter},
        {"instance", event.instance.str()},
        {"kind", toString(entry.kind)},
        {"call", entry.call == 0 ? std::string() : formatCallId(entry.call)},
        {"pool", entry.pool},
        {"subject", entry.subject},
        {"detail", entry.detail},
    };
}

void printJson(const fleet_events &found)
{
    boost::json::array events;
    std::ranges::transform(found.events, std::back_inserter(events), [](const instance_event &event) {
        return toJson(event);
    });
    boost::json::array unanswered;
    std::ranges::transform(found.unanswered, std::back_inserter(unanswered), [](const host_port &admin) {
        return boost::json::value(toString(admin));
    });
    const boost::json::object page {{"events", std::move(events)}, {"silent", std::move(unanswered)}, {"dropped", found.dropped}};
    fmt::print("{}\n", boost::json::serialize(page));
}

} // namespace

fleet_events fetchEvents(const std::vector<host_port> &admins, const event_query &query)
{
    std::vector<http_request> requests;
    std::ranges::transform(admins, std::back_inserter(requests), [&](const host_port &admin) {
        http_request request;
        request.server = admin;
        request.path = toPath(query);
        return request;
    });
    const auto answers = fetchAll(requests, kEventFetchTimeout);
    fleet_events found;
    std::vector<event_page> pages;
    for (std::size_t i = 0; i < admins.size(); ++i) {
        auto page = answers[i] && answers[i]->status == 200 ? parseEvents(answers[i]->body) : std::nullopt;
        if (!page) {
            found.unanswered.push_back(admins[i]);
            continue;
        }
        found.dropped += page->dropped;
        pages.push_back(std::move(*page));
    }
    found.events = mergeEvents(pages);
    return found;
}

std::optional<std::vector<host_port>> findAdmins(const std::vector<host_port> &platform, const std::vector<std::string> &given)
{
    auto addresses = parseAddresses(given);
    if (!addresses || !addresses->empty()) {
        return addresses;
    }
    platform_session session(platform);
    const auto instances = findInstances(session, {});
    if (!instances) {
        fmt::print(stderr, "sequoiawharf: the platform's list of instances cannot be read; name them with --instance\n");
        return std::nullopt;
    }
    std::vector<host_port> admins;
    std::ranges::transform(*instances, std::back_inserter(admins), &instance_status::admin);
    return admins;
}

void printEvents(const fleet_events &found, bool asJson)
{
    if (asJson) {
        return printJson(found);
    }
    std::ranges::for_each(found.events, printLine);
    std::ranges::for_each(found.unanswered, [](const host_port &admin) {
        fmt::print("no answer from {}: its events are not included\n", toString(admin));
    });
    if (found.dropped > 0) {
        fmt::print("{} events were dropped by the instances\n", found.dropped);
    }
}

} // namespace sequoiawharf::cli
