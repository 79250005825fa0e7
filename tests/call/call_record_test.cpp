#include "sequoiawharf/call_record.h"

#include "sequoiawharf/call_queue.h"
#include "sequoiawharf/connection_plan.h"
#include "tests/property.h"

#include <algorithm>
#include <vector>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;

constexpr mono_time kNow {std::chrono::hours(1)};

attempt_outcome outcomeOf(attempt_end end, bool mayHaveLeft)
{
    return {.end = end, .requestMayHaveLeft = mayHaveLeft};
}

waiting_call waiting(std::uint64_t token, route_class priority, std::chrono::milliseconds remaining)
{
    return {.token = token, .profile = {.priority = priority, .deadline = kNow + remaining}};
}

/// Guards against a call that is sent twice, or reported as not run, although an attempt may have run it.
class call_record_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(call_record_test);
    CPPUNIT_TEST(attemptThatMayHaveRunMakesTheEndingUnknown);
    CPPUNIT_TEST(outstandingAttemptMayHaveRun);
    CPPUNIT_TEST(relayCountsAsAttempt);
    CPPUNIT_TEST(failureReasonIsOfTheAttemptThatMayHaveRun);
    CPPUNIT_TEST_SUITE_END();

public:
    void attemptThatMayHaveRunMakesTheEndingUnknown()
    {
        call_record record;
        CPPUNIT_ASSERT(record.failureEnding() == call_ending::NotRun);
        record.attemptStarted(1);
        record.attemptEnded(outcomeOf(attempt_end::Refused, true));
        CPPUNIT_ASSERT(record.failureEnding() == call_ending::NotRun && record.allRefused());
        CPPUNIT_ASSERT(record.maySend({.replayable = true}));
        CPPUNIT_ASSERT(!record.maySend({.idempotent = true}));
        record.attemptStarted(2);
        record.attemptEnded(outcomeOf(attempt_end::Lost, true));
        CPPUNIT_ASSERT(record.failureEnding() == call_ending::Unknown);
        CPPUNIT_ASSERT(!record.maySend({.replayable = true}));
        record.attemptStarted(3);
        record.attemptEnded(outcomeOf(attempt_end::ConnectFailed, false));
        CPPUNIT_ASSERT_MESSAGE("a later attempt that did not run proves nothing about an earlier one that may have run",
                               record.failureEnding() == call_ending::Unknown);
        CPPUNIT_ASSERT(!record.allRefused());
    }

    void outstandingAttemptMayHaveRun()
    {
        call_record record;
        record.attemptStarted(1);
        CPPUNIT_ASSERT(record.failureEnding() == call_ending::Unknown);
        CPPUNIT_ASSERT(!record.maySend({.replayable = true}));
        CPPUNIT_ASSERT(record.maySend({.idempotent = true, .replayable = true}));
    }

    void relayCountsAsAttempt()
    {
        call_record record;
        record.relayStarted();
        CPPUNIT_ASSERT(record.tried().empty());
        record.attemptEnded(outcomeOf(attempt_end::Lost, true));
        CPPUNIT_ASSERT(record.failureEnding() == call_ending::Unknown);
        CPPUNIT_ASSERT(!record.maySend({.replayable = true}));
    }

    void failureReasonIsOfTheAttemptThatMayHaveRun()
    {
        call_record record;
        CPPUNIT_ASSERT(record.failureReason() == call_reason::NoTarget);
        record.attemptStarted(1);
        record.attemptEnded(outcomeOf(attempt_end::TimedOut, true));
        record.attemptStarted(2);
        record.attemptEnded(outcomeOf(attempt_end::Refused, true));
        CPPUNIT_ASSERT(record.failureReason() == call_reason::DeadlinePassed);
    }
};

/// Guards against calls that are lost, duplicated or popped out of order, and against a queue that grows beyond its capacity.
class call_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(call_queue_test);
    CPPUNIT_TEST(ordersByClassThenDeadline);
    CPPUNIT_TEST(popsInOrderAndStaysBounded);
    CPPUNIT_TEST(popSkipsExpiredCalls);
    CPPUNIT_TEST(removesByToken);
    CPPUNIT_TEST_SUITE_END();

public:
    void ordersByClassThenDeadline()
    {
        call_queue queue(3);
        CPPUNIT_ASSERT(!queue.push(waiting(1, route_class::Bulk, 10ms)));
        CPPUNIT_ASSERT(!queue.push(waiting(2, route_class::Normal, 30ms)));
        CPPUNIT_ASSERT(!queue.push(waiting(3, route_class::Normal, 20ms)));
        CPPUNIT_ASSERT_MESSAGE("the last call of the least urgent class is dropped", queue.push(waiting(4, route_class::Urgent, 90ms))->token == 1);
        CPPUNIT_ASSERT_MESSAGE("also if it is the new call", queue.push(waiting(5, route_class::Bulk, 1ms))->token == 5);
        CPPUNIT_ASSERT(queue.pop(kNow, 0ns)->token == 4);
        CPPUNIT_ASSERT(queue.pop(kNow, 0ns)->token == 3);
        CPPUNIT_ASSERT(queue.pop(kNow, 0ns)->token == 2);
        CPPUNIT_ASSERT(!queue.pop(kNow, 0ns));
    }

    void popsInOrderAndStaysBounded()
    {
        testing::checkProperty("every call is served in order, refused or expired, once", [] {
            const auto capacity = *rc::gen::inRange<std::size_t>(1, 20);
            const auto calls = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 300));
            call_queue queue(capacity);
            std::size_t dropped = 0;
            std::ranges::for_each(calls, [&](int value) {
                dropped += queue.push(waiting(dropped, static_cast<route_class>(value % 3), std::chrono::milliseconds(value))) ? 1 : 0;
                RC_ASSERT(queue.size() <= capacity);
            });
            const auto expired = queue.takeExpired(kNow, 100ms).size();
            std::vector<std::pair<route_class, mono_time>> popped;
            while (const auto call = queue.pop(kNow, 100ms)) {
                popped.emplace_back(call->profile.priority, call->profile.deadline);
                RC_ASSERT(call->profile.deadline > kNow + 100ms);
            }
            RC_ASSERT(std::ranges::is_sorted(popped));
            RC_ASSERT(dropped + expired + popped.size() == calls.size());
            RC_ASSERT(queue.empty());
        });
    }

    void popSkipsExpiredCalls()
    {
        call_queue queue(4);
        queue.push(waiting(1, route_class::Urgent, 5ms));
        queue.push(waiting(2, route_class::Normal, 50ms));
        CPPUNIT_ASSERT(queue.pop(kNow, 10ms)->token == 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, queue.takeExpired(kNow, 10ms).size());
        CPPUNIT_ASSERT(queue.empty());
    }

    void removesByToken()
    {
        call_queue queue(4);
        queue.push(waiting(1, route_class::Normal, 5ms));
        CPPUNIT_ASSERT(queue.remove(1));
        CPPUNIT_ASSERT(!queue.remove(1));
    }
};

/// Guards against more connections to an endpoint than it accepts, and against sending a call that must not run twice on a connection that may be dead.
class connection_plan_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(connection_plan_test);
    CPPUNIT_TEST(sharesNeverExceedTheEndpointsConnections);
    CPPUNIT_TEST(nonIdempotentCallsUseOnlyRecentlyUsedConnections);
    CPPUNIT_TEST_SUITE_END();

public:
    void sharesNeverExceedTheEndpointsConnections()
    {
        testing::checkProperty("all instances' shares fit the endpoint, with room for instances being replaced", [] {
            const auto maxConnections = *rc::gen::inRange(10U, 500U);
            const auto instances = *rc::gen::inRange(1U, maxConnections / 2);
            const auto plan = planConnections(maxConnections, instances, *rc::gen::inRange(0U, 1000U));
            RC_ASSERT(plan.warm >= 1U && plan.warm <= plan.maxOpen);
            RC_ASSERT(plan.maxOpen * instances <= maxConnections);
        });
        CPPUNIT_ASSERT_EQUAL(13U, planConnections(250, 15, 2).maxOpen);
        CPPUNIT_ASSERT_EQUAL(3U, planConnections(250, 15, 2).warm);
    }

    void nonIdempotentCallsUseOnlyRecentlyUsedConnections()
    {
        CPPUNIT_ASSERT(mayReuseConnection({.idempotent = true, .replayable = true}, 1h));
        CPPUNIT_ASSERT(mayReuseConnection({.replayable = true}, 100ms));
        CPPUNIT_ASSERT(!mayReuseConnection({.replayable = true}, 1s));
        CPPUNIT_ASSERT_MESSAGE("an upload cannot be sent again", !mayReuseConnection({.idempotent = true}, 1s));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(call_record_test);
CPPUNIT_TEST_SUITE_REGISTRATION(call_queue_test);
CPPUNIT_TEST_SUITE_REGISTRATION(connection_plan_test);

} // namespace

} // namespace sequoiawharf
