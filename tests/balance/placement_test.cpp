#include "sequoiawharf/placement_limits.h"
#include "sequoiawharf/routing.h"
#include "tests/balance/pool_rig.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>

namespace sequoiawharf
{

namespace
{

using namespace testing;

const std::map<region_id, std::vector<data_centre_id>> kRegions {
    {region_id("north"), {data_centre_id("a"), data_centre_id("b")}},
    {region_id("south"), {data_centre_id("c"), data_centre_id("d")}},
};

/// A pool with the same number of endpoints in each data centre, and an instance in "a" that calls all of them itself.
class placement_rig
{
public:
    explicit placement_rig(unsigned perCentre, unsigned instances = 1)
    {
        place = {instance_id("n1"), data_centre_id("a"), {}, instances};
        place.ownRegion = kRegions.at(region_id("north"));
        place.limits = limits;
        std::uint16_t port = 1000;
        for (const auto *centre : {"a", "b", "c", "d"}) {
            for (unsigned i = 0; i < perCentre; ++i) {
                definition.endpoints.push_back({{"10.0.0.1", port++}, data_centre_id(centre), false});
            }
        }
        rebuild();
    }

    void rebuild()
    {
        balancer = std::make_shared<const pool_balancer>(definition, place, policy, nullptr, now);
    }

    /// Returns a call with these homes.
    call_profile callAt(const std::vector<region_id> &homes) const
    {
        auto call = idempotentCall(now);
        call.centres = limits->maskOf(homes);
        return call;
    }

    /// Returns how often each endpoint is chosen.
    std::map<std::uint32_t, int> choices(const call_profile &call, int count)
    {
        std::map<std::uint32_t, int> result;
        for (int i = 0; i < count; ++i) {
            if (const auto index = balancer->choose(call, {}, now, random)) {
                ++result[*index];
            }
        }
        return result;
    }

    std::string centreOf(std::uint32_t index) const
    {
        return balancer->definition().endpoints[index].dataCentre.str();
    }

    std::shared_ptr<placement_limits> limits = std::make_shared<placement_limits>(kRegions);
    locality place;
    pool definition;
    mono_time now {std::chrono::hours(1)};
    random_source random {20261207};
    std::shared_ptr<const selection_policy> policy = makeSelectionPolicy("random");
    std::shared_ptr<const pool_balancer> balancer;
};

class placement_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(placement_test);
    CPPUNIT_TEST(homesBindEveryChoice);
    CPPUNIT_TEST(callsWithHomesSpreadEvenly);
    CPPUNIT_TEST(bothHomesAreBinding);
    CPPUNIT_TEST(unknownRegionsAreNoHomes);
    CPPUNIT_TEST(subsetWithoutAHomeIsLeft);
    CPPUNIT_TEST(evacuationBindsCallsThatRun);
    CPPUNIT_TEST(evacuationBindsWhenNothingElseIsLeft);
    CPPUNIT_TEST(manyDataCentresShareTheLastBit);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a call that leaves its homes by any of the choices, also when the endpoints there were tried already.
    void homesBindEveryChoice()
    {
        placement_rig rig(2);
        const auto call = rig.callAt({region_id("south")});
        for (const auto &[index, count] : rig.choices(call, 500)) {
            CPPUNIT_ASSERT(rig.centreOf(index) == "c" || rig.centreOf(index) == "d");
        }
        const std::vector<std::uint32_t> tried {4, 5, 6, 7};
        CPPUNIT_ASSERT(!rig.balancer->choose(call, tried, rig.now, rig.random));
        CPPUNIT_ASSERT(rig.balancer->probeCandidates(call, distance::DataCentre, 8, {}, rig.now, rig.random).empty());
        CPPUNIT_ASSERT(rig.balancer->probeCandidates(call, distance::Region, 8, {}, rig.now, rig.random).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t {4}, rig.balancer->probeCandidates(call, distance::Far, 8, {}, rig.now, rig.random).size());
        CPPUNIT_ASSERT_MESSAGE("nearer stages have nothing to probe", !rig.balancer->hasEndpointsAt(distance::Region, call));
        CPPUNIT_ASSERT(rig.balancer->hasEndpointsAt(distance::Far, call) && !rig.balancer->isExcluded(call));
        CPPUNIT_ASSERT(rig.balancer->mayUse(4, call) && !rig.balancer->mayUse(0, call));
    }

    // Guards against the first endpoint of a home getting the calls of the endpoints before it.
    void callsWithHomesSpreadEvenly()
    {
        placement_rig rig(4);
        const auto chosen = rig.choices(rig.callAt({region_id("south")}), 8000);
        CPPUNIT_ASSERT_EQUAL(std::size_t {8}, chosen.size());
        CPPUNIT_ASSERT(std::ranges::all_of(chosen, [](const auto &entry) {
            return entry.second > 800 && entry.second < 1200;
        }));
    }

    // Guards against homes of the route that those of the organisation replace, or the other way round.
    void bothHomesAreBinding()
    {
        placement_rig rig(1);
        const routing routes(std::make_shared<const configuration>(), rig.place, rig.policy, routing {}, rig.now);
        route rule;
        organisation caller;
        CPPUNIT_ASSERT_EQUAL(kAllCentres, routes.centresFor(rule, &caller));
        CPPUNIT_ASSERT_EQUAL(kAllCentres, routes.centresFor(rule, nullptr));
        rule.homes = {region_id("north"), region_id("south")};
        caller.homes = {region_id("south")};
        CPPUNIT_ASSERT_EQUAL(rig.limits->maskOf(caller.homes), routes.centresFor(rule, &caller));
        rule.homes = {region_id("north")};
        CPPUNIT_ASSERT_EQUAL(centre_mask {0}, routes.centresFor(rule, &caller));
        auto call = rig.callAt({});
        call.centres = routes.centresFor(rule, &caller);
        CPPUNIT_ASSERT(rig.balancer->isExcluded(call));
        CPPUNIT_ASSERT(!rig.balancer->choose(call, {}, rig.now, rig.random));
    }

    // Guards against a home that the settings do not know being taken for no home at all.
    void unknownRegionsAreNoHomes()
    {
        placement_rig rig(1);
        CPPUNIT_ASSERT(rig.balancer->isExcluded(rig.callAt({region_id("east")})));
        rig.definition.endpoints = {{{"10.0.0.1", 1}, data_centre_id("x"), false}};
        rig.rebuild();
        CPPUNIT_ASSERT(rig.balancer->isExcluded(rig.callAt({region_id("north"), region_id("south")})));
        CPPUNIT_ASSERT(!rig.balancer->isExcluded(rig.callAt({})));
    }

    // Guards against a refusal because the subset of a large pool that the instance calls has no endpoint in the home.
    void subsetWithoutAHomeIsLeft()
    {
        placement_rig rig(0, 100'000);
        for (std::uint16_t i = 0; i < 2000; ++i) {
            rig.definition.endpoints.push_back({{"10.0.0.1", static_cast<std::uint16_t>(1000 + i)}, data_centre_id(i == 0 ? "c" : "a"), false});
        }
        // One endpoint in 2000 is in the subset of 64 of only a few instances.
        rig.rebuild();
        const auto call = rig.callAt({region_id("south")});
        CPPUNIT_ASSERT(rig.balancer->choose(call, {}, rig.now, rig.random) == 0U);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, rig.balancer->probeCandidates(call, distance::Far, 8, {}, rig.now, rig.random).size());
    }

    // Guards against retries, hedges and waiting calls of a call that started before the evacuation.
    void evacuationBindsCallsThatRun()
    {
        placement_rig rig(1);
        const auto running = rig.balancer;
        rig.limits->setEvacuated({data_centre_id("a"), data_centre_id("c")});
        rig.rebuild();
        const auto call = rig.callAt({});
        for (int i = 0; i < 100; ++i) {
            const auto index = running->choose(call, {}, rig.now, rig.random);
            CPPUNIT_ASSERT(index && (rig.centreOf(*index) == "b" || rig.centreOf(*index) == "d"));
        }
        CPPUNIT_ASSERT(!running->mayTakeRequests(0, rig.now) && running->mayTakeRequests(1, rig.now));
        CPPUNIT_ASSERT(!running->mayUse(0, call));
        CPPUNIT_ASSERT(running->probeCandidates(call, distance::DataCentre, 8, {}, rig.now, rig.random).empty());
        rig.limits->setEvacuated({});
        CPPUNIT_ASSERT(running->mayTakeRequests(0, rig.now));
    }

    // Guards against an evacuated data centre that is used as the last resort, as ejected endpoints are.
    void evacuationBindsWhenNothingElseIsLeft()
    {
        placement_rig rig(1);
        const auto call = rig.callAt({region_id("north")});
        rig.limits->setEvacuated({data_centre_id("a"), data_centre_id("b")});
        CPPUNIT_ASSERT(rig.balancer->isExcluded(call));
        CPPUNIT_ASSERT(!rig.balancer->choose(call, {}, rig.now, rig.random));
        CPPUNIT_ASSERT(!rig.balancer->isExcluded(rig.callAt({})));
    }

    // Guards against homes and evacuations that leak to other data centres when there are more than bits.
    void manyDataCentresShareTheLastBit()
    {
        std::map<region_id, std::vector<data_centre_id>> regions;
        for (int i = 0; i < 100; ++i) {
            regions[region_id(i < 50 ? "first" : "second")].emplace_back("z" + std::to_string(i));
        }
        placement_limits limits(regions);
        const auto first = limits.maskOf(std::vector {region_id("first")});
        CPPUNIT_ASSERT((first & limits.maskOf(data_centre_id("z0"))) != 0);
        CPPUNIT_ASSERT_EQUAL(centre_mask {0}, first & limits.maskOf(data_centre_id("z99")));
        CPPUNIT_ASSERT_EQUAL(centre_mask {0}, limits.maskOf(std::vector {region_id("second")}) & limits.maskOf(data_centre_id("z99")));
        limits.setEvacuated({data_centre_id("z3")});
        CPPUNIT_ASSERT_EQUAL(limits.maskOf(data_centre_id("z3")), limits.evacuated());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_test);

} // namespace

} // namespace sequoiawharf
