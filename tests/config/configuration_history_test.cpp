#include "sequoiawharf/configuration_history.h"
#include "tests/config/table_samples.h"
#include "tests/property.h"

namespace sequoiawharf
{

namespace
{

using testing::anyTables;
using testing::checkProperty;

configuration withTables(config_version version, const whole_tables &tables)
{
    return {.version = version, .routes = tables.routes, .pools = tables.pools, .callers = {.headerBytes = static_cast<std::uint32_t>(version)}};
}

class configuration_history_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(configuration_history_test);
    CPPUNIT_TEST(aChangeLeadsFromAnyHeldVersionToTheNewest);
    CPPUNIT_TEST(versionsShareTheRowsInWhichTheyAgree);
    CPPUNIT_TEST(aVersionThatIsNotHeldHasNoChange);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an instance that gets a change from a peer and then holds other tables than the one that read them from the service.
    void aChangeLeadsFromAnyHeldVersionToTheNewest()
    {
        checkProperty("a change leads from any version that is held to the newest one", [] {
            configuration_history history;
            std::vector<std::shared_ptr<const configuration>> added;
            const auto count = *rc::gen::inRange(1U, 12U);
            for (config_version version = 1; version <= count; ++version) {
                const auto next = withTables(version, *anyTables());
                history.add(next);
                RC_ASSERT(*history.current() == next);
                added.push_back(history.current());
            }
            added.pop_back();
            for (const auto &base : added) {
                const auto result = applyTrustedDelta(*base, history.changeSince(base->version).value(), count);
                RC_ASSERT(result->routes == history.current()->routes && result->pools == history.current()->pools);
            }
        });
    }

    // Guards against a history that holds each version of a large table in full.
    void versionsShareTheRowsInWhichTheyAgree()
    {
        configuration_history history;
        history.add(withTables(3, {.routes = route_table({testing::makeRoute("a", "p"), testing::makeRoute("b", "p")}), .pools = {}}));
        const auto before = history.current();
        history.add(withTables(5, {.routes = route_table({testing::makeRoute("a", "p"), testing::makeRoute("b", "q")}), .pools = {}}));
        const auto find = [](const auto &config, const char *name) {
            return config->routes.find(route_name(name));
        };
        CPPUNIT_ASSERT(find(before, "a") == find(history.current(), "a") && find(before, "b") != find(history.current(), "b"));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, history.changeSince(3)->routesSet.size());
    }

    // Guards against a history that grows with each change, and a change that is made from the wrong tables.
    void aVersionThatIsNotHeldHasNoChange()
    {
        configuration_history history;
        CPPUNIT_ASSERT(!history.changeSince(0));
        for (config_version version = 1; version <= 40; ++version) {
            history.add(withTables(version, {}));
        }
        for (const auto version : {0, 1, 40, 41}) {
            CPPUNIT_ASSERT(!history.changeSince(static_cast<config_version>(version)));
        }
        CPPUNIT_ASSERT(history.changeSince(39));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_history_test);

} // namespace

} // namespace sequoiawharf
