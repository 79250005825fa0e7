#include "sequoiawharf/readiness_wait.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;

const mono_time kStart {1000s};

class readiness_wait_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(readiness_wait_test);
    CPPUNIT_TEST(callsOfAFleetThatRestartsWaitForTheStart);
    CPPUNIT_TEST(longUnreadyInstanceLetsNoCallWait);
    CPPUNIT_TEST(waitLeavesTimeToRunTheCall);
    CPPUNIT_TEST_SUITE_END();

public:
    // All instances lost power and start; 400 ms later callers connect again, and each finds an instance that is not ready yet.
    void callsOfAFleetThatRestartsWaitForTheStart()
    {
        CPPUNIT_ASSERT(readinessWaitEnd(kStart, kStart + 400ms, 5000ms) >= kStart + 1500ms);
        CPPUNIT_ASSERT(readinessWaitEnd(kStart, kStart + 400ms, std::nullopt) >= kStart + 1500ms);
    }

    // An instance that the store turns away and that reaches no other instance stays unready.
    void longUnreadyInstanceLetsNoCallWait()
    {
        CPPUNIT_ASSERT(readinessWaitEnd(kStart, kStart + 5s, 10s) <= kStart + 5s);
        CPPUNIT_ASSERT(readinessWaitEnd(kStart, kStart + 5s, std::nullopt) <= kStart + 5s);
    }

    // A safety lookup has 800 ms in all: a refusal after half of it leaves time for another instance.
    void waitLeavesTimeToRunTheCall()
    {
        CPPUNIT_ASSERT(readinessWaitEnd(kStart, kStart + 100ms, 800ms) <= kStart + 500ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(readiness_wait_test);

} // namespace

} // namespace sequoiawharf
