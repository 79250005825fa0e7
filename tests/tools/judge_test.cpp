#include "tests/property.h"
#include "tools/link/link_lane.h"
#include "tools/load/load_result.h"
#include "tools/target/run_ledger.h"

#include <numeric>

namespace
{

using namespace sequoiawharf;
using namespace sequoiawharf::stand_in;
using namespace std::chrono_literals;

call_result resultOf(const std::string &id, seen_ending ending)
{
    call_result result;
    result.requestId = id;
    result.ending = ending;
    return result;
}

// Guards against checks of the load generator that miss a violation: most tests cause one violation and expect it to be counted.
class judge_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(judge_test);
    CPPUNIT_TEST(correctRunsAreNoViolation);
    CPPUNIT_TEST(doubledRunIsCounted);
    CPPUNIT_TEST(doubledRunAcrossTargetsIsCounted);
    CPPUNIT_TEST(repeatedReadIsNoDoubledRun);
    CPPUNIT_TEST(runOfCallReportedNotRunIsCounted);
    CPPUNIT_TEST(answerOfOtherRequestIsCounted);
    CPPUNIT_TEST(runsOfOtherCallersAreIgnored);
    CPPUNIT_TEST(linkNeverExceedsItsRate);
    CPPUNIT_TEST_SUITE_END();

public:
    void correctRunsAreNoViolation()
    {
        m_result.add(m_kind, resultOf("a", seen_ending::Answered), 5ms);
        m_result.add(m_kind, resultOf("b", seen_ending::NotRun), 5ms);
        m_ledger.add("a", false);
        m_result.checkRuns(m_ledger.list());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), m_result.broken());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_result.finished());
    }

    void doubledRunIsCounted()
    {
        m_result.add(m_kind, resultOf("a", seen_ending::Answered), 5ms);
        m_ledger.add("a", false);
        m_ledger.add("a", false);
        m_result.checkRuns(m_ledger.list());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_ledger.doubled());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_result.broken());
    }

    void doubledRunAcrossTargetsIsCounted()
    {
        run_ledger other;
        m_result.add(m_kind, resultOf("a", seen_ending::Unknown), 5ms);
        m_ledger.add("a", false);
        other.add("a", false);
        m_result.checkRuns(m_ledger.list());
        m_result.checkRuns(other.list());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_result.broken());
    }

    void repeatedReadIsNoDoubledRun()
    {
        m_result.add(m_kind, resultOf("a", seen_ending::Answered), 5ms);
        m_ledger.add("a", true);
        m_ledger.add("a", true);
        m_result.checkRuns(m_ledger.list());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), m_result.broken());
    }

    void runOfCallReportedNotRunIsCounted()
    {
        m_result.add(m_kind, resultOf("a", seen_ending::NotRun), 5ms);
        m_ledger.add("a", true);
        m_result.checkRuns(m_ledger.list());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_result.broken());
    }

    void answerOfOtherRequestIsCounted()
    {
        auto crossed = resultOf("a", seen_ending::Answered);
        crossed.mismatched = true;
        m_result.add(m_kind, crossed, 5ms);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_result.broken());
    }

    void runsOfOtherCallersAreIgnored()
    {
        m_ledger.add("other", false);
        m_ledger.add("other", false);
        m_result.checkRuns(m_ledger.list());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), m_result.broken());
    }

    void linkNeverExceedsItsRate()
    {
        testing::checkProperty("no more leaves the lane than its rate allows", [] {
            const auto sizes = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(1, 4096)));
            link_lane lane("forward");
            lane.bitsPerSecond = 8e6;
            const mono_time start(1h);
            mono_time last;
            for (const auto size : sizes) {
                last = lane.depart(size, start);
            }
            const auto total = std::accumulate(sizes.begin(), sizes.end(), std::size_t(0));
            RC_ASSERT(last + 5ms + 1us >= start + std::chrono::microseconds(total));
        });
    }

private:
    load_options m_options;
    call_kind m_kind {"booking", "POST", "/bookings", 0, 1.0};
    load_result m_result {m_options};
    run_ledger m_ledger;
};

CPPUNIT_TEST_SUITE_REGISTRATION(judge_test);

} // namespace
