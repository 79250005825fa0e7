#include "sequoiawharf/pool_watch.h"

#include "sequoiawharf/routing.h"
#include "tests/balance/pool_rig.h"
#include "tests/property.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;
using namespace testing;

std::shared_ptr<const routing> makeRouting(const pool &definition, const routing &previous, mono_time now)
{
    static const std::shared_ptr<const selection_policy> policy = makeSelectionPolicy("adaptive");
    auto config = std::make_shared<configuration>();
    config->pools = pool_table({definition});
    return std::make_shared<const routing>(config, locality {instance_id("n1"), data_centre_id("a"), {}, 1}, policy, previous, now);
}

std::size_t count(const std::vector<event> &events, event_kind kind)
{
    return static_cast<std::size_t>(std::ranges::count(events, kind, &event::kind));
}

class watch_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(watch_test);
    CPPUNIT_TEST(reportsEachChangeOnce);
    CPPUNIT_TEST(reportsPanicMode);
    CPPUNIT_TEST(comparesAnewWhenABalancerReusesAnAddress);
    CPPUNIT_TEST_SUITE_END();

public:
    void reportsEachChangeOnce()
    {
        auto definition = pool_rig(6).definition;
        definition.name = pool_name("p");
        mono_time now(1h);
        const auto first = makeRouting(definition, {}, now);
        const auto balancer = first->find(pool_name("p"));
        pool_watch watch;
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, count(watch.changes(*first, now), event_kind::LimitChanged));
        for (unsigned i = 0; i < 10; ++i) {
            balancer->attemptStarted(2, now);
            balancer->attemptEnded(2, ended(attempt_end::Lost, 1ms), now);
        }
        first->markLeaving(definition.endpoints[3].address, now);
        const auto events = watch.changes(*first, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, count(events, event_kind::EndpointEjected));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, count(events, event_kind::EndpointLeaving));
        CPPUNIT_ASSERT(events[0].subject == toString(definition.endpoints[2].address) && events[0].pool == "p");
        definition.endpoints.erase(definition.endpoints.begin());
        const auto second = makeRouting(definition, *first, now);
        CPPUNIT_ASSERT_MESSAGE("a change of the pool table is not reported as an ejection",
                               count(watch.changes(*second, now), event_kind::EndpointEjected) == 0);

        now += 2s;
        for (unsigned i = 0; i < 3; ++i) {
            second->find(pool_name("p"))->attemptStarted(1, now);
            second->find(pool_name("p"))->attemptEnded(1, answered(1ms), now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, count(watch.changes(*second, now), event_kind::EndpointReturned));
        CPPUNIT_ASSERT(watch.changes(*second, now).empty());
    }

    void reportsPanicMode()
    {
        auto definition = pool_rig(4).definition;
        definition.name = pool_name("p");
        const mono_time now(1h);
        const auto current = makeRouting(definition, {}, now);
        pool_watch watch;
        watch.changes(*current, now);
        for (unsigned i = 0; i < 40; ++i) {
            current->find(pool_name("p"))->attemptStarted(i % 4, now);
            current->find(pool_name("p"))->attemptEnded(i % 4, ended(attempt_end::Lost, 1ms), now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, count(watch.changes(*current, now), event_kind::PanicModeChanged));
    }

    // Guards against a comparison with an outdated snapshot: each routing is freed before the next is made, so a new balancer may have the address of
    // an earlier one.
    void comparesAnewWhenABalancerReusesAnAddress()
    {
        pool_watch watch;
        const mono_time now(1h);
        for (unsigned size = 1; size < 60; ++size) {
            auto definition = pool_rig(size).definition;
            definition.name = pool_name("p");
            const auto current = makeRouting(definition, {}, now);
            watch.changes(*current, now);
            current->markLeaving(definition.endpoints.back().address, now);
            CPPUNIT_ASSERT_EQUAL(std::size_t {1}, count(watch.changes(*current, now), event_kind::EndpointLeaving));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(watch_test);

} // namespace

} // namespace sequoiawharf
