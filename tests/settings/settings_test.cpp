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
    CPPUNIT_TEST(quotasAreEnforcedOnlyWhenSet);
    CPPUNIT_TEST(listsAllFaultsAtOnce);
    CPPUNIT_TEST(refusesDataCentreOfAnotherRegion);
    CPPUNIT_TEST(refusesMalformedYaml);
    CPPUNIT_TEST(reloadAppliesOnlyChangeableSettings);
    CPPUNIT_TEST_SUITE_END();

public:
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

    void readsMinimalSettings()
    {
        const auto settings = parseSettings(kMinimal + "directory_lifetime: 3s\n");
        CPPUNIT_ASSERT(settings.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("127.1.0.1:8081"), toString(settings->peer));
        CPPUNIT_ASSERT(settings->directoryLifetime == std::chrono::seconds(3));
        CPPUNIT_ASSERT(settings->regionOf(data_centre_id("c")) == region_id("south"));
    }

    // Guards against quotas that are enforced in deployments whose settings do not ask for it.
    void quotasAreEnforcedOnlyWhenSet()
    {
        CPPUNIT_ASSERT(!parseSettings(kMinimal)->quotas.isSet());
        const auto settings = parseSettings(kMinimal + "quotas: {window_seconds: 5, overshoot: 0.1, slack: 20}\n");
        CPPUNIT_ASSERT(settings.has_value() && settings->quotas.isSet());
        CPPUNIT_ASSERT((settings->quotas == quota_settings {std::chrono::milliseconds(5000), 0.1, 20}));
        const auto faults = parseSettings(kMinimal + "quotas: {slack: -1}\n");
        CPPUNIT_ASSERT(!faults.has_value() && mentions(faults.error(), "\"slack\"", 9));
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
