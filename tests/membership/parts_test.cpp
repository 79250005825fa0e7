#include "sequoiawharf/config_follower.h"
#include "sequoiawharf/control_budget.h"
#include "sequoiawharf/leaving_endpoints.h"
#include "sequoiawharf/member_directory.h"
#include "sequoiawharf/rendezvous.h"
#include "sequoiawharf/stop_plan.h"
#include "sequoiawharf/transfer_schedule.h"
#include "tests/property.h"

#include <algorithm>
#include <map>
#include <ranges>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;

const mono_time kNow = mono_time {} + 1h;

member_row entry(const std::string &name, const std::string &centre, const std::string &region, std::uint8_t load)
{
    member_row row;
    row.id = instance_id(name);
    row.gateway = {"10.0.0.1", static_cast<std::uint16_t>(std::hash<std::string> {}(name))};
    row.dataCentre = data_centre_id(centre);
    row.region = region_id(region);
    row.load = load;
    row.ready = true;
    return row;
}

class parts_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(parts_test);
    CPPUNIT_TEST(stopCutsNoCallsBeforeTheDeadline);
    CPPUNIT_TEST(secondRequestShortensTheStop);
    CPPUNIT_TEST(repeatedRequestLeavesAShortStopItsTime);
    CPPUNIT_TEST(deadlineCountsFromTheEarliestTimeOfTheRequest);
    CPPUNIT_TEST(deadlineBoundsTheStop);
    CPPUNIT_TEST(lastArrivalCountsFromTheEarliestTimeOfTheRequest);
    CPPUNIT_TEST(nearEntriesComeFirst);
    CPPUNIT_TEST(loadedEntriesAreChosenLessOften);
    CPPUNIT_TEST(entriesAreInHomesOrNearTheCaller);
    CPPUNIT_TEST(budgetBoundsAnyWindow);
    CPPUNIT_TEST(additionalBytesAreAdmittedOnce);
    CPPUNIT_TEST(followerAsksNearestFirst);
    CPPUNIT_TEST(followerTriesAnotherAfterFailure);
    CPPUNIT_TEST(followerKeepsItsOnlySourceAfterAFailure);
    CPPUNIT_TEST(followersOfOneVersionAskDifferentInstances);
    CPPUNIT_TEST(manyRequestsForAChangeLeaveRoomOnTheLink);
    CPPUNIT_TEST(noticesAreNewOnceAndExpire);
    CPPUNIT_TEST(eachRankBelongsToOneName);
    CPPUNIT_TEST_SUITE_END();

public:
    void stopCutsNoCallsBeforeTheDeadline()
    {
        testing::checkProperty("calls that come by answers of the directory and end before the deadline are never cut", [] {
            const std::chrono::milliseconds lifetime(*rc::gen::inRange(100, 10'000));
            stop_plan plan(lifetime, 60s);
            plan.request(kNow, kNow);
            std::vector<mono_time> ends;
            const auto calls = *rc::gen::inRange(0, 30);
            for (int i = 0; i < calls; ++i) {
                const auto start = kNow + lifetime * *rc::gen::inRange(0, 101) / 100;
                ends.push_back(start + std::chrono::milliseconds(*rc::gen::inRange(1, 40'000)));
            }
            auto now = kNow;
            while (plan.phase() != stop_phase::Finished) {
                now += 10ms;
                const auto open = static_cast<std::size_t>(std::ranges::count_if(ends, [&](mono_time end) {
                    return end > now;
                }));
                const auto phase = plan.update(open, now);
                RC_ASSERT(phase != stop_phase::Draining || now >= kNow + lifetime);
            }
            RC_ASSERT(plan.cutCalls() == 0U);
        });
    }

    void secondRequestShortensTheStop()
    {
        stop_plan plan(10s, 60s);
        CPPUNIT_ASSERT(plan.update(0, kNow) == stop_phase::Serving);
        plan.request(kNow, kNow);
        CPPUNIT_ASSERT(plan.update(0, kNow + 1s) == stop_phase::Announced);
        plan.request(kNow + 1s, kNow + 1s);
        CPPUNIT_ASSERT(plan.update(3, kNow + 1s) == stop_phase::Draining);
        CPPUNIT_ASSERT(plan.update(3, kNow + 5s) == stop_phase::Draining);
        CPPUNIT_ASSERT(plan.update(3, kNow + 6s) == stop_phase::Finished);
        CPPUNIT_ASSERT_EQUAL(std::size_t {3}, plan.cutCalls());
    }

    // Guards against calls that are ended too early when a signal arrives twice; a platform that allows 6 s leaves targets at work until 5 s.
    void repeatedRequestLeavesAShortStopItsTime()
    {
        stop_plan plan(3s, 5950ms);
        plan.request(kNow, kNow);
        plan.request(kNow + 100ms, kNow + 100ms);
        CPPUNIT_ASSERT(plan.answerBy() >= kNow + 5s);
        CPPUNIT_ASSERT_MESSAGE("skips the wait for callers", plan.update(1, kNow + 100ms) == stop_phase::Draining);
    }

    // Guards against a process that is killed with its calls: the platform counts its deadline from the signal, which a held up thread sees late.
    void deadlineCountsFromTheEarliestTimeOfTheRequest()
    {
        stop_plan plan(3s, 6s);
        plan.request(kNow - 2s, kNow);
        CPPUNIT_ASSERT(plan.answerBy() < kNow + 4s);
        CPPUNIT_ASSERT(plan.update(1, kNow + 3400ms) == stop_phase::Announced);
        CPPUNIT_ASSERT(plan.update(1, kNow + 3500ms) == stop_phase::Draining);
        stop_plan late(3s, 6s);
        late.request(kNow - 4s, kNow);
        CPPUNIT_ASSERT_MESSAGE("drains while answers can be sent", late.update(1, late.answerBy()) == stop_phase::Draining);
        CPPUNIT_ASSERT(plan.update(1, kNow + 4s) == stop_phase::Finished);
    }

    void deadlineBoundsTheStop()
    {
        stop_plan plan(100s, 20s);
        plan.request(kNow, kNow);
        CPPUNIT_ASSERT_MESSAGE("calls are answered shortly before the deadline", plan.answerBy() < kNow + 20s && plan.answerBy() > kNow + 19s);
        CPPUNIT_ASSERT(plan.update(2, kNow + 19s) == stop_phase::Announced);
        CPPUNIT_ASSERT(plan.update(2, kNow + 20s) == stop_phase::Finished);
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, plan.cutCalls());
    }

    void lastArrivalCountsFromTheEarliestTimeOfTheRequest()
    {
        stop_plan plan(3s, 6s);
        plan.request(kNow, kNow + 100ms);
        CPPUNIT_ASSERT(plan.bounds().countsFrom == kNow);
        CPPUNIT_ASSERT(plan.bounds().lastArrival == kNow + 3s);
        CPPUNIT_ASSERT(plan.bounds().answerBy == plan.answerBy());
        plan.request(kNow + 1s, kNow + 1s);
        CPPUNIT_ASSERT(plan.bounds().lastArrival == kNow + 1s);
    }

    void nearEntriesComeFirst()
    {
        directory_view view {data_centre_id("a"), region_id("north"), {}, 10s};
        CPPUNIT_ASSERT(chooseEntries(view, {}, {}, m_random).entries.empty());
        view.entries = {entry("f", "c", "south", 0)};
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, chooseEntries(view, {}, {}, m_random).entries.size());
        for (int i = 0; i < 6; ++i) {
            view.entries.push_back(entry("a" + std::to_string(i), "a", "north", 0));
            view.entries.push_back(entry("b" + std::to_string(i), "b", "north", 0));
        }
        const auto own = chooseEntries(view, {}, {}, m_random);
        CPPUNIT_ASSERT_EQUAL(std::size_t {4}, own.entries.size());
        CPPUNIT_ASSERT(own.lifetime == 10s && own.entries[0].dataCentre.str() == "a" && own.entries[3].dataCentre.str() == "b");
        const auto other = chooseEntries(view, data_centre_id("b"), {}, m_random);
        CPPUNIT_ASSERT(other.entries[0].dataCentre.str() == "b" && other.entries[3].dataCentre.str() == "a");
        CPPUNIT_ASSERT_EQUAL(std::string("c"), chooseEntries(view, data_centre_id("c"), {}, m_random).entries[0].dataCentre.str());
    }

    // Guards against a caller that sends a body to an instance of a third region.
    void entriesAreInHomesOrNearTheCaller()
    {
        directory_view view {data_centre_id("a"), region_id("north"), {entry("s", "c", "south", 0), entry("w", "e", "west", 0)}, 10s};
        for (int i = 0; i < 20; ++i) {
            const auto answer = chooseEntries(view, {}, {region_id("west")}, m_random);
            CPPUNIT_ASSERT_EQUAL(std::size_t {1}, answer.entries.size());
            CPPUNIT_ASSERT_EQUAL(std::string("w"), answer.entries[0].instance.str());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, chooseEntries(view, {}, {}, m_random).entries.size());
        view.entries.push_back(entry("n", "a", "north", 0));
        CPPUNIT_ASSERT_EQUAL(std::string("n"), chooseEntries(view, {}, {region_id("west")}, m_random).entries[0].instance.str());
    }

    void loadedEntriesAreChosenLessOften()
    {
        directory_view view {data_centre_id("a"), region_id("north"), {entry("idle", "a", "north", 10), entry("busy", "a", "north", 90)}, 10s};
        std::map<std::string, int> first;
        for (int i = 0; i < 1000; ++i) {
            ++first[chooseEntries(view, {}, {}, m_random).entries[0].instance.str()];
        }
        CPPUNIT_ASSERT(first["idle"] > 5 * first["busy"] && first["busy"] > 0);
    }

    void additionalBytesAreAdmittedOnce()
    {
        control_budget budget(20'000, 4'000, kNow);
        budget.addOnce(30'000);
        CPPUNIT_ASSERT(budget.admit(control_kind::DataCentre, 40'000, kNow + 1s) && !budget.admit(control_kind::DataCentre, 20'000, kNow + 1s));
        CPPUNIT_ASSERT(budget.admit(control_kind::DataCentre, 20'000, kNow + 60s) && !budget.admit(control_kind::DataCentre, 1'000, kNow + 60s));
    }

    void budgetBoundsAnyWindow()
    {
        testing::checkProperty("admitted bytes stay within the rate in any window", [] {
            control_budget budget(20'000, 4'000, kNow);
            std::vector<std::pair<mono_time, std::uint64_t>> sent;
            std::vector<std::pair<mono_time, std::uint64_t>> link;
            auto now = kNow;
            for (int i = 0; i < 150; ++i) {
                now += std::chrono::milliseconds(*rc::gen::inRange(0, 100));
                const auto bytes = static_cast<std::uint64_t>(*rc::gen::inRange(1, 8000));
                const auto kind = *rc::gen::arbitrary<bool>() ? control_kind::Link : control_kind::DataCentre;
                if (budget.admit(kind, bytes, now)) {
                    sent.emplace_back(now, bytes);
                    link.emplace_back(now, kind == control_kind::Link ? bytes : 0);
                }
            }
            for (std::size_t first = 0; first < sent.size(); ++first) {
                double sum = 0;
                double linkSum = 0;
                for (std::size_t last = first; last < sent.size(); ++last) {
                    sum += static_cast<double>(sent[last].second);
                    linkSum += static_cast<double>(link[last].second);
                    const auto seconds = std::chrono::duration<double>(sent[last].first - sent[first].first).count() + 1.001;
                    RC_ASSERT(sum <= 20'000 * seconds && linkSum <= 4'000 * seconds);
                }
            }
        });
    }

    void followerAsksNearestFirst()
    {
        config_follower follower;
        const host_port near {"10.0.0.1", 1};
        const host_port far {"10.0.0.2", 1};
        follower.heard(far, nearness::Far, 9, kNow, m_random);
        CPPUNIT_ASSERT(!follower.next(5, kNow + 400ms) && follower.isBehind(5) && !follower.isBehind(9));
        follower.heard(near, nearness::DataCentre, 7, kNow + 1s, m_random);
        const auto query = follower.next(5, kNow + 2s);
        CPPUNIT_ASSERT(query && query->to == near && query->since == 5);
        CPPUNIT_ASSERT(!follower.next(5, kNow + 2s));
        follower.finishQuery(*query, false, kNow + 2s);
        const auto second = follower.next(7, kNow + 2s);
        CPPUNIT_ASSERT(second && second->to == far);
        follower.finishQuery(*second, false, kNow + 2s);
        CPPUNIT_ASSERT(!follower.next(9, kNow + 9s));
    }

    void followerTriesAnotherAfterFailure()
    {
        config_follower follower;
        for (std::uint16_t port = 1; port <= 40; ++port) {
            follower.heard({"10.0.0.1", port}, nearness::DataCentre, 9, kNow, m_random);
        }
        const auto first = follower.next(5, kNow + 1s);
        follower.finishQuery(*first, true, kNow + 1s);
        CPPUNIT_ASSERT(!follower.next(5, kNow + 1s));
        const auto second = follower.next(5, kNow + 2s);
        CPPUNIT_ASSERT(second && second->to != first->to);
        // Without an answer, the next instance is asked after the timeout.
        const auto third = follower.next(5, kNow + 4s);
        CPPUNIT_ASSERT(third.has_value());
    }

    // Guards against an instance that reads all tables from the service because the only instance that it had heard of was busy.
    void followerKeepsItsOnlySourceAfterAFailure()
    {
        config_follower follower;
        const host_port only {"10.0.0.1", 1};
        follower.heard(only, nearness::DataCentre, 9, kNow, m_random);
        const auto first = follower.next(5, kNow + 1s);
        follower.finishQuery(*first, true, kNow + 1s);
        CPPUNIT_ASSERT(!follower.next(5, kNow + 1s));
        const auto second = follower.next(5, kNow + 2s);
        CPPUNIT_ASSERT(second && second->to == only);
        // An instance must not wait forever for one that is gone.
        for (unsigned i = 0; i < 5; ++i) {
            follower.finishQuery(*second, true, kNow + 2s);
        }
        CPPUNIT_ASSERT(!follower.isBehind(5));
    }

    // Guards against a whole data centre that asks the same instance, while others have the change as well.
    void followersOfOneVersionAskDifferentInstances()
    {
        std::map<host_port, unsigned> asked;
        for (unsigned i = 0; i < 100; ++i) {
            config_follower follower;
            for (const std::uint16_t port : {1, 2, 3, 4}) {
                follower.heard({"10.0.0.1", port}, nearness::DataCentre, 9, kNow, m_random);
            }
            ++asked[follower.next(5, kNow + 1s)->to];
        }
        CPPUNIT_ASSERT(asked.size() == 4 && std::ranges::max(asked | std::views::values) < 50);
    }

    // Guards against late answers to every other question while thirty instances request a change of 25 KB: on a link of 10 Mbit/s the answers would
    // stand before them for half a second.
    void manyRequestsForAChangeLeaveRoomOnTheLink()
    {
        constexpr std::uint64_t kBytes = 25'000;
        constexpr double kLinkBytesPerSecond = 10e6 / 8;
        transfer_schedule transfers(kTransferBytesPerSecond, kMaxTransferWait);
        std::vector<mono_time> starts;
        unsigned refused = 0;
        for (unsigned i = 0; i < 30; ++i) {
            const auto now = kNow + std::chrono::milliseconds(m_random.below(300));
            if (const auto wait = transfers.reserve(kBytes, now)) {
                CPPUNIT_ASSERT(*wait <= 400ms);
                starts.push_back(now + *wait);
            } else {
                ++refused;
            }
        }
        CPPUNIT_ASSERT(refused > 0 && starts.size() > 12);
        for (std::size_t i = 1; i < starts.size(); ++i) {
            const std::chrono::duration<double> gap = starts[i] - starts[i - 1];
            CPPUNIT_ASSERT_MESSAGE("a third of the link must stay free", gap.count() >= kBytes / kLinkBytesPerSecond * 1.5);
        }
        CPPUNIT_ASSERT_MESSAGE("an instance without requests for a while must answer at once", transfers.reserve(kBytes, kNow + 10s) == 0ns);
    }

    void noticesAreNewOnceAndExpire()
    {
        leaving_endpoints leavingEndpoints;
        const leaving_notice notice {pool_name("p"), {"10.0.0.1", 1}, 2s};
        CPPUNIT_ASSERT(leavingEndpoints.add(notice, kNow) && !leavingEndpoints.add(notice, kNow));
        CPPUNIT_ASSERT(leavingEndpoints.notices(kNow + 1s).front().age == 3s);
        leavingEndpoints.expire(kNow + 59s);
        CPPUNIT_ASSERT(leavingEndpoints.notices(kNow + 59s).empty());
        CPPUNIT_ASSERT(!leavingEndpoints.add({pool_name("p"), {"10.0.0.1", 1}, 61s}, kNow));
    }

    void eachRankBelongsToOneName()
    {
        const std::vector<std::string> names {"a", "b", "c", "d", "e"};
        std::map<unsigned, int> ranks;
        std::ranges::for_each(names, [&](const std::string &name) {
            ++ranks[rendezvousRank(name, names, "role")];
        });
        CPPUNIT_ASSERT_EQUAL(names.size(), ranks.size());
        CPPUNIT_ASSERT_EQUAL(0U, rendezvousRank("a", {}, "role"));
    }

private:
    random_source m_random {7};
};

CPPUNIT_TEST_SUITE_REGISTRATION(parts_test);

} // namespace

} // namespace sequoiawharf
