#include "src/balance/evidence.h"

#include "sequoiawharf/pool_sums.h"
#include "src/balance/endpoint_health.h"
#include "src/balance/load_sample.h"
#include "tests/balance/pool_rig.h"
#include "tests/property.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;
using namespace testing;

constexpr unsigned kEndpoints = 10;

class evidence_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(evidence_test);
    CPPUNIT_TEST(packsSamples);
    CPPUNIT_TEST(reportsLoseWeightWithAge);
    CPPUNIT_TEST(olderReportsDoNotReplaceNewer);
    CPPUNIT_TEST(idleLieLosesTrust);
    CPPUNIT_TEST(fullLieDoesNotStarve);
    CPPUNIT_TEST(falseFailingReportDoesNotStarve);
    CPPUNIT_TEST(falseActiveReportDoesNotReturn);
    CPPUNIT_TEST(leavingGetsNoNewWork);
    CPPUNIT_TEST(comesBackOnlyByLaterProbe);
    CPPUNIT_TEST(forgetsLeavingAfterLong);
    CPPUNIT_TEST(listsWhatLeaves);
    CPPUNIT_TEST(prefersTheLessLoadedReport);
    CPPUNIT_TEST(shedEndpointGetsLess);
    CPPUNIT_TEST_SUITE_END();

public:
    void packsSamples()
    {
        checkProperty("a sample survives packing to its precision", [] {
            const auto load = static_cast<float>(*rc::gen::inRange(0, 25'500)) / 100;
            const auto own = static_cast<std::uint32_t>(*rc::gen::inRange(0, 256));
            const mono_time at(std::chrono::microseconds(*rc::gen::inRange<std::int64_t>(1'000'000, 1'000'000'000'000)));
            const auto back = unpackSample(packSample({load, own, at}));
            RC_ASSERT(std::abs(back->load - load) < 0.01F);
            RC_ASSERT(back->own == own);
            RC_ASSERT(at - back->at >= 0ns && at - back->at < 70us);
        });
        CPPUNIT_ASSERT(!unpackSample(0).has_value());
    }

    void reportsLoseWeightWithAge()
    {
        checkProperty("the older a report, the nearer the estimate to the mean", [] {
            const auto load = static_cast<float>(*rc::gen::inRange(0, 300)) / 100;
            const std::chrono::milliseconds first(*rc::gen::inRange(0, 60'000));
            const std::chrono::milliseconds second = first + std::chrono::milliseconds(*rc::gen::inRange(1, 60'000));
            constexpr double kMean = 3;
            const mono_time now(1h);
            endpoint_state state({{"10.0.0.1", 1}, data_centre_id("a"), false}, now - 1h);
            state.inFlight = *rc::gen::inRange(0U, 2U); // met by own calls or not
            recordReport(state, {.load = load}, now);
            const auto offBy = [&](std::chrono::milliseconds age) {
                return std::abs(expectedOthers(state, kMean, 4, now + age) - kMean);
            };
            RC_ASSERT(offBy(second) <= offBy(first) + 1e-9);
            RC_ASSERT(offBy(10s) < 0.05);
        });
    }

    void olderReportsDoNotReplaceNewer()
    {
        const mono_time now(1h);
        endpoint_state state({{"10.0.0.1", 1}, data_centre_id("a"), false}, now);
        recordReport(state, {.load = 1.0F}, now);
        recordReport(state, {.source = report_source::Shared, .load = 0.0F, .age = 50ms}, now + 10ms);
        CPPUNIT_ASSERT_EQUAL(1.0F, unpackSample(state.reportLoad.load())->load);
        recordReport(state, {.source = report_source::Shared, .load = 0.5F, .age = -5s}, now + 20ms);
        CPPUNIT_ASSERT_MESSAGE("a report from the future counts as from now", unpackSample(state.reportLoad.load())->at <= now + 20ms);
    }

    // Its queue grows with the calls that the lie attracts.
    void idleLieLosesTrust()
    {
        pool_rig rig(kEndpoints, "adaptive", 15);
        const auto behaviour = [&](std::uint32_t i) {
            return i == 0 ? answered(10ms + 10ms * rig.at(0).inFlight.load(), 0.0F) : answered(10ms, 0.8F);
        };
        rig.run(3000, 2ms, behaviour);
        CPPUNIT_ASSERT(rig.at(0).trust.load() < 0.7F);
        CPPUNIT_ASSERT(rig.run(1000, 2ms, behaviour)[0] < 250);
    }

    void fullLieDoesNotStarve()
    {
        pool_rig rig(kEndpoints, "adaptive", 15);
        const auto behaviour = [](std::uint32_t i) {
            return answered(10ms, i == 0 ? 200.0F : 0.5F);
        };
        rig.run(10'000, 2ms, behaviour);
        CPPUNIT_ASSERT(rig.at(0).trust.load() < 0.5F);
        CPPUNIT_ASSERT_MESSAGE("a third of an equal part, once the lie is known", rig.run(10'000, 2ms, behaviour)[0] > 333);
    }

    void falseFailingReportDoesNotStarve()
    {
        pool_rig rig(kEndpoints);
        unsigned calls = 0;
        for (unsigned i = 0; i < 200; ++i) {
            rig.balancer().applyReport(rig.addressOf(0), {.state = reported_state::Failing}, rig.now);
            const auto counts = rig.run(100, 2ms, [](std::uint32_t) {
                return answered(10ms);
            });
            calls += i < 100 ? 0 : counts[0];
        }
        CPPUNIT_ASSERT(rig.at(0).trust.load() < 0.5F);
        CPPUNIT_ASSERT_MESSAGE("a third of an equal part, once the lie is known", calls > 333);
    }

    void falseActiveReportDoesNotReturn()
    {
        pool_rig rig(kEndpoints);
        const auto behaviour = [](std::uint32_t i) {
            return i == 0 ? ended(attempt_end::ServerError, 100us) : answered(10ms);
        };
        rig.run(200, 1ms, behaviour);
        unsigned calls = 0;
        for (unsigned i = 0; i < 100; ++i) {
            rig.balancer().applyReport(rig.addressOf(0), {.load = 0.0F, .state = reported_state::Active}, rig.now);
            calls += rig.run(50, 1ms, behaviour)[0];
        }
        CPPUNIT_ASSERT(calls <= 5);
    }

    void leavingGetsNoNewWork()
    {
        checkProperty("an endpoint gets no new work once any source says that it leaves, whatever lagging reports say", [] {
            pool_rig rig(4);
            const auto source = *rc::gen::inRange(0, 5);
            const std::chrono::milliseconds age(*rc::gen::inRange(0, 3000));
            auto outcome = answered(1ms);
            outcome.targetLeaving = true;
            switch (source) {
            case 0:
                rig.balancer().attemptStarted(0, rig.now);
                rig.balancer().attemptEnded(0, outcome, rig.now);
                break;
            case 1:
                rig.balancer().applyReport(rig.addressOf(0), {.source = report_source::Probe, .state = reported_state::Leaving, .age = age}, rig.now);
                break;
            case 2:
                rig.balancer().applyReport(rig.addressOf(0), {.source = report_source::Shared, .state = reported_state::Leaving, .age = age}, rig.now);
                break;
            case 3:
                rig.balancer().markLeaving(rig.addressOf(0), rig.now);
                break;
            default:
                rig.definition.endpoints[0].leaving = true;
                rig.reconfigure(rig.definition);
            }
            const auto behaviour = [](std::uint32_t) {
                return *rc::gen::element(answered(5ms), ended(attempt_end::ServerError, 1ms), ended(attempt_end::Refused, 1ms));
            };
            for (unsigned i = 0; i < 20; ++i) {
                rig.balancer().applyReport(
                    rig.addressOf(0), {.source = *rc::gen::element(report_source::Probe, report_source::Shared), .load = 0.0F, .age = age}, rig.now);
                RC_ASSERT(rig.run(10, 10ms, behaviour)[0] == 0U);
            }
        });
    }

    void comesBackOnlyByLaterProbe()
    {
        pool_rig rig(4);
        rig.balancer().markLeaving(rig.addressOf(0), rig.now);
        rig.now += 40s;
        rig.balancer().applyReport(rig.addressOf(0), {.source = report_source::Shared, .load = 0.0F}, rig.now);
        CPPUNIT_ASSERT(fitnessOf(rig.at(0), rig.now) == fitness::Leaving);
        rig.balancer().applyReport(rig.addressOf(0), {.source = report_source::Probe, .load = 0.0F}, rig.now);
        CPPUNIT_ASSERT(fitnessOf(rig.at(0), rig.now) == fitness::Ramping);
        rig.balancer().applyReport(rig.addressOf(0), {.source = report_source::Shared, .state = reported_state::Leaving, .age = 5s}, rig.now);
        CPPUNIT_ASSERT_MESSAGE("a report from before the return", fitnessOf(rig.at(0), rig.now) == fitness::Ramping);
    }

    void forgetsLeavingAfterLong()
    {
        pool_rig rig(4);
        rig.definition.endpoints[1].leaving = true;
        rig.reconfigure(rig.definition);
        rig.balancer().markLeaving(rig.addressOf(0), rig.now);
        const auto behaviour = [](std::uint32_t) {
            return answered(5ms);
        };
        CPPUNIT_ASSERT_EQUAL(0U, rig.run(5900, 100ms, behaviour)[0]);
        const auto later = rig.run(2000, 100ms, behaviour);
        CPPUNIT_ASSERT_MESSAGE("another process may serve there now", later[0] > 100);
        CPPUNIT_ASSERT_MESSAGE("the table's word stands", later[1] == 0);
    }

    void listsWhatLeaves()
    {
        pool_rig rig(4);
        rig.definition.endpoints[1].leaving = true;
        rig.reconfigure(rig.definition);
        rig.now += 1s;
        rig.balancer().markLeaving(rig.addressOf(0), rig.now);
        const auto notices = rig.balancer().leavingSince(rig.now, rig.now + 200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, notices.size());
        CPPUNIT_ASSERT(notices[0].endpoint == rig.addressOf(0) && notices[0].age == 200ms);
        CPPUNIT_ASSERT(rig.balancer().leavingSince(rig.now + 1ns, rig.now + 1s).empty());
        const auto facts = rig.balancer().facts(data_centre_id("a"), rig.now);
        CPPUNIT_ASSERT(facts.endpoints == 2 && facts.fitEndpoints == 1 && facts.inFlight == 0);
    }

    void prefersTheLessLoadedReport()
    {
        pool_rig rig(2, "adaptive", 15);
        rig.balancer().applyReport(rig.addressOf(0), {.load = 2.0F, .age = 1ms}, rig.now);
        rig.balancer().applyReport(rig.addressOf(1), {.load = 0.2F, .age = 1ms}, rig.now);
        CPPUNIT_ASSERT_EQUAL(1U, *rig.balancer().choose(idempotentCall(rig.now), {}, rig.now, rig.random));
    }

    void shedEndpointGetsLess()
    {
        pool_rig rig(kEndpoints);
        const auto counts = rig.run(5000, 1ms, [](std::uint32_t i) {
            return i == 0 ? ended(attempt_end::Refused, 100us) : answered(10ms);
        });
        CPPUNIT_ASSERT_MESSAGE("a refusal is not speed", counts[0] < 500);
        CPPUNIT_ASSERT_MESSAGE("nor a failure", !isOut(rig.at(0), rig.now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(evidence_test);

} // namespace

} // namespace sequoiawharf
