#include "sequoiawharf/fleet_repeat_budget.h"
#include "sequoiawharf/probe_budget.h"
#include "sequoiawharf/probe_choice.h"
#include "sequoiawharf/random_source.h"
#include "sequoiawharf/retry_after.h"
#include "sequoiawharf/slot_wait.h"
#include "tests/property.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <numeric>
#include <optional>
#include <vector>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;

const mono_time kSlotStart(1h);

probed_endpoint candidateWith(std::uint32_t running, double slowdown = 1, distance distanceClass = distance::DataCentre, std::uint32_t waiting = 0)
{
    return {.index = 0,
            .distanceClass = distanceClass,
            .healthy = true,
            .cold = false,
            .load = {.running = running, .waiting = waiting, .slots = 4, .slowdown = slowdown}};
}

call_timing timingAfter(std::chrono::nanoseconds passed, std::size_t callsAhead = 0, double freed = 20)
{
    return {.now = kSlotStart + passed,
            .objectiveAt = kSlotStart + 250ms,
            .deadline = kSlotStart + 800ms,
            .unloadedLatency = 90ms,
            .callsAhead = callsAhead,
            .slotsFreedPerSecond = freed};
}

/// Simulated endpoints of which a changing quarter is slow: a load pattern that shifts within milliseconds. The latency of a call is its unloaded
/// latency multiplied by the expected slowdown of its endpoint when the call starts.
class shifting_pool
{
public:
    explicit shifting_pool(unsigned endpoints, std::uint64_t seed)
        : m_random(seed)
        , m_running(endpoints)
        , m_slowUntil(endpoints)
    {
    }

    double slowdownAt(std::size_t i, std::chrono::milliseconds now)
    {
        constexpr auto kPhase = 300ms;
        if (now >= m_slowUntil[i]) {
            m_isSlow[i] = m_random.unit() < 0.25;
            m_slowUntil[i] = now + kPhase;
        }
        return m_isSlow[i] ? 4 : 1;
    }

    probed_endpoint probe(std::size_t i, std::chrono::milliseconds now)
    {
        auto candidate = candidateWith(m_running[i], slowdownAt(i, now));
        candidate.index = static_cast<std::uint32_t>(i);
        return candidate;
    }

    std::vector<std::uint32_t> &running()
    {
        return m_running;
    }
    random_source &random()
    {
        return m_random;
    }

private:
    random_source m_random;
    std::vector<std::uint32_t> m_running;
    std::vector<std::chrono::milliseconds> m_slowUntil;
    std::array<bool, 64> m_isSlow {};
};

/// Simulates calls that arrive at a rate (per second) at a shifting pool, and returns the share of them that is answered within the objective.
double shareWithinObjective(unsigned probes, bool waits, double perSecond, std::uint64_t seed)
{
    constexpr auto kWork = 90ms;
    constexpr auto kObjective = 250ms;
    constexpr unsigned kShiftingEndpoints = 18;
    constexpr unsigned kSeconds = 20;
    struct running_call {
        std::chrono::milliseconds ends;
        std::size_t endpoint;
        std::chrono::milliseconds arrived;
    };
    shifting_pool pool(kShiftingEndpoints, seed);
    std::vector<running_call> calls;
    std::deque<std::chrono::milliseconds> queue;
    unsigned arrived = 0;
    unsigned inTime = 0;
    const auto send = [&](std::size_t i, std::chrono::milliseconds at, std::chrono::milliseconds now) {
        const auto expected = expectedSlowdown(pool.probe(i, now));
        ++pool.running()[i];
        calls.push_back({now + std::chrono::milliseconds(static_cast<std::int64_t>(expected * static_cast<double>(kWork.count()))), i, at});
    };
    for (std::chrono::milliseconds now {0}; now < std::chrono::seconds(kSeconds); now += 1ms) {
        std::vector<running_call> ended;
        std::ranges::copy_if(calls, std::back_inserter(ended), [&](const running_call &call) {
            return call.ends <= now;
        });
        std::erase_if(calls, [&](const running_call &call) {
            return call.ends <= now;
        });
        for (const auto &call : ended) {
            --pool.running()[call.endpoint];
            inTime += now - call.arrived <= kObjective ? 1 : 0;
            if (!queue.empty() && isUncongested(pool.probe(call.endpoint, now))) {
                const auto first = queue.front();
                queue.pop_front();
                send(call.endpoint, first, now);
            }
        }
        std::erase_if(queue, [&](std::chrono::milliseconds at) {
            return now - at > kObjective;
        });
        if (pool.random().unit() >= perSecond / 1000) {
            continue;
        }
        ++arrived;
        std::vector<probed_endpoint> candidates;
        candidates.reserve(probes);
        for (unsigned i = 0; i < probes; ++i) {
            candidates.push_back(pool.probe(pool.random().below(kShiftingEndpoints), now));
        }
        const auto best = candidates[*selectProbedEndpoint(candidates, false)];
        if (waits && !isUncongested(best)) {
            queue.push_back(now);
        } else {
            send(best.index, now, now);
        }
    }
    return static_cast<double>(inTime) / arrived;
}

class slot_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(slot_test);
    CPPUNIT_TEST(prefersAFastEndpointToAnIdleSlowOne);
    CPPUNIT_TEST(largeBodyStaysAtANearEndpoint);
    CPPUNIT_TEST(neverSelectsAnUnhealthyEndpoint);
    CPPUNIT_TEST(probesFartherOnlyWhenNearEndpointsAreSlow);
    CPPUNIT_TEST(callWaitsWhileItCanMeetItsObjective);
    CPPUNIT_TEST(refusesACallThatCannotMeetItsDeadline);
    CPPUNIT_TEST(planningEndsBeforeTheStop);
    CPPUNIT_TEST(lateCallsOfAStopMustFitWhole);
    CPPUNIT_TEST(lowRateAfterStartRefusesNoCall);
    CPPUNIT_TEST(probesAvoidShiftingSlowEndpoints);
    CPPUNIT_TEST(waitingImprovesABurstBeyondTheKnee);
    CPPUNIT_TEST(retryStormStaysWithinTheFleetBudgetInEveryWindow);
    CPPUNIT_TEST(probesStayWithinTheirRate);
    CPPUNIT_TEST(spreadsRetryAfterWithinTheCallersLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    void prefersAFastEndpointToAnIdleSlowOne()
    {
        const std::vector<probed_endpoint> candidates {candidateWith(0, 4), candidateWith(2, 1), candidateWith(3, 1)};
        CPPUNIT_ASSERT(selectProbedEndpoint(candidates, false) == std::size_t {1});
    }

    void largeBodyStaysAtANearEndpoint()
    {
        const std::vector<probed_endpoint> candidates {candidateWith(2, 2), candidateWith(0, 1, distance::Region)};
        CPPUNIT_ASSERT(selectProbedEndpoint(candidates, true) == std::size_t {0});
        CPPUNIT_ASSERT(selectProbedEndpoint(candidates, false) == std::size_t {1});
    }

    void neverSelectsAnUnhealthyEndpoint()
    {
        auto unhealthy = candidateWith(0);
        unhealthy.healthy = false;
        CPPUNIT_ASSERT(!selectProbedEndpoint(std::vector {unhealthy}, false));
        CPPUNIT_ASSERT(selectProbedEndpoint(std::vector {unhealthy, candidateWith(3, 4)}, false) == std::size_t {1});
    }

    void probesFartherOnlyWhenNearEndpointsAreSlow()
    {
        CPPUNIT_ASSERT(shouldProbeFarther({}, false));
        CPPUNIT_ASSERT(shouldProbeFarther(std::vector {candidateWith(0, 4)}, false));
        CPPUNIT_ASSERT(!shouldProbeFarther(std::vector {candidateWith(0, 4), candidateWith(1)}, false));
        CPPUNIT_ASSERT_MESSAGE("a large body stays in the data centre although its endpoint is slow",
                               !shouldProbeFarther(std::vector {candidateWith(0, 4)}, true));
        CPPUNIT_ASSERT(shouldProbeFarther(std::vector {candidateWith(4, 4, distance::DataCentre, 2)}, true));
    }

    void callWaitsWhileItCanMeetItsObjective()
    {
        CPPUNIT_ASSERT(placeCall(candidateWith(2), timingAfter(0ms)).decision == placement::kind::Send);
        const auto early = placeCall(candidateWith(3), timingAfter(0ms));
        CPPUNIT_ASSERT(early.decision == placement::kind::Wait && !early.isLate);
        CPPUNIT_ASSERT(early.until <= kSlotStart + 250ms - 90ms);
        const auto late = placeCall(candidateWith(3), timingAfter(200ms));
        CPPUNIT_ASSERT_MESSAGE("a late call is queued behind the others", late.decision == placement::kind::Wait && late.isLate);
        CPPUNIT_ASSERT_MESSAGE("a late call is sent to a congested endpoint when its deadline is near",
                               placeCall(candidateWith(3), timingAfter(600ms)).decision == placement::kind::Send);
        auto unknown = timingAfter(0ms);
        unknown.unloadedLatency = 0ms;
        CPPUNIT_ASSERT_MESSAGE("no call waits while the unloaded latency is unknown", placeCall(candidateWith(3), unknown).decision == placement::kind::Send);
    }

    void refusesACallThatCannotMeetItsDeadline()
    {
        CPPUNIT_ASSERT(placeCall(candidateWith(4), timingAfter(0ms, 40, 10)).decision == placement::kind::Refuse);
        CPPUNIT_ASSERT(placeCall(candidateWith(4), timingAfter(0ms, 2, 10)).decision == placement::kind::Wait);
        CPPUNIT_ASSERT(placeCall(std::nullopt, timingAfter(700ms)).decision == placement::kind::Refuse);
    }

    // Guards against calls that a planned stop cuts: they were planned by their own deadline alone, which lay behind the end of the process.
    void planningEndsBeforeTheStop()
    {
        const auto placedAt = [](std::chrono::nanoseconds passed, std::optional<probed_endpoint> best) {
            auto timing = timingAfter(passed);
            timing.deadline = kSlotStart + 8s;
            timing.stopAt = kSlotStart + 600ms; // leaves 375 ms to start a call of 90 ms
            return placeCall(best, timing);
        };
        CPPUNIT_ASSERT(placedAt(0ms, candidateWith(0)).decision == placement::kind::Send);
        const auto waiting = placedAt(370ms, candidateWith(4));
        CPPUNIT_ASSERT(waiting.decision == placement::kind::Wait && waiting.until <= kSlotStart + 375ms);
        CPPUNIT_ASSERT(placedAt(380ms, candidateWith(4)).decision == placement::kind::Refuse);
        CPPUNIT_ASSERT(placedAt(380ms, candidateWith(0)).decision == placement::kind::Refuse);
        CPPUNIT_ASSERT(placedAt(380ms, std::nullopt).decision == placement::kind::Refuse);
        auto longQueue = timingAfter(0ms, 10, 20);
        longQueue.deadline = kSlotStart + 8s;
        CPPUNIT_ASSERT(placeCall(std::nullopt, longQueue).decision == placement::kind::Wait);
        longQueue.stopAt = kSlotStart + 600ms;
        CPPUNIT_ASSERT_MESSAGE("no slot is expected before the stop", placeCall(std::nullopt, longQueue).decision == placement::kind::Refuse);
    }

    // Guards against a target that is at work on a call that came late when the instance stops.
    void lateCallsOfAStopMustFitWhole()
    {
        auto timing = timingAfter(0ms);
        timing.arrived = kSlotStart;
        timing.deadline = kSlotStart + 4s;
        timing.stopAt = kSlotStart + 3s;
        timing.lastArrival = kSlotStart;
        CPPUNIT_ASSERT(placeCall(candidateWith(0), timing).decision == placement::kind::Send);
        timing.lastArrival = kSlotStart - 1ms;
        CPPUNIT_ASSERT(placeCall(candidateWith(0), timing).decision == placement::kind::Refuse);
        CPPUNIT_ASSERT(placeCall(std::nullopt, timing).decision == placement::kind::Refuse);
        timing.stopAt = timing.deadline;
        CPPUNIT_ASSERT(placeCall(candidateWith(0), timing).decision == placement::kind::Send);
    }

    // Guards against refusals right after a start: too few slots became free in the last second to predict how long a call waits.
    void lowRateAfterStartRefusesNoCall()
    {
        CPPUNIT_ASSERT(placeCall(candidateWith(3), timingAfter(13ms, 0, 1)).decision == placement::kind::Wait);
        CPPUNIT_ASSERT(placeCall(candidateWith(3), timingAfter(13ms, 2, 2)).decision == placement::kind::Wait);
        CPPUNIT_ASSERT(placeCall(candidateWith(3), timingAfter(13ms, 0, 20)).decision == placement::kind::Wait);
    }

    void probesAvoidShiftingSlowEndpoints()
    {
        for (const std::uint64_t seed : {1, 2, 3}) {
            const auto blind = shareWithinObjective(1, false, 120, seed);
            const auto probed = shareWithinObjective(3, false, 120, seed);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(blind) + " " + std::to_string(probed), probed > blind + 0.1 && probed > 0.95);
        }
    }

    void waitingImprovesABurstBeyondTheKnee()
    {
        for (const std::uint64_t seed : {1, 2, 3}) {
            const auto sent = shareWithinObjective(3, false, 420, seed);
            const auto waited = shareWithinObjective(3, true, 420, seed);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(sent) + " " + std::to_string(waited), waited > sent + 0.1);
        }
    }

    void retryStormStaysWithinTheFleetBudgetInEveryWindow()
    {
        constexpr unsigned kInstances = 6;
        constexpr double kSlack = 60;
        constexpr double kRatio = 0.2;
        testing::checkProperty("repeats of all instances stay within the ratio and the slack", [] {
            std::array<fleet_repeat_budget, kInstances> budgets;
            std::ranges::for_each(budgets, [](fleet_repeat_budget &budget) {
                budget.setLimits({.ratio = kRatio, .slack = kSlack, .window = 10'000ms}, kInstances);
            });
            random_source random(*rc::gen::arbitrary<std::uint64_t>());
            const auto perStep = *rc::gen::inRange(1U, 20U);
            std::vector<unsigned> calls;
            std::vector<unsigned> repeats;
            constexpr unsigned kSteps = 250; // of 100 ms
            for (unsigned step = 0; step < kSteps; ++step) {
                const auto now = kSlotStart + step * 100ms;
                calls.push_back(0);
                repeats.push_back(0);
                for (unsigned i = 0; i < perStep; ++i) {
                    auto &budget = budgets[random.below(kInstances)];
                    budget.callStarted(now);
                    ++calls.back();
                    // All attempts fail, and each call asks for three repeats.
                    for (unsigned again = 0; again < 3; ++again) {
                        repeats.back() += budget.take(now) ? 1 : 0;
                    }
                }
            }
            constexpr unsigned kWindow = 100;
            for (unsigned first = 0; first + kWindow <= kSteps; ++first) {
                const auto sum = [&](const std::vector<unsigned> &counts) {
                    return std::accumulate(counts.begin() + first, counts.begin() + first + kWindow, 0U);
                };
                RC_ASSERT(sum(repeats) <= kRatio * sum(calls) + kSlack);
            }
        });
    }

    void probesStayWithinTheirRate()
    {
        probe_budget budget;
        CPPUNIT_ASSERT_EQUAL(3U, budget.take(3, 2, kSlotStart));
        budget.setRate(100, kSlotStart);
        unsigned sent = 0;
        for (unsigned i = 0; i < 10'000; ++i) {
            sent += budget.take(3, 0, kSlotStart + i * 1ms);
        }
        CPPUNIT_ASSERT(sent <= 100 * 10 + 300);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the guaranteed probes are allowed when the budget is exhausted", 2U, budget.take(3, 2, kSlotStart + 10s));
    }

    void spreadsRetryAfterWithinTheCallersLimit()
    {
        CPPUNIT_ASSERT(retryAfter(3s, 0) == 50ms);
        CPPUNIT_ASSERT(retryAfter(3s, 1) == 350ms);
        CPPUNIT_ASSERT(retryAfter(300ms, 1) == 100ms);
        CPPUNIT_ASSERT(retryAfter(0ms, 0.5) >= 1ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slot_test);

} // namespace

} // namespace sequoiawharf
