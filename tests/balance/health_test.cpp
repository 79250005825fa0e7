#include "src/balance/endpoint_health.h"
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

constexpr unsigned kHealthEndpoints = 10;

unsigned countOut(const pool_rig &rig)
{
    unsigned out = 0;
    for (std::uint32_t i = 0; i < rig.definition.endpoints.size(); ++i) {
        out += isOut(rig.at(i), rig.now) ? 1 : 0;
    }
    return out;
}

class health_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(health_test);
    CPPUNIT_TEST(ejectsFastFailingEndpoint);
    CPPUNIT_TEST(ejectsStraggler);
    CPPUNIT_TEST(ejectsStragglerOfTwo);
    CPPUNIT_TEST(capsEjections);
    CPPUNIT_TEST(goesOnWhenAllFail);
    CPPUNIT_TEST(unreachableEndpointsAreOutBeyondTheCap);
    CPPUNIT_TEST(unreachablePoolIsTriedAgainSoon);
    CPPUNIT_TEST(returnsByTrials);
    CPPUNIT_TEST(returnsWithoutIdempotentCalls);
    CPPUNIT_TEST(pauseEjectsNobody);
    CPPUNIT_TEST(pauseAndFailureEjectOnlyTheFailing);
    CPPUNIT_TEST(rampsNewEndpoint);
    CPPUNIT_TEST(rampsStartingEndpoint);
    CPPUNIT_TEST(growingPoolDoesNotOverloadTheOld);
    CPPUNIT_TEST(avoidsBadDataCentreOnRetry);
    CPPUNIT_TEST_SUITE_END();

public:
    void ejectsFastFailingEndpoint()
    {
        for (const auto *policy : {"round-robin", "random", "two-choices", "two-choices-reported", "adaptive"}) {
            pool_rig rig(kHealthEndpoints, policy);
            const auto behaviour = [](std::uint32_t i) {
                return i == 0 ? ended(attempt_end::ServerError, 100us) : answered(10ms);
            };
            rig.run(400, 1ms, behaviour);
            const auto counts = rig.run(500, 1ms, behaviour);
            CPPUNIT_ASSERT_MESSAGE(policy, counts[0] <= 5);
        }
    }

    void ejectsStraggler()
    {
        pool_rig rig(kHealthEndpoints);
        const auto behaviour = [](std::uint32_t i) {
            return answered(i == 0 ? 100ms : 10ms);
        };
        rig.run(2000, 1ms, behaviour);
        const auto counts = rig.run(1000, 1ms, behaviour);
        CPPUNIT_ASSERT(counts[0] <= 10);
    }

    void ejectsStragglerOfTwo()
    {
        pool_rig rig(2, "random");
        rig.run(200, 5ms, [](std::uint32_t i) {
            return answered(i == 0 ? 100ms : 10ms);
        });
        CPPUNIT_ASSERT(isOut(rig.at(0), rig.now));
        CPPUNIT_ASSERT(!isOut(rig.at(1), rig.now));
    }

    void capsEjections()
    {
        pool_rig rig(kHealthEndpoints);
        unsigned most = 0;
        for (unsigned i = 0; i < 300; ++i) {
            rig.run(10, 1ms, [](std::uint32_t endpoint) {
                return endpoint < 5 ? ended(attempt_end::Lost, 1ms) : answered(10ms);
            });
            most = std::max(most, countOut(rig));
        }
        CPPUNIT_ASSERT_EQUAL(3U, most);
    }

    void goesOnWhenAllFail()
    {
        pool_rig rig(kHealthEndpoints);
        const auto counts = rig.run(1000, 1ms, [](std::uint32_t) {
            return ended(attempt_end::ServerError, 1ms);
        });
        CPPUNIT_ASSERT_EQUAL(1000U, std::accumulate(counts.begin(), counts.end(), 0U));
        CPPUNIT_ASSERT(rig.balancer().state().panic.load());
        CPPUNIT_ASSERT(countOut(rig) <= 3);
        rig.run(4000, 5ms, [](std::uint32_t) {
            return answered(10ms);
        });
        CPPUNIT_ASSERT(!rig.balancer().state().panic.load());
        CPPUNIT_ASSERT_EQUAL(0U, countOut(rig));
    }

    void unreachableEndpointsAreOutBeyondTheCap()
    {
        constexpr std::uint32_t kDead = 6;
        pool_rig rig(kHealthEndpoints);
        bool isDown = true;
        const auto behaviour = [&](std::uint32_t i) {
            return isDown && i < kDead ? ended(attempt_end::ConnectFailed, 100us) : answered(10ms);
        };
        rig.run(300, 1ms, behaviour);
        CPPUNIT_ASSERT_EQUAL(kDead, countOut(rig));
        const auto counts = rig.run(3000, 1ms, behaviour);
        const auto wasted = std::accumulate(counts.begin(), counts.begin() + kDead, 0U);
        CPPUNIT_ASSERT_MESSAGE("more than a trial a second each", wasted <= kDead * 4);

        isDown = false;
        rig.run(3000, 1ms, behaviour);
        CPPUNIT_ASSERT_EQUAL(0U, countOut(rig));
    }

    void unreachablePoolIsTriedAgainSoon()
    {
        pool_rig rig(2);
        const auto isChosen = [&] {
            return rig.balancer().choose(idempotentCall(rig.now), {}, rig.now, rig.random).has_value();
        };
        for (std::uint32_t i = 0; i < 8; ++i) {
            rig.balancer().attemptStarted(i % 2, rig.now);
            rig.balancer().attemptEnded(i % 2, ended(attempt_end::ConnectFailed, 100us), rig.now);
        }
        CPPUNIT_ASSERT(!isChosen());
        rig.now += 1s;
        CPPUNIT_ASSERT(isChosen());
    }

    void returnsByTrials()
    {
        pool_rig rig(kHealthEndpoints);
        const auto bad = [](std::uint32_t i) {
            return i == 0 ? ended(attempt_end::ConnectFailed, 100us) : answered(10ms);
        };
        rig.run(1000, 1ms, bad);
        rig.failures = 0;
        rig.run(10'000, 1ms, bad);
        CPPUNIT_ASSERT_MESSAGE("trials grow rarer", rig.failures <= 10);
        CPPUNIT_ASSERT(isOut(rig.at(0), rig.now));
        const auto good = [](std::uint32_t) {
            return answered(10ms);
        };
        rig.run(60'000, 1ms, good);
        const auto counts = rig.run(10'000, 1ms, good);
        CPPUNIT_ASSERT(!isOut(rig.at(0), rig.now));
        CPPUNIT_ASSERT(counts[0] > 700);
    }

    void returnsWithoutIdempotentCalls()
    {
        pool_rig rig(kHealthEndpoints);
        rig.idempotent = false;
        bool isBad = true;
        const auto behaviour = [&](std::uint32_t i) {
            return i == 0 && isBad ? ended(attempt_end::ConnectFailed, 100us) : answered(10ms);
        };
        rig.run(500, 1ms, behaviour);
        CPPUNIT_ASSERT(isOut(rig.at(0), rig.now));
        isBad = false;
        rig.run(20'000, 1ms, behaviour);
        CPPUNIT_ASSERT(!isOut(rig.at(0), rig.now));
    }

    // Calls in flight at a pause look slow, those of some endpoints only.
    void pauseEjectsNobody()
    {
        pool_rig rig(kHealthEndpoints);
        const auto quick = [](std::uint32_t) {
            return answered(10ms);
        };
        rig.run(1000, 1ms, quick);
        rig.run(4, 1us, [](std::uint32_t) {
            return answered(20s);
        });
        rig.now += 21s;
        rig.run(2000, 1ms, quick);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {0}, rig.balancer().state().ejections.load());
    }

    void pauseAndFailureEjectOnlyTheFailing()
    {
        pool_rig rig(kHealthEndpoints);
        const auto behaviour = [](std::uint32_t i) {
            return i == 0 ? ended(attempt_end::Lost, 1ms) : answered(10ms);
        };
        rig.run(200, 1ms, behaviour);
        rig.run(4, 1us, [](std::uint32_t) {
            return answered(20s);
        });
        rig.now += 21s;
        rig.run(500, 1ms, behaviour);
        CPPUNIT_ASSERT_EQUAL(1U, countOut(rig));
        CPPUNIT_ASSERT(isOut(rig.at(0), rig.now));
    }

    void rampsNewEndpoint()
    {
        pool_rig rig(kHealthEndpoints);
        const auto behaviour = [](std::uint32_t) {
            return answered(10ms);
        };
        rig.run(1000, 1ms, behaviour);
        auto changed = rig.definition;
        changed.endpoints.push_back({{"10.0.0.9", 1}, data_centre_id("a"), false});
        rig.reconfigure(changed);
        CPPUNIT_ASSERT_MESSAGE("cold", rig.run(1000, 1ms, behaviour)[kHealthEndpoints] < 60);
        rig.run(10'000, 1ms, behaviour);
        CPPUNIT_ASSERT_MESSAGE("warm", rig.run(1000, 1ms, behaviour)[kHealthEndpoints] > 60);
    }

    void rampsStartingEndpoint()
    {
        pool_rig rig(kHealthEndpoints);
        rig.balancer().applyReport(rig.addressOf(3), {.state = reported_state::Starting}, rig.now);
        const auto counts = rig.run(1000, 1ms, [](std::uint32_t) {
            return answered(10ms);
        });
        CPPUNIT_ASSERT(counts[3] < 50);
    }

    void growingPoolDoesNotOverloadTheOld()
    {
        pool_rig rig(2);
        const auto behaviour = [](std::uint32_t) {
            return answered(10ms);
        };
        rig.run(500, 2ms, behaviour);
        auto changed = rig.definition;
        for (std::uint16_t i = 0; i < 18; ++i) {
            changed.endpoints.push_back({{"10.0.0.9", i}, data_centre_id("a"), false});
        }
        rig.reconfigure(changed);
        rig.run(200, 1ms, behaviour);
        const auto counts = rig.run(1000, 1ms, behaviour);
        CPPUNIT_ASSERT(counts[0] + counts[1] < 200);
    }

    void avoidsBadDataCentreOnRetry()
    {
        pool_rig rig(kHealthEndpoints);
        rig.run(400, 1ms, [](std::uint32_t i) {
            return i % 2 == 0 ? ended(attempt_end::Lost, 1ms) : answered(10ms);
        });
        const std::vector<std::uint32_t> tried {2};
        for (unsigned i = 0; i < 100; ++i) {
            const auto next = rig.balancer().choose(idempotentCall(rig.now), tried, rig.now, rig.random);
            CPPUNIT_ASSERT(next.has_value());
            CPPUNIT_ASSERT_EQUAL(1U, *next % 2);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(health_test);

} // namespace

} // namespace sequoiawharf
