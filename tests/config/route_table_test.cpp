#include "sequoiawharf/configuration.h"

#include "tests/property.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

route makeRoute(const std::string &name, const std::string &prefix, std::vector<std::string> methods = {})
{
    route rule;
    rule.name = route_name(name);
    rule.pathPrefix = prefix;
    rule.methods = std::move(methods);
    rule.pool = pool_name("p");
    return rule;
}

class route_table_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(route_table_test);
    CPPUNIT_TEST(findsLongestPrefix);
    CPPUNIT_TEST(findsRouteOfAnyDepth);
    CPPUNIT_TEST(decidesIdempotence);
    CPPUNIT_TEST(homesOfAHostAreThoseOfAllItsRoutes);
    CPPUNIT_TEST(validationListsEveryFault);
    CPPUNIT_TEST_SUITE_END();

public:
    void findsLongestPrefix()
    {
        const route_table table({makeRoute("all", "/"), makeRoute("quotes", "/quotes"), makeRoute("write", "/quotes/new/", {"POST"})});
        CPPUNIT_ASSERT(table.find("GET", "/quotes/7")->name == route_name("quotes"));
        CPPUNIT_ASSERT(table.find("GET", "/quotesque")->name == route_name("all"));
        CPPUNIT_ASSERT(table.find("POST", "/quotes/new")->name == route_name("write"));
        CPPUNIT_ASSERT(table.find("GET", "/quotes/new/x")->name == route_name("quotes"));
        CPPUNIT_ASSERT(route_table({makeRoute("quotes", "/quotes")}).find("GET", "/other") == nullptr);
    }

    void findsRouteOfAnyDepth()
    {
        testing::checkProperty("a path below a route's prefix finds that route", [](const std::vector<std::uint8_t> &segments) {
            std::string prefix;
            std::ranges::for_each(segments, [&](std::uint8_t segment) {
                prefix += "/" + std::to_string(segment);
            });
            prefix = prefix.empty() ? "/" : prefix;
            const route_table table({makeRoute("all", "/"), makeRoute("deep", prefix)});
            RC_ASSERT(table.find("GET", prefix + (prefix == "/" ? "x" : "/x"))->pathPrefix == prefix);
        });
    }

    void decidesIdempotence()
    {
        auto rule = makeRoute("r", "/");
        CPPUNIT_ASSERT(isIdempotent(rule, "GET"));
        CPPUNIT_ASSERT(!isIdempotent(rule, "POST"));
        CPPUNIT_ASSERT(!isIdempotent(rule, "PATCH"));
        rule.idempotent = true;
        CPPUNIT_ASSERT(isIdempotent(rule, "POST"));
    }

    // Guards against a directory that leaves out instances which a route of the host needs.
    void homesOfAHostAreThoseOfAllItsRoutes()
    {
        auto first = makeRoute("first", "/a");
        first.host = "h";
        first.homes = {region_id("south"), region_id("north")};
        auto second = makeRoute("second", "/b");
        second.host = "h";
        second.homes = {region_id("west"), region_id("north")};
        auto free = makeRoute("free", "/a");
        free.host = "k";
        CPPUNIT_ASSERT((route_table({first, second, free}).homesOf("h") == std::vector {region_id("north"), region_id("south"), region_id("west")}));
        CPPUNIT_ASSERT(route_table({first, second, free}).homesOf("k").empty());
        CPPUNIT_ASSERT_MESSAGE("a route for every host has no homes", route_table({first, second, makeRoute("all", "/")}).homesOf("h").empty());
        CPPUNIT_ASSERT(route_table().homesOf("h").empty());
    }

    void validationListsEveryFault()
    {
        pool duplicate;
        duplicate.name = pool_name("q");
        duplicate.endpoints = {{{"127.0.0.1", 1}, data_centre_id("a"), false}, {{"127.0.0.1", 1}, data_centre_id("a"), false}};
        const auto faults = validate(route_table({makeRoute("r", "no-slash")}), pool_table({duplicate}));
        CPPUNIT_ASSERT_EQUAL(std::size_t {3}, faults.size());
        CPPUNIT_ASSERT_EQUAL(std::string("route \"r\": pool \"p\" does not exist in the pool table"), faults[1].message);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_table_test);

} // namespace

} // namespace sequoiawharf
