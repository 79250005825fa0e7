#include "sequoiawharf/pool_watch.h"

#include "sequoiawharf/routing.h"
#include "src/balance/endpoint_health.h"
#include "src/balance/pool_state.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>

namespace sequoiawharf
{

namespace
{

constexpr std::uint32_t kLimitChangeParts = 4; // a change of the limit by at least a quarter is an event

/// The status of an endpoint that the time line shows.
enum class serving_status { Serving, Ejected, Resting, Leaving };

serving_status statusOf(const endpoint_state &state, mono_time now)
{
    switch (fitnessOf(state, now)) {
    case fitness::Trial:
    case fitness::Ejected:
    case fitness::Unreachable:
        return serving_status::Ejected;
    case fitness::Resting:
        return serving_status::Resting;
    case fitness::Leaving:
        return serving_status::Leaving;
    case fitness::Fit:
    case fitness::Ramping:
        break;
    }
    return serving_status::Serving;
}

event_kind kindOf(serving_status status)
{
    switch (status) {
    case serving_status::Ejected:
        return event_kind::EndpointEjected;
    case serving_status::Resting:
        return event_kind::EndpointResting;
    case serving_status::Leaving:
        return event_kind::EndpointLeaving;
    case serving_status::Serving:
        return event_kind::EndpointReturned;
    }
    return event_kind::EndpointReturned;
}

std::string detailOf(const endpoint_state &state, const pool_state &pool, mono_time now)
{
    constexpr double kNsPerMs = 1e6;
    const auto restNs = state.restUntilNs.load(std::memory_order_relaxed) - now.time_since_epoch().count();
    return fmt::format("failure_share={:.2f} latency_ms={:.1f} median_ms={:.1f} ejections={} rest_ms={} said_leaving={}",
                       state.failureShare.load(std::memory_order_relaxed),
                       static_cast<double>(state.latencyNs.load(std::memory_order_relaxed)) / kNsPerMs,
                       static_cast<double>(pool.medianLatencyNs.load(std::memory_order_relaxed)) / kNsPerMs,
                       state.ejections.load(std::memory_order_relaxed),
                       std::max<std::int64_t>(0, restNs) / static_cast<std::int64_t>(kNsPerMs),
                       state.hasSaidLeaving.load(std::memory_order_relaxed));
}

event makeEvent(event_kind kind, const pool_balancer &balancer, std::string subject, std::string detail)
{
    return {.time = {}, .kind = kind, .call = 0, .pool = balancer.definition().name.str(), .subject = std::move(subject), .detail = std::move(detail)};
}

bool isChanged(std::uint32_t before, std::uint32_t after)
{
    const auto difference = before > after ? before - after : after - before;
    return difference * kLimitChangeParts >= std::max(1U, before);
}

} // namespace

struct pool_watch::pool_snapshot {
    std::shared_ptr<const pool_balancer> balancer; // the balancer that the statuses describe; owned, so that no later balancer can get the same address
    std::vector<host_port> addresses;
    std::vector<serving_status> statuses;
    bool panic = false;
    std::uint32_t limit = 0;
};

pool_watch::pool_watch() = default;
pool_watch::~pool_watch() = default;

std::vector<event> pool_watch::changes(const routing &current, mono_time now)
{
    std::vector<event> events;
    std::erase_if(m_pools, [&](const auto &entry) {
        return !current.balancers().contains(entry.first);
    });
    std::ranges::for_each(current.balancers(), [&](const auto &entry) {
        compare(entry.second, m_pools[entry.first], now, events);
    });
    return events;
}

void pool_watch::compare(const std::shared_ptr<const pool_balancer> &current, pool_snapshot &snapshot, mono_time now, std::vector<event> &events) const
{
    const auto &balancer = *current;
    const auto &endpoints = balancer.definition().endpoints;
    if (snapshot.balancer != current) {
        // Endpoints new to the pool start as serving.
        pool_snapshot refreshed {.balancer = current,
                                 .addresses = {},
                                 .statuses = std::vector(endpoints.size(), serving_status::Serving),
                                 .panic = snapshot.panic,
                                 .limit = snapshot.limit};
        std::ranges::transform(endpoints, std::back_inserter(refreshed.addresses), &endpoint::address);
        for (std::size_t i = 0; i < snapshot.addresses.size(); ++i) {
            if (const auto index = balancer.find(snapshot.addresses[i])) {
                refreshed.statuses[*index] = snapshot.statuses[i];
            }
        }
        snapshot = std::move(refreshed);
    }
    const auto &pool = balancer.state();
    for (std::uint32_t i = 0; i < endpoints.size(); ++i) {
        const auto &state = balancer.at(i);
        const auto status = statusOf(state, now);
        if (status != snapshot.statuses[i]) {
            events.push_back(makeEvent(kindOf(status), balancer, toString(endpoints[i].address), detailOf(state, pool, now)));
            snapshot.statuses[i] = status;
        }
    }
    if (const bool panic = pool.panic.load(std::memory_order_relaxed); panic != snapshot.panic) {
        events.push_back(makeEvent(event_kind::PanicModeChanged, balancer, panic ? "on" : "off", {}));
        snapshot.panic = panic;
    }
    if (const auto limit = pool.limit.limit(); isChanged(snapshot.limit, limit)) {
        events.push_back(makeEvent(event_kind::LimitChanged, balancer, fmt::format("{}", limit), fmt::format("before={}", snapshot.limit)));
        snapshot.limit = limit;
    }
}

} // namespace sequoiawharf
