#include "tests/balance/pool_rig.h"
#include "tests/property.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <thread>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;
using namespace testing;

constexpr unsigned kThreads = 4;
constexpr unsigned kCallsPerThread = 5000;

// One thread's calls: all methods that a gateway thread uses, with failures of every kind.
void hammer(const pool_balancer &balancer, unsigned thread, mono_time now, std::atomic<unsigned> &woken)
{
    random_source random(thread);
    for (unsigned i = 0; i < kCallsPerThread; ++i) {
        now += 20us;
        const auto call = idempotentCall(now, random.below(20));
        const auto verdict = balancer.admit(call, now).verdict;
        if (verdict == admission::kind::Wait) {
            balancer.waitStarted(thread);
            const bool isServed = balancer.admitWaiting();
            woken += balancer.waitEnded(thread, false).has_value() ? 1 : 0;
            if (!isServed) {
                continue;
            }
        } else if (verdict == admission::kind::Refused) {
            continue;
        }
        call_record record;
        next_step step {.step = next_step::kind::Retry};
        while (step.step == next_step::kind::Retry) {
            const auto index = balancer.choose(call, record.tried(), now, random);
            if (!index) {
                break;
            }
            constexpr std::array kEnds {attempt_end::Answered, attempt_end::Answered, attempt_end::Answered, attempt_end::Lost, attempt_end::Refused};
            auto outcome = ended(kEnds[random.below(kEnds.size())], 1ms + random.below(9000) * 1us);
            outcome.reportedLoad = static_cast<float>(random.unit());
            balancer.attemptStarted(*index, now);
            record.attemptStarted(*index);
            balancer.attemptEnded(*index, outcome, now);
            record.attemptEnded(outcome);
            step = outcome.end == attempt_end::Answered ? next_step {} : balancer.afterFailure(call, record, now);
        }
        woken += balancer.release().has_value() ? 1 : 0;
    }
}

class thread_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(thread_test);
    CPPUNIT_TEST(threadsShareOnePool);
    CPPUNIT_TEST_SUITE_END();

public:
    void threadsShareOnePool()
    {
        pool_rig rig(8, "adaptive", 4);
        std::atomic<unsigned> woken {0};
        std::array<std::thread, kThreads> threads;
        for (unsigned i = 0; i < kThreads; ++i) {
            threads[i] = std::thread([&rig, &woken, i] {
                hammer(rig.balancer(), i, rig.now, woken);
            });
        }
        const auto &balancer = rig.balancer();
        for (unsigned i = 0; i < 2000; ++i) { // the control thread
            balancer.applyReport(rig.addressOf(i % 8), {.load = 0.3F, .state = i % 50 == 0 ? reported_state::Starting : reported_state::Active}, rig.now);
        }
        balancer.markLeaving(rig.addressOf(7), rig.now);
        std::ranges::for_each(threads, &std::thread::join);
        CPPUNIT_ASSERT_EQUAL(0U, balancer.state().limit.taken());
        CPPUNIT_ASSERT_EQUAL(0U, balancer.state().waiting.calls());
        for (std::uint32_t i = 0; i < 8; ++i) {
            CPPUNIT_ASSERT_EQUAL(0U, balancer.at(i).inFlight.load());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(thread_test);

} // namespace

} // namespace sequoiawharf
