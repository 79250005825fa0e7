#include "sequoiawharf/retry_after.h"
#include "src/balance/endpoint_health.h"
#include "tests/balance/pool_rig.h"
#include "tests/property.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;
using namespace testing;

attempt_outcome quickAnswer(std::uint32_t /*endpoint*/)
{
    return answered(5ms);
}

class availability_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(availability_test);
    CPPUNIT_TEST(aRestingEndpointGetsNoRequests);
    CPPUNIT_TEST(theLatestEndOfSeveralRestsHolds);
    CPPUNIT_TEST(aRestIsBounded);
    CPPUNIT_TEST(callsComeBackGraduallyAfterARest);
    CPPUNIT_TEST(theFirstEndIsKnownWhenAllRest);
    CPPUNIT_TEST(aRestOutlivesChangesOfTheTable);
    CPPUNIT_TEST(earlierBalancersSeeThatAnEndpointIsRemoved);
    CPPUNIT_TEST(whoeverHasSaidThatItLeavesStaysOut);
    CPPUNIT_TEST(callersThatFoundAllRestingReturnSpread);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against calls, hedges, retries and probes to an endpoint that has asked for a rest: all of them get their endpoint from these two.
    void aRestingEndpointGetsNoRequests()
    {
        pool_rig rig(4);
        rig.balancer().recordAvailability(0, {.rest = 2s}, rig.now);
        const auto end = rig.now + 2s;
        CPPUNIT_ASSERT_EQUAL(0U, rig.run(190, 10ms, quickAnswer)[0]);
        CPPUNIT_ASSERT(!rig.balancer().mayTakeRequests(0, rig.now) && rig.balancer().mayTakeRequests(0, end));
        CPPUNIT_ASSERT(!isProbed(rig, 0));
    }

    void theLatestEndOfSeveralRestsHolds()
    {
        pool_rig rig(4);
        rig.balancer().recordAvailability(0, {.rest = 5s}, rig.now);
        rig.now += 1s;
        rig.balancer().recordAvailability(0, {.rest = 1s}, rig.now);
        rig.balancer().recordAvailability(0, {}, rig.now);
        CPPUNIT_ASSERT(!rig.balancer().mayTakeRequests(0, rig.now + 3900ms));
        CPPUNIT_ASSERT(rig.balancer().mayTakeRequests(0, rig.now + 4s));
    }

    // Guards against an endpoint that takes itself out of service for hours with one wrong figure.
    void aRestIsBounded()
    {
        pool_rig rig(4);
        rig.balancer().recordAvailability(0, {.rest = 24h}, rig.now);
        CPPUNIT_ASSERT(!rig.balancer().mayTakeRequests(0, rig.now + kMaxRest - 1ms));
        CPPUNIT_ASSERT(rig.balancer().mayTakeRequests(0, rig.now + kMaxRest));
    }

    // Guards against the load of all instances at once when a rest ends.
    void callsComeBackGraduallyAfterARest()
    {
        pool_rig rig(4, "two-choices");
        rig.run(200, 10ms, quickAnswer);
        rig.balancer().recordAvailability(0, {.rest = 2s}, rig.now);
        rig.now += 2s;
        CPPUNIT_ASSERT(countProbes(rig, 0, 400) < 100);
        const auto early = rig.run(200, 1ms, quickAnswer);
        CPPUNIT_ASSERT(early[0] * 3 < early[1]);
        rig.now += 2s;
        const auto later = rig.run(400, 10ms, quickAnswer);
        CPPUNIT_ASSERT(later[0] * 3 > later[1] * 2);
        CPPUNIT_ASSERT(countProbes(rig, 0, 400) > 150);
    }

    void theFirstEndIsKnownWhenAllRest()
    {
        pool_rig rig(3);
        const auto started = rig.now;
        CPPUNIT_ASSERT(!rig.balancer().firstRestEnd(rig.now));
        rig.balancer().recordAvailability(0, {.rest = 3s}, rig.now);
        rig.balancer().recordAvailability(1, {.isLeaving = true}, rig.now);
        CPPUNIT_ASSERT_MESSAGE("one endpoint still serves", !rig.balancer().firstRestEnd(rig.now));
        rig.balancer().recordAvailability(2, {.rest = 2s}, rig.now);
        CPPUNIT_ASSERT(rig.balancer().firstRestEnd(rig.now) == started + 2s);
        CPPUNIT_ASSERT(!rig.balancer().choose(idempotentCall(rig.now), {}, rig.now, rig.random));
        CPPUNIT_ASSERT(!rig.balancer().firstRestEnd(started + 2s));
    }

    // Guards against requests to a resting endpoint whose entry lapses and comes back, or whose leaving mark is removed. A new process at its address has
    // asked for nothing.
    void aRestOutlivesChangesOfTheTable()
    {
        pool_rig rig(4);
        auto whole = withIdentities(rig);
        rig.reconfigure(whole);
        rig.balancer().recordAvailability(0, {.rest = 10s}, rig.now);
        auto without = whole;
        without.endpoints.erase(without.endpoints.begin());
        rig.reconfigure(without);
        rig.reconfigure(without);
        rig.now += 1s;
        rig.reconfigure(whole);
        CPPUNIT_ASSERT_MESSAGE("the entry has come back", !rig.balancer().mayTakeRequests(0, rig.now));
        auto marked = whole;
        marked.endpoints[0].leaving = true;
        rig.reconfigure(marked);
        rig.reconfigure(whole);
        CPPUNIT_ASSERT_MESSAGE("the mark has been removed", !rig.balancer().mayTakeRequests(0, rig.now));
        rig.reconfigure(without);
        auto reborn = whole;
        reborn.endpoints[0].incarnation = 2;
        rig.reconfigure(reborn);
        CPPUNIT_ASSERT_MESSAGE("another process", rig.balancer().mayTakeRequests(0, rig.now));
    }

    // Guards against calls that use a balancer from before an endpoint was removed, and are sent there long after it. Another process at its address is
    // another endpoint, and so is one of another pool.
    void earlierBalancersSeeThatAnEndpointIsRemoved()
    {
        pool_rig rig(4);
        const auto whole = withIdentities(rig);
        const std::shared_ptr<const selection_policy> policy = makeSelectionPolicy("adaptive");
        const pool_balancer first(whole, rig.place, policy, nullptr, rig.now);
        auto without = whole;
        without.endpoints.erase(without.endpoints.begin());
        const pool_balancer second(without, rig.place, policy, &first, rig.now);
        CPPUNIT_ASSERT(!first.mayTakeRequests(0, rig.now) && first.mayTakeRequests(1, rig.now));
        const auto probed = first.probeCandidates(distance::DataCentre, 4, {}, rig.now, rig.random);
        CPPUNIT_ASSERT_MESSAGE("the other endpoint of the data centre", probed == std::vector<std::uint32_t> {2});
        for (int i = 0; i < 100; ++i) {
            CPPUNIT_ASSERT(first.choose(idempotentCall(rig.now), {}, rig.now, rig.random) != 0U);
        }
        auto reused = whole;
        reused.endpoints[0].identity = "another";
        const pool_balancer third(reused, rig.place, policy, &second, rig.now);
        CPPUNIT_ASSERT(!first.mayTakeRequests(0, rig.now) && third.mayTakeRequests(0, rig.now));
        const pool_balancer fourth(whole, rig.place, policy, &third, rig.now);
        CPPUNIT_ASSERT_MESSAGE("the entry has come back", first.mayTakeRequests(0, rig.now) && fourth.mayTakeRequests(0, rig.now));
        CPPUNIT_ASSERT(!third.mayTakeRequests(0, rig.now));
    }

    // Guards against calls to an endpoint that has said that it leaves, after discovery has told an older state of it.
    void whoeverHasSaidThatItLeavesStaysOut()
    {
        pool_rig rig(4);
        const auto whole = withIdentities(rig);
        rig.reconfigure(whole);
        rig.balancer().recordAvailability(0, {.isLeaving = true}, rig.now);
        auto marked = whole;
        marked.endpoints[0].leaving = true;
        rig.reconfigure(marked);
        rig.reconfigure(whole);
        CPPUNIT_ASSERT(!rig.balancer().mayTakeRequests(0, rig.now));
        auto without = whole;
        without.endpoints.erase(without.endpoints.begin());
        rig.reconfigure(without);
        rig.now += 30s;
        rig.reconfigure(whole);
        CPPUNIT_ASSERT_EQUAL(0U, rig.run(200, 10ms, quickAnswer)[0]);
        CPPUNIT_ASSERT(!isProbed(rig, 0));
        auto reborn = whole;
        reborn.endpoints[0].incarnation = 2;
        rig.reconfigure(reborn);
        CPPUNIT_ASSERT_MESSAGE("another process", rig.balancer().mayTakeRequests(0, rig.now));
    }

    void callersThatFoundAllRestingReturnSpread()
    {
        CPPUNIT_ASSERT(retryAfterRest(2s, 0) == 2s && retryAfterRest(2s, 1) == 3s);
        CPPUNIT_ASSERT(retryAfterRest(10ms, 1) >= 300ms);
        CPPUNIT_ASSERT(retryAfterRest(0s, 0) > 0s);
    }

private:
    static unsigned countProbes(pool_rig &rig, std::uint32_t endpoint, unsigned choices)
    {
        unsigned count = 0;
        for (unsigned i = 0; i < choices; ++i) {
            // Endpoints 0 and 2 stand in this instance's data centre.
            const auto chosen = rig.balancer().probeCandidates(distance::DataCentre, 1, {}, rig.now, rig.random);
            count += std::ranges::count(chosen, endpoint) > 0 ? 1 : 0;
        }
        return count;
    }

    static bool isProbed(pool_rig &rig, std::uint32_t endpoint)
    {
        return countProbes(rig, endpoint, 100) > 0;
    }

    static pool withIdentities(const pool_rig &rig)
    {
        auto definition = rig.definition;
        std::ranges::for_each(definition.endpoints, [](endpoint &member) {
            member.identity = "i-" + std::to_string(member.address.port);
            member.incarnation = 1;
        });
        return definition;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(availability_test);

} // namespace

} // namespace sequoiawharf
