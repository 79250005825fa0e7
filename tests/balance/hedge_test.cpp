#include "pool_rig.h"
#include "sequoiawharf/hedge_plan.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace sequoiawharf
{

namespace
{

using namespace testing;
using namespace std::chrono_literals;
using std::chrono::nanoseconds;

constexpr unsigned kHedgedCalls = 20'000;
constexpr nanoseconds kInterval = 2ms;
constexpr nanoseconds kUsual = 20ms;

/// Latencies of all calls, in order of size, and the number of hedges.
struct hedged_run {
    std::vector<nanoseconds> latencies;
    unsigned hedges = 0;

    nanoseconds percentile(double part) const
    {
        return latencies[static_cast<std::size_t>(part * static_cast<double>(latencies.size() - 1))];
    }
};

pool_rig makeRig(double ratio)
{
    pool_rig rig(10);
    rig.place.hedging.ratio = ratio;
    rig.place.repeats = {.ratio = 0.2, .slack = 0, .window = 10s};
    rig.reconfigure(rig.definition);
    return rig;
}

// Runs calls one after the other. work: returns the latency of an attempt at the given time. A hedge takes work() again, and the first answer counts.
template<typename work_time> hedged_run runHedged(pool_rig &rig, unsigned calls, work_time work, std::optional<float> load = std::nullopt)
{
    hedged_run result;
    for (unsigned i = 0; i < calls; ++i) {
        rig.now += kInterval;
        rig.balancer().callStarted(rig.now);
        call_record record;
        record.attemptStarted(0);
        auto latency = work(rig.now);
        auto attemptLatency = latency; // of the attempt that answers
        const auto call = idempotentCall(rig.now);
        const auto delay = rig.balancer().hedgeDelay(call, rig.now);
        if (delay && *delay < latency && rig.balancer().admitHedge(call, record, rig.now + *delay)) {
            ++result.hedges;
            const auto second = work(rig.now + *delay);
            attemptLatency = *delay + second < latency ? second : latency;
            latency = std::min(latency, *delay + second);
        }
        rig.balancer().attemptStarted(i % 10, rig.now);
        auto outcome = answered(attemptLatency, load);
        outcome.expectedSlowdown = 1;
        rig.balancer().attemptEnded(i % 10, outcome, rig.now);
        result.latencies.push_back(latency);
    }
    std::ranges::sort(result.latencies);
    return result;
}

class hedge_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(hedge_test);
    CPPUNIT_TEST(longTailIsCutWithinTheLimit);
    CPPUNIT_TEST(slowSpellDoesNotExceedTheLimit);
    CPPUNIT_TEST(overloadedPoolIsNotHedged);
    CPPUNIT_TEST(exhaustedRetryBudgetStopsHedges);
    CPPUNIT_TEST(hedgesInTimeForTheObjective);
    CPPUNIT_TEST(noHedgeWhenItsAnswerWouldBeLate);
    CPPUNIT_TEST_SUITE_END();

public:
    // Load: 3 calls in 100 take seven times as long, at random. Guards against hedges that go out too late to help or cost more than the limit.
    void longTailIsCutWithinTheLimit()
    {
        const auto work = [random = random_source(7)](mono_time) mutable {
            return random.below(100) < 3 ? 7 * kUsual : kUsual;
        };
        auto rig = makeRig(0.05);
        const auto hedged = runHedged(rig, kHedgedCalls, work);
        CPPUNIT_ASSERT(hedged.percentile(0.99) <= 3 * kUsual);
        CPPUNIT_ASSERT(hedged.hedges > 0 && hedged.hedges <= kHedgedCalls / 20);
        CPPUNIT_ASSERT_EQUAL(kUsual, hedged.percentile(0.5));
    }

    // Load: for 300 ms of each second all endpoints are four times slower. Guards against hedges for every call of the spell.
    void slowSpellDoesNotExceedTheLimit()
    {
        auto rig = makeRig(0.1);
        const auto hedged = runHedged(rig, kHedgedCalls, [](mono_time now) {
            return now.time_since_epoch() % 1s < 300ms ? 4 * kUsual : kUsual;
        });
        CPPUNIT_ASSERT(hedged.hedges <= kHedgedCalls / 10);
    }

    // Load: the endpoints report twice as many calls as they have slots. Guards against hedges that take slots from first attempts.
    void overloadedPoolIsNotHedged()
    {
        auto rig = makeRig(0.1);
        const auto work = [random = random_source(7)](mono_time) mutable {
            return random.below(100) < 10 ? 7 * kUsual : kUsual;
        };
        runHedged(rig, 1000, work, 2.0F); // until the pool's load is known
        const auto hedged = runHedged(rig, 1000, work, 2.0F);
        CPPUNIT_ASSERT_EQUAL(0U, hedged.hedges);
    }

    // Guards the fleet's budget of repeats, which retries share, against hedges.
    void exhaustedRetryBudgetStopsHedges()
    {
        auto rig = makeRig(0.5);
        rig.place.repeats.ratio = 0.02;
        rig.reconfigure(rig.definition);
        const auto hedged = runHedged(rig, kHedgedCalls, [random = random_source(7)](mono_time) mutable {
            return random.below(100) < 20 ? 7 * kUsual : kUsual;
        });
        CPPUNIT_ASSERT(hedged.hedges <= kHedgedCalls / 50);
    }

    void hedgesInTimeForTheObjective()
    {
        const hedge_conditions conditions {.slowLatency = 400ms, .unloadedLatency = 100ms, .timeToObjective = 350ms, .timeToDeadline = 2s};
        CPPUNIT_ASSERT(planHedge(conditions) == 250ms);
        auto tight = conditions;
        tight.timeToObjective = 150ms;
        CPPUNIT_ASSERT_MESSAGE("a call is not yet slow at its usual latency", planHedge(tight) == 150ms);
        auto missed = conditions;
        missed.timeToObjective = 0ms;
        CPPUNIT_ASSERT(planHedge(missed) == 400ms);
    }

    void noHedgeWhenItsAnswerWouldBeLate()
    {
        CPPUNIT_ASSERT(!planHedge({.slowLatency = 400ms, .unloadedLatency = 100ms, .timeToObjective = 0ms, .timeToDeadline = 500ms}));
        CPPUNIT_ASSERT(!planHedge({}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(hedge_test);

} // namespace

} // namespace sequoiawharf
