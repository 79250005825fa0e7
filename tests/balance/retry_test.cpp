#include "src/balance/retry_budget.h"

#include "tests/balance/pool_rig.h"
#include "tests/property.h"

#include <algorithm>
#include <numeric>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;
using namespace testing;

// Every way in which an attempt can end without an answer to hand on.
rc::Gen<attempt_outcome> genFailure()
{
    return rc::gen::apply(
        [](attempt_end end, bool left) {
            auto outcome = ended(end, 1ms);
            outcome.requestMayHaveLeft = end == attempt_end::ConnectFailed ? false : left;
            return outcome;
        },
        rc::gen::element(
            attempt_end::ServerError, attempt_end::Refused, attempt_end::ConnectFailed, attempt_end::Lost, attempt_end::BadAnswer, attempt_end::TimedOut),
        rc::gen::arbitrary<bool>());
}

class retry_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(retry_test);
    CPPUNIT_TEST(budgetHoldsOverAnyWindow);
    CPPUNIT_TEST(deeperCallsRetryLess);
    CPPUNIT_TEST(nonIdempotentCallsRunAtMostOnce);
    CPPUNIT_TEST(retriesStayInBudgetWhenAllFail);
    CPPUNIT_TEST(retryGoesElsewhere);
    CPPUNIT_TEST(relaysForWantOfTargets);
    CPPUNIT_TEST(relaysWhenNoAttemptGotAConnection);
    CPPUNIT_TEST(overloadIsNotToBeRepeated);
    CPPUNIT_TEST(hedgesOnlyWhatMayRunTwice);
    CPPUNIT_TEST(hedgesByTheUsualWorkUntilLatenciesAreKnown);
    CPPUNIT_TEST(awaitsTheOtherAttempt);
    CPPUNIT_TEST_SUITE_END();

public:
    void budgetHoldsOverAnyWindow()
    {
        checkProperty("retries of any window stay within the capacity and a tenth of its calls", [] {
            retry_budget budget;
            const auto steps = *rc::gen::container<std::vector<bool>>(400, rc::gen::arbitrary<bool>());
            std::vector<int> excess; // retries less a tenth of the calls, in tenths, after each step
            int level = 0;
            for (const bool isCall : steps) {
                if (isCall) {
                    budget.callStarted();
                    level -= 1;
                } else {
                    level += budget.take(0) ? 10 : 0;
                }
                excess.push_back(level);
            }
            int least = 0;
            for (const int value : excess) {
                RC_ASSERT(value - least <= 10 * retry_budget::kCapacity);
                least = std::min(least, value);
            }
        });
    }

    void deeperCallsRetryLess()
    {
        const auto retriesAt = [](unsigned depth) {
            retry_budget budget;
            unsigned count = 0;
            while (budget.take(depth)) {
                ++count;
            }
            return count;
        };
        CPPUNIT_ASSERT_EQUAL(10U, retriesAt(0));
        CPPUNIT_ASSERT_EQUAL(1U, retriesAt(7));
        CPPUNIT_ASSERT_EQUAL(1U, retriesAt(100));
    }

    void nonIdempotentCallsRunAtMostOnce()
    {
        checkProperty("a non-idempotent call runs at most once, and not run means zero runs", [] {
            pool_rig rig(10, *rc::gen::element("random", "adaptive"));
            auto call = idempotentCall(rig.now);
            call.idempotent = *rc::gen::arbitrary<bool>();
            call.replayable = *rc::gen::arbitrary<bool>();
            call_record record;
            unsigned mayHaveRun = 0;
            next_step step {.step = next_step::kind::Retry};
            while (step.step == next_step::kind::Retry || step.step == next_step::kind::Relay) {
                const auto outcome = *genFailure();
                mayHaveRun += isProvenNotRun(outcome) ? 0 : 1;
                if (step.step == next_step::kind::Relay) {
                    record.relayStarted();
                    record.attemptEnded(outcome);
                    break;
                }
                const auto index = rig.balancer().choose(call, record.tried(), rig.now, rig.random);
                RC_ASSERT(index.has_value());
                rig.balancer().attemptStarted(*index, rig.now);
                record.attemptStarted(*index);
                rig.balancer().attemptEnded(*index, outcome, rig.now);
                record.attemptEnded(outcome);
                step = *rc::gen::arbitrary<bool>() ? rig.balancer().afterFailure(call, record, rig.now) : rig.balancer().afterNoTarget(call, record, rig.now);
            }
            RC_ASSERT(call.idempotent || mayHaveRun <= 1U);
            RC_ASSERT(call.replayable || record.attempts() == 1U);
            RC_ASSERT((record.failureEnding() == call_ending::NotRun) == (mayHaveRun == 0));
        });
    }

    void retriesStayInBudgetWhenAllFail()
    {
        pool_rig rig(10);
        constexpr unsigned kFailingCalls = 2000;
        unsigned attempts = 0;
        for (unsigned i = 0; i < kFailingCalls; ++i) {
            rig.now += 1ms;
            const auto call = idempotentCall(rig.now);
            CPPUNIT_ASSERT(rig.balancer().admit(call, rig.now).verdict == admission::kind::Admitted);
            call_record record;
            next_step step {.step = next_step::kind::Retry};
            for (; step.step == next_step::kind::Retry; step = rig.balancer().afterFailure(call, record, rig.now)) {
                const auto index = rig.balancer().choose(call, record.tried(), rig.now, rig.random).value();
                rig.balancer().attemptStarted(index, rig.now);
                record.attemptStarted(index);
                rig.balancer().attemptEnded(index, ended(attempt_end::Lost, 0ms), rig.now);
                record.attemptEnded(ended(attempt_end::Lost, 0ms));
                ++attempts;
            }
            rig.balancer().release();
        }
        CPPUNIT_ASSERT(attempts <= kFailingCalls + kFailingCalls / 10 + retry_budget::kCapacity);
        CPPUNIT_ASSERT(attempts > kFailingCalls + kFailingCalls / 20);
    }

    void retryGoesElsewhere()
    {
        pool_rig rig(3);
        std::vector<std::uint32_t> tried;
        for (unsigned i = 0; i < 3; ++i) {
            const auto index = rig.balancer().choose(idempotentCall(rig.now), tried, rig.now, rig.random);
            CPPUNIT_ASSERT(std::ranges::find(tried, *index) == tried.end());
            tried.push_back(*index);
        }
        CPPUNIT_ASSERT(!rig.balancer().choose(idempotentCall(rig.now), tried, rig.now, rig.random).has_value());
    }

    void relaysForWantOfTargets()
    {
        pool_rig rig(2);
        rig.balancer().markLeaving(rig.addressOf(0), rig.now);
        rig.balancer().markLeaving(rig.addressOf(1), rig.now);
        const auto call = idempotentCall(rig.now);
        CPPUNIT_ASSERT(!rig.balancer().choose(call, {}, rig.now, rig.random).has_value());
        const auto step = rig.balancer().afterNoTarget(call, {}, rig.now);
        CPPUNIT_ASSERT(step.step == next_step::kind::Relay);
        CPPUNIT_ASSERT(step.ending == call_ending::NotRun && step.reason == call_reason::NoTarget);

        auto late = call;
        late.deadline = rig.now;
        CPPUNIT_ASSERT(rig.balancer().afterNoTarget(late, {}, rig.now).step == next_step::kind::Fail);

        rig.place.region = {data_centre_id("elsewhere")};
        rig.reconfigure(rig.definition);
        CPPUNIT_ASSERT(rig.balancer().prefersRelay(rig.random));
        CPPUNIT_ASSERT(!rig.balancer().choose(call, {}, rig.now, rig.random).has_value());
    }

    void relaysWhenNoAttemptGotAConnection()
    {
        for (const auto last : {attempt_end::ConnectFailed, attempt_end::Lost}) {
            const pool_rig rig(4);
            const auto call = idempotentCall(rig.now);
            call_record record;
            for (std::uint32_t i = 0; i < 3; ++i) {
                auto outcome = ended(i < 2 ? attempt_end::ConnectFailed : last, 100us);
                outcome.requestMayHaveLeft = outcome.end != attempt_end::ConnectFailed;
                record.attemptStarted(i);
                record.attemptEnded(outcome);
            }
            const auto step = rig.balancer().afterFailure(call, record, rig.now);
            const bool isUnconnected = last == attempt_end::ConnectFailed;
            CPPUNIT_ASSERT(step.step == (isUnconnected ? next_step::kind::Relay : next_step::kind::Fail));
            CPPUNIT_ASSERT(step.ending == (isUnconnected ? call_ending::NotRun : call_ending::Unknown));
        }
    }

    void overloadIsNotToBeRepeated()
    {
        const pool_rig rig(10);
        auto call = idempotentCall(rig.now);
        call.replayable = false;
        call_record record;
        record.attemptStarted(0);
        record.attemptEnded(ended(attempt_end::Refused, 1ms));
        const auto step = rig.balancer().afterFailure(call, record, rig.now);
        CPPUNIT_ASSERT(step.step == next_step::kind::Fail && step.ending == call_ending::NotRun);
        CPPUNIT_ASSERT(!step.callerMayRetry);
    }

    void hedgesOnlyWhatMayRunTwice()
    {
        pool_rig rig(10);
        auto call = idempotentCall(rig.now);
        CPPUNIT_ASSERT_MESSAGE("no latency is known", !rig.balancer().hedgeDelay(call, rig.now).has_value());
        rig.run(2000, 1ms, [&](std::uint32_t) {
            return answered(rig.random.below(20) == 0 ? 40ms : 10ms);
        });
        call = idempotentCall(rig.now);
        const auto delay = rig.balancer().hedgeDelay(call, rig.now);
        CPPUNIT_ASSERT(delay.has_value() && *delay >= 9ms && *delay <= 45ms);
        call_record record;
        record.attemptStarted(0);
        unsigned hedges = 0;
        while (rig.balancer().admitHedge(call, record, rig.now)) {
            ++hedges;
        }
        CPPUNIT_ASSERT_EQUAL(static_cast<unsigned>(retry_budget::kCapacity), hedges);
        auto booking = call;
        booking.idempotent = false;
        CPPUNIT_ASSERT(!rig.balancer().hedgeDelay(booking, rig.now).has_value());
        const pool_rig fresh(10);
        CPPUNIT_ASSERT(!fresh.balancer().admitHedge(booking, record, fresh.now));
    }

    // One of many instances, right after its start, with an endpoint that went silent: a second endpoint is asked all the same.
    void hedgesByTheUsualWorkUntilLatenciesAreKnown()
    {
        pool_rig rig(10);
        rig.run(3, 500ms, [&](std::uint32_t) {
            auto outcome = answered(36ms);
            outcome.expectedSlowdown = 1;
            return outcome;
        });
        const auto delay = rig.balancer().hedgeDelay(idempotentCall(rig.now), rig.now);
        CPPUNIT_ASSERT(delay.has_value() && *delay >= 100ms && *delay <= 200ms);
    }

    void awaitsTheOtherAttempt()
    {
        const pool_rig rig(10);
        call_record record;
        record.attemptStarted(0);
        record.attemptStarted(1);
        record.attemptEnded(ended(attempt_end::Lost, 1ms));
        CPPUNIT_ASSERT(rig.balancer().afterFailure(idempotentCall(rig.now), record, rig.now).step == next_step::kind::Await);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_test);

} // namespace

} // namespace sequoiawharf
