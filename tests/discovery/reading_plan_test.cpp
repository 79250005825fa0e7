#include "sequoiawharf/reading_plan.h"

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

// The parts that all instances choose, each one knowing all others.
std::vector<reading_part> partsOf(const std::vector<instance_id> &all, bool isStarting)
{
    std::vector<reading_part> parts;
    std::ranges::transform(all, std::back_inserter(parts), [&](const instance_id &self) {
        auto others = all;
        std::erase(others, self);
        return chooseReadingRole(self, std::move(others), isStarting);
    });
    return parts;
}

class reading_plan_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(reading_plan_test);
    CPPUNIT_TEST(allInstancesOfAFarRegionStartAtOnce);
    CPPUNIT_TEST(oneInstanceReadsForItsDataCentre);
    CPPUNIT_TEST(whoKnowsNobodyReads);
    CPPUNIT_TEST(aReaderThatLosesTheServiceIsNoticedWithinTheBound);
    CPPUNIT_TEST_SUITE_END();

public:
    // The pattern: a region of 72 instances in three data centres loses power and starts again. 569 entries of 600 bytes for each one were
    // 24 MB through a link of 60 Mbit/s: three seconds.
    void allInstancesOfAFarRegionStartAtOnce()
    {
        constexpr std::size_t kDataCentres = 3;
        constexpr double kWholeBytes = 569 * 600;
        constexpr double kLinkBytesPerMs = 60e6 / 8 / 1000;
        const auto parts = partsOf(instances(24), true);
        const auto readers = static_cast<double>(std::ranges::count_if(parts, &reading_part::isReader));
        CPPUNIT_ASSERT_MESSAGE("one of them may be gone for good", readers >= 2);
        CPPUNIT_ASSERT(kDataCentres * readers * kWholeBytes / kLinkBytesPerMs < 500);
        std::ranges::for_each(parts, [&](const reading_part &part) {
            CPPUNIT_ASSERT_EQUAL(std::size_t {23}, part.readers.size());
        });
        const auto small = partsOf(instances(5), true);
        CPPUNIT_ASSERT(std::ranges::all_of(small, &reading_part::isReader));
    }

    void oneInstanceReadsForItsDataCentre()
    {
        const auto all = instances(24);
        const auto parts = partsOf(all, false);
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t {1}, std::ranges::count_if(parts, &reading_part::isReader));
        const auto reader = all[static_cast<std::size_t>(std::ranges::find_if(parts, &reading_part::isReader) - parts.begin())];
        std::ranges::for_each(parts, [&](const reading_part &part) {
            CPPUNIT_ASSERT(part.isReader || part.readers.front() == reader);
        });
    }

    void whoKnowsNobodyReads()
    {
        const reading_part alone {.isReader = true, .readers = {}};
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
            const auto paces = reading_times::within(leavingBound);
            RC_PRE(mayUseReaderForConfiguration(paces, bound, 24));
            // The last question whose answer is still taken, the next one, and a read of the service.
            RC_ASSERT(paces.maxAnswerAge + paces.askInterval + kAskTimeout < bound);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(reading_plan_test);

} // namespace

} // namespace sequoiawharf
