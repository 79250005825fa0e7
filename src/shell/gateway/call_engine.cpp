#include "src/shell/gateway/call_engine.h"

#include "sequoiawharf/routing.h"
#include "src/shell/gateway/call_run.h"
#include "src/shell/gateway/gateway_shared.h"
#include "src/shell/metrics/gateway_metrics.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace sequoiawharf
{

namespace
{

/// Counts a call as in flight during the object's lifetime.
class in_flight_guard
{
public:
    explicit in_flight_guard(std::atomic<std::int64_t> &count)
        : m_count(count)
    {
        m_count.fetch_add(1, std::memory_order_relaxed);
    }
    ~in_flight_guard()
    {
        m_count.fetch_sub(1, std::memory_order_relaxed);
    }
    in_flight_guard(const in_flight_guard &) = delete;
    in_flight_guard &operator=(const in_flight_guard &) = delete;

private:
    std::atomic<std::int64_t> &m_count;
};

} // namespace

call_engine::call_engine(gateway_shared &shared, unsigned thread, std::uint64_t seed)
    : m_shared(shared)
    , m_metrics(shared.metrics.forThread(thread))
    , m_connections(m_metrics, shared.settings.threads)
    , m_gate(thread, shared.wake)
    , m_slotQueue(m_connections)
    , m_relay(shared.relays.empty() ? nullptr : shared.relays[thread])
    , m_random(seed)
{
}

call_engine::~call_engine() = default;

const call_dialect &call_engine::dialect() const
{
    return m_shared.dialect;
}

void call_engine::setProbeRate(mono_time now)
{
    const auto current = m_shared.routings.load();
    const auto pools = current->config().pools.pools();
    const auto endpoints = std::accumulate(pools.begin(), pools.end(), std::size_t {0}, [](std::size_t sum, const pool &entry) {
        return sum + entry.endpoints.size();
    });
    const auto &settings = m_shared.settings;
    const auto fleetRate = settings.probing.perEndpointPerSecond * static_cast<double>(endpoints);
    m_probes.setRate(fleetRate / std::max(1U, current->place().instances) / settings.threads, now);
}

void call_engine::beginStop(const stop_bounds &bounds)
{
    m_stopBounds.countsFrom = std::min(m_stopBounds.countsFrom, bounds.countsFrom);
    m_stopBounds.lastArrival = std::min(m_stopBounds.lastArrival, bounds.lastArrival);
    m_stopBounds.answerBy = std::min(m_stopBounds.answerBy, bounds.answerBy);
    std::ranges::for_each(m_calls, [&](running_call &call) {
        call.stopAt(m_stopBounds.answerBy);
    });
    m_readinessChanged.notify();
}

void call_engine::relieveMemory(mono_time now)
{
    const auto awaited = m_shared.memory.awaited();
    if (awaited == 0) {
        return;
    }
    std::vector<call_memory *> endable;
    std::vector<body_progress> bodies;
    for (auto &memory : m_memories) {
        if (memory.isEndable()) {
            endable.push_back(&memory);
            bodies.push_back(memory.progress());
        }
    }
    std::ranges::for_each(bodiesToEnd(bodies, awaited, now), [&](std::size_t index) {
        endable[index]->end();
        m_metrics.bodiesEnded.fetch_add(1, std::memory_order_relaxed);
    });
}

boost::asio::awaitable<void> call_engine::handle(call_head head, body_source &body, answer_sink &answer)
{
    const in_flight_guard inFlight(m_metrics.callsInFlight);
    call_run call(*this, head, body, answer);
    m_calls.push_back(call);
    m_memories.push_back(call.memory());
    co_await call.run();
}

} // namespace sequoiawharf
