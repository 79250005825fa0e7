#include "sequoiawharf/reading_plan.h"

#include "sequoiawharf/configuration_freshness.h"

#include "tests/property.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <string>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;

std::vector<instance_id> instances(std::size_t count)
{
    std::vector<instance_id> all;
    all.reserve(count);
    std::ranges::transform(std::views::iota(std::size_t {0}, count), std::back_inserter(all), [](std::size_t i) {
        return instance_id("n" + std::to_string(i));
    });
    return all;
}

// Returns the roles that all instances choose when each one knows all others.
std::vector<reading_role> rolesOf(const std::vector<instance_id> &all, bool isStarting)
{
    std::vector<reading_role> roles;
    std::ranges::transform(all, std::back_inserter(roles), [&](const instance_id &self) {
        auto others = all;
        std::erase(others, self);
        return chooseReadingRole(self, std::move(others), isStarting);
    });
    return roles;
}

class reading_plan_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(reading_plan_test);
    CPPUNIT_TEST(startOfAFarRegionNeedsFewReaders);
    CPPUNIT_TEST(fewInstancesOfALargeFleetReadAtOnce);
    CPPUNIT_TEST(oneInstanceReadsForItsDataCentre);
    CPPUNIT_TEST(anInstanceThatKnowsNoOthersReads);
    CPPUNIT_TEST(aReaderThatLosesTheServiceIsNoticedWithinTheBound);
    CPPUNIT_TEST(aSilentPollLeavesTimeToPassAConfigurationOn);
    CPPUNIT_TEST(proofsStayYoungEnoughForKeyedCalls);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a slow start of a region after a power loss. When each of its 72 instances in three data centres read all 569 entries of
    // 600 bytes from another region, these 24 MB took three seconds on a link of 60 Mbit/s. Few instances may read for the others.
    void startOfAFarRegionNeedsFewReaders()
    {
        constexpr std::size_t kDataCentres = 3;
        constexpr double kCompleteListBytes = 569 * 600;
        constexpr double kLinkBytesPerMs = 60e6 / 8 / 1000;
        const auto roles = rolesOf(instances(24), true);
        const auto readers = static_cast<double>(std::ranges::count_if(roles, &reading_role::isReader));
        CPPUNIT_ASSERT_MESSAGE("one reader may be gone for good", readers >= 2);
        CPPUNIT_ASSERT(kDataCentres * readers * kCompleteListBytes / kLinkBytesPerMs < 500);
        std::ranges::for_each(roles, [&](const reading_role &role) {
            CPPUNIT_ASSERT_EQUAL(std::size_t {23}, role.readers.size());
        });
        const auto small = rolesOf(instances(5), true);
        CPPUNIT_ASSERT(std::ranges::all_of(small, &reading_role::isReader));
    }

    // After a power loss of a fleet of 313 instances, those far from the service would know the endpoints only after a read of the list of instances
    // and a read of the endpoints, one after the other.
    void fewInstancesOfALargeFleetReadAtOnce()
    {
        const auto all = instances(313);
        const auto early = std::ranges::count_if(all, readsAtOnce);
        CPPUNIT_ASSERT(early > 8 && early < 32);
        const auto inCentre = instances(40);
        const auto expected = std::ranges::find_if(inCentre, readsAtOnce);
        CPPUNIT_ASSERT(expected != inCentre.end());
        std::ranges::for_each(inCentre, [&](const instance_id &self) {
            auto others = inCentre;
            std::erase(others, self);
            const auto role = chooseReadingRole(self, std::move(others), true);
            CPPUNIT_ASSERT_MESSAGE("the first instance that is asked must be one that reads at once", readsAtOnce(self) || readsAtOnce(role.readers.front()));
        });
    }

    void oneInstanceReadsForItsDataCentre()
    {
        const auto all = instances(24);
        const auto roles = rolesOf(all, false);
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t {1}, std::ranges::count_if(roles, &reading_role::isReader));
        const auto reader = all[static_cast<std::size_t>(std::ranges::find_if(roles, &reading_role::isReader) - roles.begin())];
        std::ranges::for_each(roles, [&](const reading_role &role) {
            CPPUNIT_ASSERT(role.isReader || role.readers.front() == reader);
        });
    }

    void anInstanceThatKnowsNoOthersReads()
    {
        const reading_role alone {.isReader = true, .readers = {}};
        CPPUNIT_ASSERT(chooseReadingRole(instance_id("n"), {}, true) == alone && chooseReadingRole(instance_id("n"), {}, false) == alone);
    }

    void aReaderThatLosesTheServiceIsNoticedWithinTheBound()
    {
        const auto times = reading_times::within(3s);
        CPPUNIT_ASSERT(mayUseReaderForConfiguration(times, 3s, 24));
        CPPUNIT_ASSERT_MESSAGE("in a small data centre each one follows the service", !mayUseReaderForConfiguration(times, 3s, 4));
        testing::checkProperty("a change right after the reader lost the service", [] {
            const auto leavingBound = std::chrono::milliseconds(*rc::gen::inRange(500, 10'000));
            const auto bound = std::chrono::milliseconds(*rc::gen::inRange(500, 10'000));
            const auto intervals = reading_times::within(leavingBound);
            RC_PRE(mayUseReaderForConfiguration(intervals, bound, 24));
            // The oldest answer that is still accepted, the time to the next query, and its timeout.
            RC_ASSERT(intervals.maxAnswerAge + intervals.askInterval + kAskTimeout < bound);
        });
    }

    // Guards against a configuration that comes into force late in a large data centre because the reader's poll has fallen silent right before.
    void aSilentPollLeavesTimeToPassAConfigurationOn()
    {
        constexpr auto kRepeatedRead = 300ms; // of the service in another region, connection setup included
        constexpr auto kTransfer = 200ms; // delay and answer of a request to another instance of the data centre
        for (const auto bound : {2500ms, 3000ms, 4000ms}) {
            const auto poll = poll_times::within(bound);
            const auto known = poll.wait + poll.answerTimeout + kRepeatedRead;
            CPPUNIT_ASSERT(known + reading_times::within(bound).askInterval + kTransfer <= bound);
            CPPUNIT_ASSERT_MESSAGE("a service that is fifty times slower than usual answers in time", poll.answerTimeout > 300ms);
        }
    }

    // Guards against keyed calls that are refused in ordinary operation, because the proof that an instance gets from its data centre's reader is too old
    // between two of its queries.
    void proofsStayYoungEnoughForKeyedCalls()
    {
        constexpr auto kAnswerTime = 300ms; // of the service in another region, connection setup included
        constexpr auto kMaxRetryPause = 150ms; // after one lost poll
        for (const auto bound : {4000ms, 5000ms, 10'000ms}) {
            for (const auto leavingBound : {2500ms, 3000ms}) {
                const auto poll = poll_times::withinRevocation(bound);
                CPPUNIT_ASSERT(poll.wait <= bound / 5);
                const auto passOn = reading_times::within(leavingBound).askInterval + kAskTimeout + configuration_freshness::kMargin;
                CPPUNIT_ASSERT(2 * (poll.wait + kAnswerTime) + passOn <= bound);
                // With the bound of the platform, one lost poll of the reader causes no refusals either.
                const auto replaced = poll.wait + (poll.wait + poll.answerTimeout) + kMaxRetryPause + kAnswerTime;
                CPPUNIT_ASSERT(bound < 5000ms || replaced + passOn <= bound);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(reading_plan_test);

} // namespace

} // namespace sequoiawharf
