// Measures the cost of recording events: the decisions of a call without events, with an event for one call in a hundred, and with one for every
// call, in one run. Prints a Markdown table with the ratio to the first row.
#include "sequoiawharf/pool_balancer.h"
#include "src/shell/timeline/event_recorder.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <vector>

namespace
{

using namespace sequoiawharf;
using namespace std::chrono_literals;

constexpr unsigned kCalls = 300'000;
constexpr unsigned kRounds = 5;
constexpr unsigned kEndpoints = 20;
constexpr std::size_t kKeptEvents = 4096;

pool_balancer makePool(mono_time now)
{
    pool definition;
    definition.name = pool_name("quotes");
    for (unsigned i = 0; i < kEndpoints; ++i) {
        definition.endpoints.push_back({{"10.0.0.1", static_cast<std::uint16_t>(1000 + i)}, data_centre_id("a"), false});
    }
    const locality place {instance_id("n1"), data_centre_id("a"), {}, 15};
    return {definition, place, makeSelectionPolicy("adaptive"), nullptr, now};
}

event makeEvent(call_id call, unsigned index)
{
    event entry;
    entry.kind = event_kind::CallEnded;
    entry.call = call;
    entry.pool = "quotes";
    entry.subject = fmt::format("10.0.0.1:{}", 1000 + index);
    entry.detail = fmt::format("ending={} reason={} attempts={}", "unknown", "connection-lost", 1);
    return entry;
}

// Runs the decisions of kCalls calls and records one event per "every" calls; 0 records none. Returns nanoseconds per call.
double timeCalls(const pool_balancer &pool, event_sink &events, unsigned every, random_source &random, mono_time start)
{
    const auto begin = std::chrono::steady_clock::now();
    for (unsigned i = 0; i < kCalls; ++i) {
        const auto now = start + i * 10us;
        const call_profile call {.idempotent = true, .replayable = true, .deadline = now + 1s, .callerHash = random.next() % 1000};
        if (pool.admit(call, now).verdict != admission::kind::Admitted) {
            continue;
        }
        const auto index = pool.choose(call, {}, now, random).value_or(0);
        pool.attemptStarted(index, now);
        pool.attemptEnded(index, {.requestMayHaveLeft = true, .latency = 5ms}, now);
        if (every != 0 && i % every == 0) {
            events.record(makeEvent(i + 1, index));
        }
        pool.release();
    }
    return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - begin).count() / kCalls;
}

double median(std::vector<double> values)
{
    std::ranges::sort(values);
    return values[values.size() / 2];
}

} // namespace

int main()
{
    const mono_time start(1h);
    const auto pool = makePool(start);
    event_recorder events(instance_id("n1"), kKeptEvents);
    random_source random(1);
    constexpr std::array<unsigned, 3> kEvery {0, 100, 1};
    std::array<std::vector<double>, kEvery.size()> rounds;
    for (unsigned round = 0; round < kRounds; ++round) {
        for (std::size_t i = 0; i < kEvery.size(); ++i) {
            rounds[i].push_back(timeCalls(pool, events, kEvery[i], random, start + round * 10s));
        }
    }
    const double off = median(rounds[0]);
    fmt::print("| events | ns a call | ratio |\n|---|---|---|\n");
    for (std::size_t i = 0; i < kEvery.size(); ++i) {
        const auto name = kEvery[i] == 0 ? std::string("none") : fmt::format("one for {} calls", kEvery[i]);
        fmt::print("| {} | {:.0f} | {:.2f} |\n", name, median(rounds[i]), median(rounds[i]) / off);
    }
}
