#include "src/shell/instance/instance.h"
#include "src/shell/instance/surroundings.h"

#include "src/shell/net/http_client.h"
#include "src/shell/net/log.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <csignal>

namespace sequoiawharf
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds kAnswerTimeout {10'000};
constexpr unsigned kRuns = 3; // faults during the stop depend on timing and do not show in every run

// Returns settings with addresses that only this test uses. No platform answers at its address.
instance_settings makeSettings()
{
    instance_settings settings;
    settings.id = instance_id("n1");
    settings.region = region_id("north");
    settings.dataCentre = data_centre_id("a");
    settings.gateway = {"127.16.0.1", 18'080};
    settings.peer = {"127.16.0.1", 18'081};
    settings.admin = {"127.16.0.1", 18'082};
    settings.platform = {{"127.16.0.9", 17'000}};
    settings.regions = {{settings.region, {settings.dataCentre}}};
    settings.threads = 2;
    settings.seed = 1;
    settings.directoryLifetime = milliseconds(60'000);
    return settings;
}

class instance_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(instance_test);
    CPPUNIT_TEST(secondSignalSkipsTheWaitOfTheStop);
    CPPUNIT_TEST(callsAreRefusedAsNotReadyWithoutAConfiguration);
    CPPUNIT_TEST(startFailsNamingTheAddressThatCannotBeUsed);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        setLogLevel(log_level::Error);
    }

    void secondSignalSkipsTheWaitOfTheStop()
    {
        for (unsigned i = 0; i < kRuns; ++i) {
            own_surroundings outside;
            instance entry(makeSettings(), outside);
            CPPUNIT_ASSERT(entry.start().has_value());
            CPPUNIT_ASSERT(fetchNow({makeSettings().admin, "GET", "/status", {}}, kAnswerTimeout).has_value());
            stop(entry);
        }
    }

    void callsAreRefusedAsNotReadyWithoutAConfiguration()
    {
        own_surroundings outside;
        instance entry(makeSettings(), outside);
        CPPUNIT_ASSERT(entry.start().has_value());
        const auto call = fetchNow({makeSettings().gateway, "GET", "/quotes", {}}, kAnswerTimeout);
        const auto metrics = fetchNow({makeSettings().admin, "GET", "/metrics", {}}, kAnswerTimeout);
        const auto state = fetchNow({makeSettings().admin, "GET", "/configuration", {}}, kAnswerTimeout);
        stop(entry);
        CPPUNIT_ASSERT(call && call->status == 503);
        CPPUNIT_ASSERT(call->body.find("not ready") != std::string::npos);
        CPPUNIT_ASSERT(metrics && metrics->body.find("sequoiawharf_calls_total{ending=\"not-run\"} 1\n") != std::string::npos);
        CPPUNIT_ASSERT(metrics->body.find("sequoiawharf_ready 0\n") != std::string::npos);
        CPPUNIT_ASSERT(state && state->status == 200);
    }

    void startFailsNamingTheAddressThatCannotBeUsed()
    {
        auto settings = makeSettings();
        settings.gateway.host = "192.0.2.1"; // reserved for documentation, so never an address of this machine
        own_surroundings outside;
        instance entry(settings, outside);
        const auto started = entry.start();
        CPPUNIT_ASSERT(!started.has_value());
        CPPUNIT_ASSERT(started.error().find("192.0.2.1:18080") != std::string::npos);
    }

private:
    static void stop(instance &entry)
    {
        std::raise(SIGTERM);
        std::raise(SIGTERM);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, entry.runUntilStopped().callsCut);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(instance_test);

} // namespace

} // namespace sequoiawharf
