#include "src/config/table_yaml.h"
#include "tests/config/table_samples.h"
#include "tests/property.h"

namespace sequoiawharf
{

namespace
{

using namespace testing;

const std::string kRoutes = "routes:\n  - {name: r, path: /r, pool: p, methods: [GET], class: urgent, deadline: 800ms, idempotent: true, max_body_bytes: 10}\n";
const std::string kPools = "pools:\n  - name: p\n    not_run_statuses: [503]\n    endpoints:\n      - {address: 127.0.0.1:9000, data_centre: a}\n";

std::vector<std::string> faultsOf(const std::string &routes, const std::string &pools)
{
    const auto tables = parseTables({"routes.yaml", routes}, {"pools.yaml", pools});
    std::vector<std::string> lines;
    if (!tables) {
        std::ranges::transform(tables.error(), std::back_inserter(lines), [](const file_fault &fault) {
            return toString(fault);
        });
    }
    return lines;
}

bool mentions(const std::vector<std::string> &lines, const std::string &start, const std::string &text)
{
    return std::ranges::any_of(lines, [&](const std::string &line) {
        return line.starts_with(start) && line.find(text) != std::string::npos;
    });
}

class table_yaml_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(table_yaml_test);
    CPPUNIT_TEST(readsEachField);
    CPPUNIT_TEST(listsAllFaultsOfBothFiles);
    CPPUNIT_TEST(duplicateRowsNameTheirLines);
    CPPUNIT_TEST(malformedYamlIsRefused);
    CPPUNIT_TEST(formattedTablesParseUnchanged);
    CPPUNIT_TEST_SUITE_END();

public:
    void readsEachField()
    {
        const auto tables = parseTables({"r", kRoutes}, {"p", kPools});
        CPPUNIT_ASSERT(tables.has_value());
        const auto &rule = *tables->routes.find(route_name("r"));
        CPPUNIT_ASSERT(rule.priority == route_class::Urgent && rule.deadline == std::chrono::milliseconds(800));
        CPPUNIT_ASSERT(rule.idempotent == true && rule.maxBodyBytes == 10 && rule.methods == std::vector<std::string> {"GET"});
        const auto &entry = *tables->pools.find(pool_name("p"));
        CPPUNIT_ASSERT(entry.notRunStatuses == std::vector<std::uint16_t> {503} && entry.endpoints.size() == 1);
    }

    void listsAllFaultsOfBothFiles()
    {
        const auto faults = faultsOf("routes:\n  - {name: a, path: x, pool: none, class: fast, deadline: 5, colour: red}\n  - {path: /b}\n",
                                     "pools:\n  - name: p\n    slots: 0\n    not_run_statuses: [700, abc]\n    endpoints:\n      - {address: host:1}\n");
        CPPUNIT_ASSERT(mentions(faults, "routes.yaml:2:", "\"class\" must be urgent, normal or bulk"));
        CPPUNIT_ASSERT(mentions(faults, "routes.yaml:2:", "\"deadline\" must be a duration from 1ms to 600000ms"));
        CPPUNIT_ASSERT(mentions(faults, "routes.yaml:2:", "\"colour\" is not a known name"));
        CPPUNIT_ASSERT(mentions(faults, "routes.yaml:2:", "does not begin with '/'"));
        CPPUNIT_ASSERT(mentions(faults, "routes.yaml:2:", "pool \"none\" does not exist"));
        CPPUNIT_ASSERT(mentions(faults, "routes.yaml:3:", "\"name\" is missing"));
        CPPUNIT_ASSERT(mentions(faults, "routes.yaml:3:", "\"pool\" is missing"));
        CPPUNIT_ASSERT(mentions(faults, "pools.yaml:3:", "\"slots\" must be a whole number from 1 to 10000"));
        CPPUNIT_ASSERT(mentions(faults, "pools.yaml:4:", "holds \"abc\""));
        CPPUNIT_ASSERT(mentions(faults, "pools.yaml:2:", "not_run_statuses must be from 400 to 599"));
        CPPUNIT_ASSERT(mentions(faults, "pools.yaml:6:", "\"address\" must be an IP address and a port"));
        CPPUNIT_ASSERT(mentions(faults, "pools.yaml:6:", "\"data_centre\" is missing"));
    }

    void duplicateRowsNameTheirLines()
    {
        const auto twice = kRoutes + kRoutes.substr(kRoutes.find('\n') + 1);
        CPPUNIT_ASSERT(mentions(faultsOf(twice, kPools), "routes.yaml:3:", "route \"r\" is listed twice, first in line 2"));
        auto other = twice;
        other.replace(other.rfind("name: r,"), 8, "name: s,");
        CPPUNIT_ASSERT(mentions(faultsOf(other, kPools), "routes.yaml:3:", "takes the same path"));
    }

    void malformedYamlIsRefused()
    {
        CPPUNIT_ASSERT(mentions(faultsOf("routes: [", kPools), "routes.yaml:", ""));
        CPPUNIT_ASSERT(mentions(faultsOf("", kPools), "routes.yaml:", "not a mapping"));
        CPPUNIT_ASSERT(mentions(faultsOf("routes: {}", kPools), "routes.yaml:", "must be a list"));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, faultsOf(kRoutes, "pools: [").size());
        CPPUNIT_ASSERT(!faultsOf("routes:\n  - 7\n  - [1]\n", "pools:\n  - x\n").empty());
        checkProperty("random text gives faults, never an exception", [](const std::string &text) {
            RC_ASSERT(!faultsOf(text, "pools:\n- {name: " + text).empty());
        });
    }

    void formattedTablesParseUnchanged()
    {
        checkProperty("the YAML of tables gives the same tables", [] {
            const auto tables = *anyTables();
            const auto again = parseTables({"r", formatRoutes(tables.routes)}, {"p", formatPools(tables.pools)});
            RC_ASSERT(again.has_value());
            RC_ASSERT(*again == tables);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_yaml_test);

} // namespace

} // namespace sequoiawharf
