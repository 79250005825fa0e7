#include "sequoiawharf/call_queue.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;

constexpr mono_time kQueueNow {std::chrono::hours(1)};
constexpr centre_mask kNorth = 1;
constexpr centre_mask kSouth = 2;

waiting_call waitingCall(std::uint64_t token, std::chrono::milliseconds remaining, centre_mask centres)
{
    return {.token = token, .profile = {.deadline = kQueueNow + remaining, .centres = centres}};
}

class homes_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(homes_queue_test);
    CPPUNIT_TEST(freedSlotPassesByCallsThatMayNotUseIt);
    CPPUNIT_TEST(callsThatCannotUseASlotHoldNobodyUp);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a freed slot that is given to a call with homes elsewhere, or lost because the first call may not use it.
    void freedSlotPassesByCallsThatMayNotUseIt()
    {
        call_queue queue(8);
        queue.push(waitingCall(1, 100ms, kSouth));
        queue.push(waitingCall(2, 200ms, kNorth));
        queue.push(waitingCall(3, 300ms, kAllCentres));
        const auto isNorth = [](const waiting_call &call) {
            return (call.profile.centres & kNorth) != 0;
        };
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {2}, queue.pop(kQueueNow, 0ms, isNorth)->token);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {3}, queue.pop(kQueueNow, 0ms, isNorth)->token);
        CPPUNIT_ASSERT(!queue.pop(kQueueNow, 0ms, isNorth));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {1}, queue.pop(kQueueNow, 0ms)->token);
    }

    // Guards against a full home that keeps calls from looking for free endpoints elsewhere.
    void callsThatCannotUseASlotHoldNobodyUp()
    {
        call_queue queue(8);
        queue.push(waitingCall(1, 100ms, kSouth));
        CPPUNIT_ASSERT(queue.isFirst(waitingCall(2, 200ms, kNorth).profile));
        CPPUNIT_ASSERT(queue.isFirst(waitingCall(2, 200ms, kAllCentres).profile));
        CPPUNIT_ASSERT(!queue.isFirst(waitingCall(2, 200ms, kSouth).profile));
        CPPUNIT_ASSERT(queue.isFirst(waitingCall(2, 50ms, kSouth).profile));
        queue.push(waitingCall(3, 150ms, kAllCentres));
        CPPUNIT_ASSERT(!queue.isFirst(waitingCall(2, 200ms, kNorth).profile));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(homes_queue_test);

} // namespace

} // namespace sequoiawharf
