#include "gateway_rig.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sequoiawharf
{

namespace
{

using namespace testing;

void answerAll(target_peer &peer)
{
    for (auto request = peer.readRequest(); !request.empty(); request = peer.readRequest()) {
        peer.answer("x");
    }
}

/// A gateway in the region "north" with one target there and one in "south".
class homes_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(homes_test);
    CPPUNIT_TEST(callsRunInTheirHomesOnly);
    CPPUNIT_TEST(probesThatCarryCallsGoToHomesOnly);
    CPPUNIT_TEST(callsWithoutAHomeAreRefusedUnrun);
    CPPUNIT_TEST(evacuatedTargetsGetNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void callsRunInTheirHomesOnly()
    {
        configure({region_id("south")});
        m_rig.start();
        test_caller caller(m_rig.address());
        expectAnswered(caller, 40);
        CPPUNIT_ASSERT_EQUAL(0, m_north.runs());
        CPPUNIT_ASSERT_EQUAL(40, m_south.runs());
    }

    void probesThatCarryCallsGoToHomesOnly()
    {
        configure({region_id("south")});
        m_rig.startProbing();
        test_caller caller(m_rig.address());
        expectAnswered(caller, 10);
        CPPUNIT_ASSERT_EQUAL(0, m_north.runs());
    }

    void callsWithoutAHomeAreRefusedUnrun()
    {
        configure({region_id("east")});
        for (const bool isProbing : {false, true}) {
            isProbing ? m_rig.startProbing() : m_rig.start();
            test_caller caller(m_rig.address());
            const auto received = caller.call("GET", "/x");
            CPPUNIT_ASSERT_EQUAL(503U, received.status);
            CPPUNIT_ASSERT_EQUAL(std::string("not-run no-target"), received.endingAndReason());
        }
        CPPUNIT_ASSERT_EQUAL(0, m_north.runs() + m_south.runs());
    }

    // Guards against kept connections that outlive the decision.
    void evacuatedTargetsGetNothing()
    {
        configure({});
        m_rig.start();
        test_caller caller(m_rig.address());
        expectAnswered(caller, 20);
        CPPUNIT_ASSERT(m_north.runs() > 0);
        m_rig.limits->setEvacuated({data_centre_id("a")});
        const auto before = m_north.runs();
        expectAnswered(caller, 20);
        CPPUNIT_ASSERT_EQUAL(before, m_north.runs());
        m_rig.limits->setEvacuated({data_centre_id("a"), data_centre_id("c")});
        CPPUNIT_ASSERT_EQUAL(std::string("not-run no-target"), caller.call("GET", "/x").endingAndReason());
    }

private:
    void configure(const std::vector<region_id> &homes)
    {
        m_rig.homes = homes;
        m_rig.settings.regions = {{region_id("north"), {data_centre_id("a")}}, {region_id("south"), {data_centre_id("c")}}};
        m_rig.targetPool.endpoints[1].dataCentre = data_centre_id("c");
    }

    fake_target m_north {answerAll};
    fake_target m_south {answerAll};
    gateway_rig m_rig {{&m_north, &m_south}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(homes_test);

} // namespace

} // namespace sequoiawharf
