#include "sequoiawharf/settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace sequoiawharf
{

namespace
{

const std::string kMinimal = R"(instance: n1
region: north
data_centre: a
gateway: 127.1.0.1:8080
peer: 127.1.0.1:8081
admin: 127.1.0.1:8082
platform: [127.0.0.1:7000]
regions: {north: [a, b], south: [c]}
)";

bool mentions(const std::vector<table_fault> &faults, std::string_view text, int line)
{
    return std::ranges::any_of(faults, [&](const table_fault &fault) {
        return fault.message.find(text) != std::string::npos && fault.line == line;
    });
}

class settings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(settings_test);
    CPPUNIT_TEST(readsMinimalSettings);
    CPPUNIT_TEST(listsAllFaultsAtOnce);
    CPPUNIT_TEST(refusesDataCentreOfAnotherRegion);
    CPPUNIT_TEST(refusesMalformedYaml);
    CPPUNIT_TEST(memoryOfCallsFollowsTheMachine);
    CPPUNIT_TEST(reloadAppliesOnlyChangeableSettings);
    CPPUNIT_TEST(revocationBoundIsOffOrLongEnough);
    CPPUNIT_TEST(quotasAreOffOrWhole);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against quotas that are not enforced because of a typing error, and against a start that fails where a deployment has none.
    void quotasAreOffOrWhole()
    {
        CPPUNIT_ASSERT(!parseSettings(kMinimal)->quotas.isSet());
        const quota_settings expected {.window = std::chrono::milliseconds(5000), .overshoot = 0.1, .slack = 20};
        CPPUNIT_ASSERT(parseSettings(kMinimal + "quotas: {window_seconds: 5, overshoot: 0.1, slack: 20}\n")->quotas == expected);
        CPPUNIT_ASSERT(!parseSettings(kMinimal + "quotas: {window: 5}\n"));
        CPPUNIT_ASSERT(parseQuotaSettings("5,0.1,20") == expected);
        CPPUNIT_ASSERT(!parseQuotaSettings(",,")->isSet());
        for (const auto *const text : {"5", "5,0.1", "5,0.1,20,1", "5,,20", "x,0.1,20", "-5,0.1,20", "601,0.1,20", "5,0.1,20s"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !parseQuotaSettings(text));
        }
    }

    // Guards against a changed file that alters settings which need a restart, or that does not report them.
    void reloadAppliesOnlyChangeableSettings()
    {
        const auto running = *parseSettings(kMinimal);
        const auto unchanged = planReload(running, running);
        CPPUNIT_ASSERT(!unchanged.appliesNow && !unchanged.needsRestart && unchanged.next == running);

        const auto tuned = *parseSettings(kMinimal + "seeds: [10.0.0.9:1]\nlog_level: debug\nrepeats: {ratio: 0.1, slack: 5}\n");
        const auto immediate = planReload(running, tuned);
        CPPUNIT_ASSERT(immediate.appliesNow && !immediate.needsRestart && immediate.next == tuned);

        const auto moved = *parseSettings(kMinimal + "threads: 9\nlog_level: debug\n");
        const auto mixed = planReload(running, moved);
        CPPUNIT_ASSERT(mixed.appliesNow && mixed.needsRestart);
        CPPUNIT_ASSERT(mixed.next.threads == running.threads && mixed.next.logLevel == "debug");
    }

    // Guards against a default that calls inside the limits meet, and against a share that exceeds a small machine.
    void memoryOfCallsFollowsTheMachine()
    {
        const auto limitsOf = [](const std::string &text) {
            return parseSettings(kMinimal + "limits: {held_body_bytes: 524288" + text + "}\n")->limits;
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t {20'000} * 2 * 524'288, limitsOf("").callMemoryBytes());
        CPPUNIT_ASSERT_EQUAL(std::size_t {40} << 20U, limitsOf(", machine_memory_mb: 160").callMemoryBytes());
        CPPUNIT_ASSERT_EQUAL(std::size_t {16} << 20U, limitsOf(", machine_memory_mb: 160, body_memory_bytes: 16777216").callMemoryBytes());
        CPPUNIT_ASSERT_EQUAL(std::size_t {8} << 20U, limitsOf(", body_memory_bytes: 1").callMemoryBytes());
        CPPUNIT_ASSERT_EQUAL(20'000U, limitsOf("").maxCallerConnections());
        CPPUNIT_ASSERT_EQUAL(3075U, limitsOf(", machine_descriptors: 4100").maxCallerConnections());
    }

    // Guards against a bound with which all keyed calls would be refused, and against a bound in force that nobody asked for.
    void revocationBoundIsOffOrLongEnough()
    {
        CPPUNIT_ASSERT_EQUAL(std::int64_t {0}, std::int64_t {parseSettings(kMinimal)->revocationBound.count()});
        CPPUNIT_ASSERT_EQUAL(std::int64_t {5000}, std::int64_t {parseSettings(kMinimal + "revocation_bound: 5000ms\n")->revocationBound.count()});
        const auto tooShort = parseSettings(kMinimal + "revocation_bound: 3999ms\n");
        CPPUNIT_ASSERT(!tooShort && mentions(tooShort.error(), "at least 4000ms", 9));
    }

    void readsMinimalSettings()
    {
        const auto settings = parseSettings(kMinimal + "directory_lifetime: 3s\n");
        CPPUNIT_ASSERT(settings.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("127.1.0.1:8081"), toString(settings->peer));
        CPPUNIT_ASSERT(settings->directoryLifetime == std::chrono::seconds(3));
        CPPUNIT_ASSERT(settings->regionOf(data_centre_id("c")) == region_id("south"));
    }

    void listsAllFaultsAtOnce()
    {
        const auto settings = parseSettings(kMinimal + "threads: 0\nlog_level: loud\ncolour: red\nlimits: {header_bytes: 5}\n");
        CPPUNIT_ASSERT(!settings.has_value());
        CPPUNIT_ASSERT(mentions(settings.error(), "\"threads\" must be a whole number from 1 to 256", 9));
        CPPUNIT_ASSERT(mentions(settings.error(), "\"log_level\" must be debug", 10));
        CPPUNIT_ASSERT(mentions(settings.error(), "\"colour\" is not a known name", 11));
        CPPUNIT_ASSERT(mentions(settings.error(), "\"header_bytes\" must be a whole number", 12));
    }

    void refusesDataCentreOfAnotherRegion()
    {
        auto text = kMinimal;
        text.replace(text.find("data_centre: a"), 14, "data_centre: c");
        const auto settings = parseSettings(text);
        CPPUNIT_ASSERT(!settings.has_value());
        CPPUNIT_ASSERT(mentions(settings.error(), "is not listed under region \"north\"", 3));
    }

    void refusesMalformedYaml()
    {
        CPPUNIT_ASSERT(!parseSettings("instance: [").has_value());
        CPPUNIT_ASSERT(!parseSettings("").has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_test);

} // namespace

} // namespace sequoiawharf
