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

probed_endpoint seenAt(std::uint32_t running, double slowdown = 1, distance distanceClass = distance::DataCentre, std::uint32_t waiting = 0)
{
    return {.index = 0,
            .distanceClass = distanceClass,
            .healthy = true,
            .cold = false,
            .load = {.running = running, .waiting = waiting, .slots = 4, .slowdown = slowdown}};
}

call_timing timingOf(std::chrono::nanoseconds passed, std::size_t callsAhead = 0, double freed = 20)
{
    return {.now = kSlotStart + passed,
            .objectiveAt = kSlotStart + 250ms,
            .deadline = kSlotStart + 800ms,
            .unloadedLatency = 90ms,
            .callsAhead = callsAhead,
            .freedPerSecond = freed};
}

/// Endpoints of which some are slow at a time: the pattern of load that shifts within milliseconds. Calls go by a chooser, and each takes its work
/// times the slowdown and the knee at its start.
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
        constexpr auto kSpell = 300ms;
        if (now >= m_slowUntil[i]) {
            m_isSlow[i] = m_random.unit() < 0.25;
            m_slowUntil[i] = now + kSpell;
        }
        return m_isSlow[i] ? 4 : 1;
    }

    probed_endpoint probe(std::size_t i, std::chrono::milliseconds now)
    {
        auto seen = seenAt(m_running[i], slowdownAt(i, now));
        seen.index = static_cast<std::uint32_t>(i);
        return seen;
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

/// Calls that come at a rate to a shifting pool; returns the share that is answered within the objective.
double shareInTime(unsigned probes, bool waits, double perSecond, std::uint64_t seed)
{
    constexpr auto kWork = 90ms;
    constexpr auto kObjective = 250ms;
    constexpr unsigned kShiftingEndpoints = 18;
    constexpr unsigned kSeconds = 20;
    struct running_call {
        std::chrono::milliseconds ends;
        std::size_t endpoint;
        std::chrono::milliseconds came;
    };
    shifting_pool pool(kShiftingEndpoints, seed);
    std::vector<running_call> calls;
    std::deque<std::chrono::milliseconds> line;
    unsigned came = 0;
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
            inTime += now - call.came <= kObjective ? 1 : 0;
            if (!line.empty() && isUncongested(pool.probe(call.endpoint, now))) {
                const auto first = line.front();
                line.pop_front();
                send(call.endpoint, first, now);
            }
        }
        std::erase_if(line, [&](std::chrono::milliseconds at) {
            return now - at > kObjective;
        });
        if (pool.random().unit() >= perSecond / 1000) {
            continue;
        }
        ++came;
        std::vector<probed_endpoint> seen;
        seen.reserve(probes);
        for (unsigned i = 0; i < probes; ++i) {
            seen.push_back(pool.probe(pool.random().below(kShiftingEndpoints), now));
        }
        const auto best = seen[*selectProbedEndpoint(seen, false)];
        if (waits && !isUncongested(best)) {
            line.push_back(now);
        } else {
            send(best.index, now, now);
        }
    }
    return static_cast<double>(inTime) / came;
}

class slot_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(slot_test);
    CPPUNIT_TEST(aFastEndpointBeatsAnIdleSlowOne);
    CPPUNIT_TEST(aNearEndpointKeepsALargeBody);
    CPPUNIT_TEST(anUnwellEndpointIsChosenByNobody);
    CPPUNIT_TEST(furtherEndpointsAreAskedOnlyWhenNearOnesAreSlow);
    CPPUNIT_TEST(aCallWaitsForAGoodSlotAsLongAsItCanBeInTime);
    CPPUNIT_TEST(aCallThatCannotBeServedIsRefusedAtOnce);
    CPPUNIT_TEST(nobodyIsRefusedForALineOfNobody);
    CPPUNIT_TEST(shiftingSlowQuarterIsAvoidedByProbes);
    CPPUNIT_TEST(burstBeyondTheKneeIsServedBetterByWaiting);
    CPPUNIT_TEST(retryStormStaysWithinTheFleetsBudgetInEveryWindow);
    CPPUNIT_TEST(probesStayWithinTheirRate);
    CPPUNIT_TEST(returnsAreSpreadWithinTheTimeThatCallersHeed);
    CPPUNIT_TEST_SUITE_END();

public:
    void aFastEndpointBeatsAnIdleSlowOne()
    {
        const std::vector<probed_endpoint> seen {seenAt(0, 4), seenAt(2, 1), seenAt(3, 1)};
        CPPUNIT_ASSERT(selectProbedEndpoint(seen, false) == std::size_t {1});
    }

    void aNearEndpointKeepsALargeBody()
    {
        const std::vector<probed_endpoint> seen {seenAt(2, 2), seenAt(0, 1, distance::Region)};
        CPPUNIT_ASSERT(selectProbedEndpoint(seen, true) == std::size_t {0});
        CPPUNIT_ASSERT(selectProbedEndpoint(seen, false) == std::size_t {1});
    }

    void anUnwellEndpointIsChosenByNobody()
    {
        auto unwell = seenAt(0);
        unwell.healthy = false;
        CPPUNIT_ASSERT(!selectProbedEndpoint(std::vector {unwell}, false));
        CPPUNIT_ASSERT(selectProbedEndpoint(std::vector {unwell, seenAt(3, 4)}, false) == std::size_t {1});
    }

    void furtherEndpointsAreAskedOnlyWhenNearOnesAreSlow()
    {
        CPPUNIT_ASSERT(shouldProbeFarther({}, false));
        CPPUNIT_ASSERT(shouldProbeFarther(std::vector {seenAt(0, 4)}, false));
        CPPUNIT_ASSERT(!shouldProbeFarther(std::vector {seenAt(0, 4), seenAt(1)}, false));
        CPPUNIT_ASSERT_MESSAGE("bytes weigh more than a slow spell", !shouldProbeFarther(std::vector {seenAt(0, 4)}, true));
        CPPUNIT_ASSERT(shouldProbeFarther(std::vector {seenAt(4, 4, distance::DataCentre, 2)}, true));
    }

    void aCallWaitsForAGoodSlotAsLongAsItCanBeInTime()
    {
        CPPUNIT_ASSERT(placeCall(seenAt(2), timingOf(0ms)).decision == placement::kind::Send);
        const auto early = placeCall(seenAt(3), timingOf(0ms));
        CPPUNIT_ASSERT(early.decision == placement::kind::Wait && !early.isLate);
        CPPUNIT_ASSERT(early.until <= kSlotStart + 250ms - 90ms);
        const auto late = placeCall(seenAt(3), timingOf(200ms));
        CPPUNIT_ASSERT_MESSAGE("a late call waits behind the others", late.decision == placement::kind::Wait && late.isLate);
        CPPUNIT_ASSERT_MESSAGE("and goes anywhere when its deadline nears", placeCall(seenAt(3), timingOf(600ms)).decision == placement::kind::Send);
        auto unknown = timingOf(0ms);
        unknown.unloadedLatency = 0ms;
        CPPUNIT_ASSERT_MESSAGE("without a figure nobody waits", placeCall(seenAt(3), unknown).decision == placement::kind::Send);
    }

    void aCallThatCannotBeServedIsRefusedAtOnce()
    {
        CPPUNIT_ASSERT(placeCall(seenAt(4), timingOf(0ms, 40, 10)).decision == placement::kind::Refuse);
        CPPUNIT_ASSERT(placeCall(seenAt(4), timingOf(0ms, 2, 10)).decision == placement::kind::Wait);
        CPPUNIT_ASSERT(placeCall(std::nullopt, timingOf(700ms)).decision == placement::kind::Refuse);
    }

    // Right after a start one slot came free in the last second, which says nothing of how long the first call waits.
    void nobodyIsRefusedForALineOfNobody()
    {
        CPPUNIT_ASSERT(placeCall(seenAt(3), timingOf(13ms, 0, 1)).decision == placement::kind::Wait);
        CPPUNIT_ASSERT(placeCall(seenAt(3), timingOf(13ms, 2, 2)).decision == placement::kind::Wait);
        CPPUNIT_ASSERT(placeCall(seenAt(3), timingOf(13ms, 0, 20)).decision == placement::kind::Wait);
    }

    void shiftingSlowQuarterIsAvoidedByProbes()
    {
        for (const std::uint64_t seed : {1, 2, 3}) {
            const auto blind = shareInTime(1, false, 120, seed);
            const auto probed = shareInTime(3, false, 120, seed);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(blind) + " " + std::to_string(probed), probed > blind + 0.1 && probed > 0.95);
        }
    }

    void burstBeyondTheKneeIsServedBetterByWaiting()
    {
        for (const std::uint64_t seed : {1, 2, 3}) {
            const auto sent = shareInTime(3, false, 420, seed);
            const auto waited = shareInTime(3, true, 420, seed);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(sent) + " " + std::to_string(waited), waited > sent + 0.1);
        }
    }

    void retryStormStaysWithinTheFleetsBudgetInEveryWindow()
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
                    // Everything fails, and each call wants to be sent three times more.
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
        CPPUNIT_ASSERT_EQUAL_MESSAGE("a choice has its least all the same", 2U, budget.take(3, 2, kSlotStart + 10s));
    }

    void returnsAreSpreadWithinTheTimeThatCallersHeed()
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
