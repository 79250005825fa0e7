#include "gateway_rig.h"

#include "src/shell/net/clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <mutex>

namespace sequoiawharf
{

namespace
{

using namespace testing;

/// A target that answers all calls and keeps the last request.
class recording_target
{
public:
    std::string last()
    {
        const std::lock_guard lock(m_mutex);
        return m_last;
    }
    const fake_target &target() const
    {
        return m_target;
    }

private:
    std::mutex m_mutex;
    std::string m_last;
    fake_target m_target {[this](target_peer &peer) {
        for (auto request = peer.readRequest(); !request.empty(); request = peer.readRequest()) {
            {
                const std::lock_guard lock(m_mutex);
                m_last = request;
            }
            peer.answer("x");
        }
    }};
};

organisation_table sampleOrganisations()
{
    organisation entry;
    entry.name = organisation_name("guild");
    entry.keys = {"key-1"};
    return organisation_table({entry});
}

class key_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(key_test);
    CPPUNIT_TEST(targetGetsTheOrganisationAndNotTheKey);
    CPPUNIT_TEST(callsWithoutAKnownKeyAreRefusedUnrun);
    CPPUNIT_TEST(publicRoutesNeedNoKey);
    CPPUNIT_TEST(credentialsPassUnchangedWithoutOrganisations);
    CPPUNIT_TEST(keyedCallsNeedARecentConfiguration);
    CPPUNIT_TEST(aStaleConfigurationAffectsNoCallWithoutAKey);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a key that reaches a target, and against a caller that names another organisation than that of its key.
    void targetGetsTheOrganisationAndNotTheKey()
    {
        recording_target recorder;
        gateway_rig rig({&recorder.target()});
        rig.organisations = sampleOrganisations();
        rig.start();
        test_caller caller(rig.address());
        const auto received = caller.call("POST", "/x", "body", "Authorization: Bearer key-1\r\nSequoiawharf-Organisation: other\r\n");
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), received.ending());
        const auto request = recorder.last();
        CPPUNIT_ASSERT(request.find("Sequoiawharf-Organisation: guild\r\n") != std::string::npos);
        CPPUNIT_ASSERT(request.find("key-1") == std::string::npos && request.find("other") == std::string::npos);
    }

    void callsWithoutAKnownKeyAreRefusedUnrun()
    {
        recording_target recorder;
        gateway_rig rig({&recorder.target()});
        rig.organisations = sampleOrganisations();
        rig.start();
        for (const auto *fields : {"", "Authorization: Bearer key-2\r\n", "Authorization: Basic key-1\r\n", "Authorization: Bearer\r\n"}) {
            test_caller caller(rig.address());
            const auto received = caller.call("GET", "/x", {}, fields);
            CPPUNIT_ASSERT_EQUAL(401U, received.status);
            CPPUNIT_ASSERT_EQUAL(std::string("not-run unknown-key"), received.endingAndReason());
        }
        CPPUNIT_ASSERT_EQUAL(0, recorder.target().runs());
    }

    void publicRoutesNeedNoKey()
    {
        recording_target recorder;
        gateway_rig rig({&recorder.target()});
        rig.organisations = sampleOrganisations();
        rig.hasPublicRoutes = true;
        rig.start();
        test_caller caller(rig.address());
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), caller.call("GET", "/x", {}, "Authorization: Bearer key-1\r\n").ending());
        CPPUNIT_ASSERT(recorder.last().find("key-1") == std::string::npos);
        CPPUNIT_ASSERT(recorder.last().find("Sequoiawharf-Organisation") == std::string::npos);
    }

    // Guards the deployments that hold no organisations: the field belongs to their callers and targets.
    void credentialsPassUnchangedWithoutOrganisations()
    {
        recording_target recorder;
        gateway_rig rig({&recorder.target()});
        test_caller caller(rig.address());
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), caller.call("GET", "/x", {}, "Authorization: Bearer key-1\r\n").ending());
        CPPUNIT_ASSERT(recorder.last().find("Authorization: Bearer key-1\r\n") != std::string::npos);
    }

    // Guards against a revoked key that still runs calls, and against a new key that is refused for good, at an instance that no longer hears of
    // configurations.
    void keyedCallsNeedARecentConfiguration()
    {
        configuration_freshness freshness(std::chrono::milliseconds(5000));
        recording_target recorder;
        gateway_rig rig({&recorder.target()});
        rig.organisations = sampleOrganisations();
        rig.freshness = &freshness;
        rig.start();
        test_caller caller(rig.address());
        const auto expectStale = [&] {
            for (const auto *fields : {"Authorization: Bearer key-1\r\n", "Authorization: Bearer key-2\r\n", ""}) {
                const auto received = caller.call("GET", "/x", {}, fields);
                CPPUNIT_ASSERT_EQUAL(503U, received.status);
                CPPUNIT_ASSERT_EQUAL(std::string("not-run configuration-stale"), received.endingAndReason());
            }
        };
        expectStale();
        freshness.recordOwnRead(bootNow() - std::chrono::milliseconds(4751), 1);
        expectStale();
        CPPUNIT_ASSERT_EQUAL(0, recorder.target().runs());
        freshness.recordOwnRead(bootNow(), 1);
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), caller.call("GET", "/x", {}, "Authorization: Bearer key-1\r\n").ending());
        CPPUNIT_ASSERT_EQUAL(401U, caller.call("GET", "/x", {}, "Authorization: Bearer key-2\r\n").status);
    }

    // Guards the calls that no revocation can concern, and against a 404 from an instance that has no configuration yet.
    void aStaleConfigurationAffectsNoCallWithoutAKey()
    {
        const configuration_freshness stale(std::chrono::milliseconds(5000));
        recording_target recorder;
        gateway_rig rig({&recorder.target()});
        rig.freshness = &stale;
        rig.start();
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), test_caller(rig.address()).call("GET", "/x").ending());
        rig.organisations = sampleOrganisations();
        rig.hasPublicRoutes = true;
        rig.start();
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), test_caller(rig.address()).call("GET", "/x").ending());
        rig.version = 0;
        rig.start();
        CPPUNIT_ASSERT_EQUAL(std::string("not-run configuration-stale"), test_caller(rig.address()).call("GET", "/x").endingAndReason());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(key_test);

} // namespace

} // namespace sequoiawharf
