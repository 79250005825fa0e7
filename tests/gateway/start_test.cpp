#include "gateway_rig.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sequoiawharf
{

namespace
{

using namespace testing;

using std::chrono::milliseconds;

class start_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(start_test);
    CPPUNIT_TEST(callsThatArriveDuringTheStartAreAnswered);
    CPPUNIT_TEST(callerThatLeavesDuringTheStartReachesNoTarget);
    CPPUNIT_TEST(callerThatLeavesAfterTheStartIsNoticed);
    CPPUNIT_TEST(refusesAtOnceWhenUnreadyForLong);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against the refusals after a power loss of the whole fleet, when a refused caller finds no instance that is ready.
    void callsThatArriveDuringTheStartAreAnswered()
    {
        const fake_target target(alwaysAnswer("x"));
        gateway_rig rig({&target});
        rig.targetPool.maxConnections = 250;
        rig.start();
        rig.server().setReady(false, "the configuration is not known");
        test_caller reader(rig.address());
        test_caller writer(rig.address());
        reader.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        writer.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\ny");
        CPPUNIT_ASSERT(eventually([&] {
            return rig.server().callsInFlight() == 2;
        }));
        rig.server().setReady(false, "the endpoints are not known");
        rig.server().setReady(true, "");
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), reader.read().ending());
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), writer.read().ending());
    }

    void callerThatLeavesDuringTheStartReachesNoTarget()
    {
        const fake_target target(alwaysAnswer("x"));
        gateway_rig rig({&target});
        rig.server().setReady(false, "the configuration is not known");
        test_caller caller(rig.address());
        caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        CPPUNIT_ASSERT(eventually([&] {
            return rig.server().callsInFlight() == 1;
        }));
        caller.close();
        CPPUNIT_ASSERT(eventually([&] {
            return rig.server().callsInFlight() == 0;
        }));
        rig.server().setReady(true, "");
        CPPUNIT_ASSERT_EQUAL(0, target.runs());
    }

    // Guards against a call that waited for the start and is then no longer watched for its caller's disconnect.
    void callerThatLeavesAfterTheStartIsNoticed()
    {
        const fake_target target([](target_peer &peer) {
            peer.readRequest();
            peer.waitForClose();
        });
        gateway_rig rig({&target});
        rig.server().setReady(false, "the configuration is not known");
        test_caller caller(rig.address());
        caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\ny");
        CPPUNIT_ASSERT(eventually([&] {
            return rig.server().callsInFlight() == 1;
        }));
        rig.server().setReady(true, "");
        CPPUNIT_ASSERT(eventually([&] {
            return target.runs() == 1;
        }));
        caller.close();
        CPPUNIT_ASSERT(eventually([&] {
            return rig.server().callsInFlight() == 0;
        }));
    }

    void refusesAtOnceWhenUnreadyForLong()
    {
        const fake_target target(alwaysAnswer("x"));
        gateway_rig rig({&target});
        rig.server().setReady(false, "the store does not answer");
        test_caller caller(rig.address());
        CPPUNIT_ASSERT_EQUAL(std::string("not-ready"), caller.call("GET", "/").reason());
        const auto asked = std::chrono::steady_clock::now();
        const auto received = caller.call("GET", "/");
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - asked < milliseconds(1000));
        CPPUNIT_ASSERT_EQUAL(std::string("not-run not-ready"), received.ending() + " " + received.reason());
        CPPUNIT_ASSERT_EQUAL(0, target.runs());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(start_test);

} // namespace

} // namespace sequoiawharf
