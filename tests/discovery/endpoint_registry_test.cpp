#include "sequoiawharf/endpoint_registry.h"

#include "tests/property.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;

const mono_time kStart(1h);

endpoint_entry entryOf(const std::string &identity, std::uint64_t incarnation, const std::string &host = "10.0.0.1", const std::string &service = "p")
{
    endpoint_entry entry;
    entry.identity = identity;
    entry.incarnation = incarnation;
    entry.pool = pool_name(service);
    entry.address = {host, 80};
    entry.dataCentre = data_centre_id("a");
    entry.slots = 4;
    return entry;
}

class endpoint_registry_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(endpoint_registry_test);
    CPPUNIT_TEST(repeatedReportsChangeNothing);
    CPPUNIT_TEST(aLeavingEndpointIsReturnedAtOnce);
    CPPUNIT_TEST(aReportOfAnEarlierIncarnationIsIgnored);
    CPPUNIT_TEST(aReusedAddressBelongsToTheNewestIncarnation);
    CPPUNIT_TEST(entriesRemovedAfterAnOutageStayForTheGrace);
    CPPUNIT_TEST(entriesNotReportedWithinTheGraceAreDropped);
    CPPUNIT_TEST(aCutOffInstanceHasNoGrace);
    CPPUNIT_TEST(othersLearnOfARemovalDuringTheGrace);
    CPPUNIT_TEST(aStartingInstanceGetsTheEndpointsOfTheGrace);
    CPPUNIT_TEST(recordsAtLowerOffsetsChangeNothing);
    CPPUNIT_TEST(aCompleteListRemovesTheEntriesItOmits);
    CPPUNIT_TEST(repeatedWarmUpWithTheSameEndChangesNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void repeatedReportsChangeNothing()
    {
        endpoint_registry registry(2s);
        registry.report(entryOf("e", 1), 0, kStart);
        CPPUNIT_ASSERT(registry.hasChanged(kStart));
        const auto reported = registry.endpoints(kStart)[pool_name("p")];
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, reported.size());
        CPPUNIT_ASSERT_EQUAL(4U, reported.front().slots);
        auto next = entryOf("e", 1);
        next.sequence = 7;
        registry.report(next, 1, kStart + 1s);
        CPPUNIT_ASSERT(!registry.hasChanged(kStart + 1s));
    }

    void aLeavingEndpointIsReturnedAtOnce()
    {
        endpoint_registry registry(2s);
        registry.report(entryOf("e", 1), 0, kStart);
        registry.endpoints(kStart);
        auto leaving = entryOf("e", 1);
        leaving.leaving = true;
        registry.report(leaving, 1, kStart + 1s);
        CPPUNIT_ASSERT(registry.hasChanged(kStart + 1s));
        CPPUNIT_ASSERT(registry.endpoints(kStart + 1s)[pool_name("p")].front().leaving);
    }

    void aReportOfAnEarlierIncarnationIsIgnored()
    {
        endpoint_registry registry(2s);
        registry.report(entryOf("e", 5, "10.0.0.5"), 3, kStart);
        registry.report(entryOf("e", 4, "10.0.0.4"), 4, kStart);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.5"), registry.endpoints(kStart)[pool_name("p")].front().address.host);
        registry.remove("e", 5, kStart);
        CPPUNIT_ASSERT(registry.endpoints(kStart).empty());
        registry.report(entryOf("e", 4, "10.0.0.4"), 6, kStart);
        CPPUNIT_ASSERT_MESSAGE("a late report of an earlier incarnation does not restore the endpoint", registry.endpoints(kStart).empty());
        registry.report(entryOf("e", 6, "10.0.0.6"), 7, kStart);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, registry.endpoints(kStart)[pool_name("p")].size());
    }

    void aReusedAddressBelongsToTheNewestIncarnation()
    {
        endpoint_registry registry(2s);
        registry.report(entryOf("old", 1, "10.0.0.1", "p"), 0, kStart);
        registry.report(entryOf("new", 2, "10.0.0.1", "q"), 1, kStart);
        const auto endpoints = registry.endpoints(kStart);
        CPPUNIT_ASSERT(!endpoints.contains(pool_name("p")));
        CPPUNIT_ASSERT_EQUAL(std::string("new"), endpoints.at(pool_name("q")).front().identity);
    }

    void entriesRemovedAfterAnOutageStayForTheGrace()
    {
        endpoint_registry registry(2s);
        registry.report(entryOf("e", 1), 0, kStart);
        registry.endpoints(kStart);
        registry.discoveryLost(kStart + 1s);
        registry.discoveryAnswered(kStart + 9s);
        registry.remove("e", 1, kStart + 9s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, registry.endpoints(kStart + 10s)[pool_name("p")].size());
        registry.report(entryOf("e", 1), 2, kStart + 10s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, registry.endpoints(kStart + 20s)[pool_name("p")].size());
    }

    void entriesNotReportedWithinTheGraceAreDropped()
    {
        endpoint_registry registry(2s);
        registry.report(entryOf("e", 1), 0, kStart);
        registry.discoveryLost(kStart + 1s);
        registry.discoveryAnswered(kStart + 9s);
        registry.remove("e", 1, kStart + 9s);
        registry.endpoints(kStart + 9s);
        CPPUNIT_ASSERT(!registry.hasChanged(kStart + 10s));
        CPPUNIT_ASSERT(registry.hasChanged(kStart + 11s));
        CPPUNIT_ASSERT(registry.endpoints(kStart + 11s).empty());
    }

    // Guards against calls to a removed endpoint, because the path to discovery of this instance alone was cut before.
    void aCutOffInstanceHasNoGrace()
    {
        endpoint_registry registry(2s, 2s);
        registry.discoveryAnswered(kStart);
        registry.report(entryOf("e", 1), 0, kStart);
        registry.discoveryLost(kStart + 1s);
        registry.discoveryAnswered(kStart + 1500ms); // another instance has read it
        registry.discoveryLost(kStart + 2s);
        registry.discoveryAnswered(kStart + 3s);
        registry.remove("e", 1, kStart + 3s);
        CPPUNIT_ASSERT(registry.endpoints(kStart + 3s).empty());
    }

    // Guards against instances that keep a removed endpoint, because the one that reads for them is in its grace.
    void othersLearnOfARemovalDuringTheGrace()
    {
        endpoint_registry registry(2s);
        registry.report(entryOf("e", 1), 0, kStart);
        registry.report(entryOf("f", 1, "10.0.0.2"), 1, kStart);
        registry.endpoints(kStart);
        registry.discoveryLost(kStart + 1s);
        registry.discoveryAnswered(kStart + 9s);
        registry.remove("e", 2, kStart + 9s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, registry.endpoints(kStart + 9s)[pool_name("p")].size());
        const auto changes = registry.changesSince(3, 3, kStart + 9s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, changes.records.size());
        CPPUNIT_ASSERT_EQUAL(std::string("e"), changes.records.front().identity);
        CPPUNIT_ASSERT(!changes.records.front().entry);
    }

    // Guards against an instance that starts without the endpoints whose entries expired while discovery was away.
    void aStartingInstanceGetsTheEndpointsOfTheGrace()
    {
        endpoint_registry registry(2s);
        registry.report(entryOf("e", 1), 0, kStart);
        registry.endpoints(kStart);
        registry.discoveryLost(kStart + 1s);
        registry.discoveryAnswered(kStart + 9s);
        registry.remove("e", 2, kStart + 9s);
        endpoint_registry starting(2s);
        starting.applyPage(registry.changesSince(0, 3, kStart + 9s), kStart + 9s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, starting.endpoints(kStart + 10s)[pool_name("p")].size());
        CPPUNIT_ASSERT(starting.endpoints(kStart + 11s).empty());
    }

    void recordsAtLowerOffsetsChangeNothing()
    {
        endpoint_registry registry(2s);
        auto leaving = entryOf("e", 1);
        leaving.leaving = true;
        registry.report(leaving, 9, kStart);
        registry.report(entryOf("e", 1), 4, kStart + 1s);
        CPPUNIT_ASSERT(registry.endpoints(kStart + 1s)[pool_name("p")].front().leaving);
        registry.remove("e", 5, kStart + 1s);
        registry.keepOnly({}, 6, kStart + 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, registry.endpoints(kStart + 1s)[pool_name("p")].size());
    }

    void aCompleteListRemovesTheEntriesItOmits()
    {
        endpoint_registry registry(2s);
        registry.report(entryOf("a", 1, "10.0.0.1"), 0, kStart);
        registry.report(entryOf("b", 1, "10.0.0.2"), 1, kStart);
        registry.keepOnly({"b"}, 5, kStart);
        const auto endpoints = registry.endpoints(kStart);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, endpoints.at(pool_name("p")).size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), endpoints.at(pool_name("p")).front().identity);
    }

    void repeatedWarmUpWithTheSameEndChangesNothing()
    {
        endpoint_registry registry(2s);
        auto cold = entryOf("e", 1);
        cold.warmUp = 3s;
        registry.report(cold, 0, kStart);
        CPPUNIT_ASSERT(registry.endpoints(kStart)[pool_name("p")].front().warmupEnd == kStart + 3s);
        cold.warmUp = 1500ms;
        registry.report(cold, 1, kStart + 1500ms);
        CPPUNIT_ASSERT_MESSAGE("the same end of the warm-up reported again", !registry.hasChanged(kStart + 1500ms));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_registry_test);

} // namespace

} // namespace sequoiawharf
