#include "sequoiawharf/call_queue.h"
#include "tests/balance/pool_rig.h"
#include "tests/property.h"

#include <algorithm>
#include <deque>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;
using namespace testing;

constexpr std::uint64_t kNoisyCaller = 99;

bool isAdmitted(const pool_balancer &balancer, const call_profile &call, mono_time now)
{
    return balancer.admit(call, now).verdict == admission::kind::Admitted;
}

// Admits calls of different callers until the pool has no permit left.
void fill(const pool_rig &rig)
{
    for (std::uint64_t caller = 1000; isAdmitted(rig.balancer(), idempotentCall(rig.now, caller), rig.now); ++caller) { }
}

class admission_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(admission_test);
    CPPUNIT_TEST(refusesCallsPastTheirDeadline);
    CPPUNIT_TEST(refusesCallsThatWouldMissTheirDeadline);
    CPPUNIT_TEST(limitsTheQueueByRouteClass);
    CPPUNIT_TEST(urgentCallsSkipTheQueue);
    CPPUNIT_TEST(refusesTheNoisyCallerFirst);
    CPPUNIT_TEST(singleCallerMayUseTheWholePool);
    CPPUNIT_TEST(wakesWaitingThreads);
    CPPUNIT_TEST(losesNoWakeup);
    CPPUNIT_TEST(limitShrinksAfterRefusals);
    CPPUNIT_TEST(limitFollowsLatency);
    CPPUNIT_TEST(stateOutlivesConfigurationChange);
    CPPUNIT_TEST_SUITE_END();

public:
    void refusesCallsPastTheirDeadline()
    {
        const pool_rig rig(10);
        auto call = idempotentCall(rig.now);
        call.deadline = rig.now;
        const auto verdict = rig.balancer().admit(call, rig.now);
        CPPUNIT_ASSERT(verdict.verdict == admission::kind::Refused);
        CPPUNIT_ASSERT(verdict.reason == call_reason::DeadlineTooShort);
    }

    void refusesCallsThatWouldMissTheirDeadline()
    {
        pool_rig rig(10);
        rig.run(500, 1ms, [](std::uint32_t) {
            return answered(10ms);
        });
        auto call = idempotentCall(rig.now);
        call.deadline = rig.now + 9ms;
        CPPUNIT_ASSERT(rig.balancer().admit(call, rig.now).reason == call_reason::DeadlineTooShort);
        fill(rig);
        call.deadline = rig.now + 11ms;
        CPPUNIT_ASSERT_MESSAGE("an answer takes 10 ms, so 11 ms suffice for a short wait",
                               rig.balancer().admit(call, rig.now).verdict == admission::kind::Wait);
        const auto waiting = rig.balancer().state().limit.limit() / 2;
        for (unsigned i = 0; i < waiting; ++i) {
            rig.balancer().waitStarted(0);
        }
        const auto verdict = rig.balancer().admit(call, rig.now);
        CPPUNIT_ASSERT(verdict.reason == call_reason::DeadlineTooShort && !verdict.callerMayRetry);
    }

    void limitsTheQueueByRouteClass()
    {
        const pool_rig rig(10);
        fill(rig);
        std::vector<unsigned> held;
        for (const auto priority : {route_class::Bulk, route_class::Normal, route_class::Urgent}) {
            auto call = idempotentCall(rig.now);
            call.priority = priority;
            auto verdict = rig.balancer().admit(call, rig.now);
            for (; verdict.verdict == admission::kind::Wait; verdict = rig.balancer().admit(call, rig.now)) {
                rig.balancer().waitStarted(3);
            }
            CPPUNIT_ASSERT(verdict.reason == call_reason::Overloaded && !verdict.callerMayRetry);
            held.push_back(rig.balancer().state().waiting.calls());
        }
        CPPUNIT_ASSERT(held[0] < held[1] && held[1] < held[2]);
        CPPUNIT_ASSERT_EQUAL(rig.balancer().state().limit.limit(), held[2]);
    }

    void urgentCallsSkipTheQueue()
    {
        const pool_rig rig(10);
        rig.balancer().waitStarted(0);
        auto call = idempotentCall(rig.now);
        CPPUNIT_ASSERT(rig.balancer().admit(call, rig.now).verdict == admission::kind::Wait);
        call.priority = route_class::Urgent;
        CPPUNIT_ASSERT(isAdmitted(rig.balancer(), call, rig.now));
    }

    void refusesTheNoisyCallerFirst()
    {
        checkProperty("when a modest caller is refused, so is the noisy one; when the noisy one is refused, a place is left", [] {
            pool_rig rig(10);
            std::deque<mono_time> ends;
            unsigned refusedModest = 0;
            unsigned refusedNoisy = 0;
            const auto noise = *rc::gen::inRange(4U, 20U);
            for (unsigned i = 0; i < 3000; ++i) {
                rig.now += 500us;
                for (; !ends.empty() && ends.front() <= rig.now; ends.pop_front()) {
                    rig.balancer().release();
                }
                const bool isNoisy = i % noise != 0;
                const auto caller = isNoisy ? kNoisyCaller : 1 + (i / noise) % 8;
                const auto verdict = rig.balancer().admit(idempotentCall(rig.now, caller), rig.now).verdict;
                if (verdict == admission::kind::Admitted) {
                    ends.push_back(rig.now + 60ms);
                } else if (i > 1000) { // by then the sketch has counted all callers
                    (isNoisy ? refusedNoisy : refusedModest) += 1;
                    RC_ASSERT(isNoisy || !isAdmitted(rig.balancer(), idempotentCall(rig.now, kNoisyCaller), rig.now));
                }
            }
            RC_ASSERT(refusedNoisy > 0U);
            RC_ASSERT(refusedModest == 0U);
        });
    }

    void singleCallerMayUseTheWholePool()
    {
        const pool_rig rig(10);
        unsigned admitted = 0;
        while (isAdmitted(rig.balancer(), idempotentCall(rig.now, kNoisyCaller), rig.now)) {
            ++admitted;
        }
        CPPUNIT_ASSERT_EQUAL(rig.balancer().state().limit.limit(), admitted);
    }

    void wakesWaitingThreads()
    {
        const pool_rig rig(1);
        fill(rig);
        const auto &balancer = rig.balancer();
        CPPUNIT_ASSERT(!balancer.admitWaiting());
        balancer.waitStarted(7);
        balancer.waitStarted(200);
        CPPUNIT_ASSERT(balancer.release().has_value());
        CPPUNIT_ASSERT_MESSAGE("thread 7 has no waiting call left, so thread 200 is woken", balancer.waitEnded(7, false) == 200U);
        CPPUNIT_ASSERT(balancer.admitWaiting());
        CPPUNIT_ASSERT(!balancer.waitEnded(200, false).has_value());
        CPPUNIT_ASSERT_MESSAGE("no thread is waiting", !balancer.release().has_value());
    }

    // Guards against calls that wait for ever because a wakeup is lost between a release and a new waiting call. The steps of three threads interleave at
    // random; each thread follows the protocol of call_queue.
    void losesNoWakeup()
    {
        checkProperty("no call waits for ever while places come free", [] {
            const pool_rig rig(1);
            const auto &balancer = rig.balancer();
            std::array<unsigned, 3> queued {};
            std::deque<unsigned> wakeups;
            unsigned running = 0;
            const auto serve = [&](unsigned thread) {
                while (queued[thread] > 0 && balancer.admitWaiting()) {
                    ++running;
                    --queued[thread];
                    if (const auto next = balancer.waitEnded(thread, queued[thread] > 0)) {
                        wakeups.push_back(*next);
                    }
                }
            };
            const auto release = [&] {
                --running;
                if (const auto next = balancer.release()) {
                    wakeups.push_back(*next);
                }
            };
            for (const auto step : *rc::gen::container<std::vector<int>>(100, rc::gen::inRange(0, 10))) {
                const auto thread = static_cast<unsigned>(step % 3);
                if (step < 6) {
                    const auto verdict = balancer.admit(idempotentCall(rig.now, 1), rig.now).verdict;
                    running += verdict == admission::kind::Admitted ? 1 : 0;
                    if (verdict == admission::kind::Wait) {
                        ++queued[thread];
                        balancer.waitStarted(thread);
                        serve(thread);
                    }
                } else if (step < 8 && running > 0) {
                    release();
                } else if (!wakeups.empty()) {
                    const auto woken = wakeups.front();
                    wakeups.pop_front();
                    serve(woken);
                }
            }
            while (running > 0 || !wakeups.empty()) {
                for (; !wakeups.empty(); wakeups.pop_front()) {
                    serve(wakeups.front());
                }
                if (running > 0) {
                    release();
                }
            }
            RC_ASSERT(queued == (std::array<unsigned, 3> {}));
            RC_ASSERT(balancer.state().limit.inUse() == 0U);
        });
    }

    void limitShrinksAfterRefusals()
    {
        pool_rig rig(10, "adaptive", 15);
        const auto before = rig.balancer().state().limit.limit();
        rig.run(1000, 1ms, [](std::uint32_t) {
            return ended(attempt_end::Refused, 1ms);
        });
        CPPUNIT_ASSERT(rig.balancer().state().limit.limit() < before);
        CPPUNIT_ASSERT_MESSAGE("an equal part of 40 slots among 15 instances", rig.balancer().state().limit.limit() >= 2);
    }

    void limitFollowsLatency()
    {
        pool_rig rig(10, "adaptive", 15);
        const auto &limit = rig.balancer().state().limit;
        const auto run = [&](std::chrono::milliseconds latency) {
            for (unsigned i = 0; i < 50; ++i) {
                fill(rig);
                rig.run(100, 1ms, [latency](std::uint32_t) {
                    return answered(latency);
                });
                while (limit.inUse() > 0) {
                    rig.balancer().release();
                }
            }
        };
        const auto start = limit.limit();
        run(10ms);
        const auto grown = limit.limit();
        CPPUNIT_ASSERT(grown > start);
        run(40ms);
        CPPUNIT_ASSERT(limit.limit() < grown);
    }

    void stateOutlivesConfigurationChange()
    {
        pool_rig rig(4);
        fill(rig);
        rig.balancer().markLeaving(rig.addressOf(1), rig.now);
        auto changed = rig.definition;
        changed.endpoints.erase(changed.endpoints.begin());
        rig.reconfigure(changed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t {0}, rig.at(1).leavingSinceNs.load());
        CPPUNIT_ASSERT(rig.at(0).leavingSinceNs.load() != 0);
        CPPUNIT_ASSERT(!isAdmitted(rig.balancer(), idempotentCall(rig.now), rig.now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_test);

} // namespace

} // namespace sequoiawharf
