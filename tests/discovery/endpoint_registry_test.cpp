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

endpoint_entry reportOf(const std::string &identity, std::uint64_t sequence, const std::string &host = "10.0.0.1")
{
    auto entry = entryOf(identity, 1, host);
    entry.sequence = sequence;
    return entry;
}

// Returns a registry that has read one endpoint in the first era, long after its start.
endpoint_registry registryBeforeRestore()
{
    endpoint_registry registry(2s);
    registry.applyPage({.records = {{"e", {1, 100}, reportOf("e", 5)}}, .next = {1, 101}, .isSnapshot = true}, kStart - 30min);
    registry.endpoints(kStart);
    return registry;
}

class endpoint_registry_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(endpoint_registry_test);
    CPPUNIT_TEST(repeatedReportsChangeNothing);
    CPPUNIT_TEST(aLeavingEndpointIsReturnedAtOnce);
    CPPUNIT_TEST(aReportOfAnEarlierIncarnationIsIgnored);
    CPPUNIT_TEST(aReusedAddressBelongsToTheNewestIncarnation);
    CPPUNIT_TEST(anEntryOfNoPoolTakesNoAddress);
    CPPUNIT_TEST(entriesRemovedAfterAnOutageStayForTheGrace);
    CPPUNIT_TEST(entriesNotReportedWithinTheGraceAreDropped);
    CPPUNIT_TEST(aCutOffInstanceHasNoGrace);
    CPPUNIT_TEST(othersLearnOfARemovalDuringTheGrace);
    CPPUNIT_TEST(aStartingInstanceGetsTheEndpointsOfTheGrace);
    CPPUNIT_TEST(recordsAfterARestoreApply);
    CPPUNIT_TEST(entriesThatACopyLacksStayForTheGrace);
    CPPUNIT_TEST(aCopyBringsNoEarlierStateBack);
    CPPUNIT_TEST(pagesOfAnEarlierEraAreIgnored);
    CPPUNIT_TEST(changesAcrossARestoreArePassedOn);
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

    // Guards against an entry of another writer, of a service that no table names, which takes an endpoint out by its address.
    void anEntryOfNoPoolTakesNoAddress()
    {
        endpoint_registry registry(2s);
        registry.setPools({pool_name("p"), pool_name("q")});
        registry.report(entryOf("e", 1, "10.0.0.1", "p"), 0, kStart);
        registry.report(entryOf("foreign", 9, "10.0.0.1", "x"), 1, kStart);
        CPPUNIT_ASSERT_EQUAL(std::string("e"), registry.endpoints(kStart)[pool_name("p")].at(0).identity);
        registry.report(entryOf("next", 2, "10.0.0.1", "q"), 2, kStart);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("an address may move to another pool", std::string("next"), registry.endpoints(kStart)[pool_name("q")].at(0).identity);
        CPPUNIT_ASSERT(!registry.hasChanged(kStart));
        registry.setPools({pool_name("p"), pool_name("q"), pool_name("x")});
        CPPUNIT_ASSERT(registry.hasChanged(kStart));
        CPPUNIT_ASSERT_EQUAL(std::string("foreign"), registry.endpoints(kStart)[pool_name("x")].at(0).identity);
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

    // Guards against a removal that is never applied, because a restored store gives out its offset for the second time.
    void recordsAfterARestoreApply()
    {
        auto registry = registryBeforeRestore();
        registry.applyPage({.records = {{"e", {2, 4}, reportOf("e", 6)}}, .next = {2, 5}, .isSnapshot = true}, kStart + 1s);
        registry.remove("e", {2, 7}, kStart + 4s);
        CPPUNIT_ASSERT(registry.endpoints(kStart + 4s).empty());
    }

    // Guards against the loss of endpoints whose entries were written after the copy, also when the store is restored once more while they are kept.
    void entriesThatACopyLacksStayForTheGrace()
    {
        auto registry = registryBeforeRestore();
        registry.applyPage({.records = {}, .next = {2, 5}, .isSnapshot = true}, kStart + 1s);
        registry.applyPage({.records = {}, .next = {3, 4}, .isSnapshot = true}, kStart + 2500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, registry.endpoints(kStart + 4s)[pool_name("p")].size());
        registry.report(reportOf("e", 7), {3, 5}, kStart + 4s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, registry.endpoints(kStart + 9s)[pool_name("p")].size());
        auto silent = registryBeforeRestore();
        silent.applyPage({.records = {}, .next = {2, 5}, .isSnapshot = true}, kStart + 1s);
        CPPUNIT_ASSERT(silent.endpoints(kStart + 3s).empty());
    }

    // Guards against calls to an endpoint that has left or is leaving, because a copy of the store still holds an earlier report of it.
    void aCopyBringsNoEarlierStateBack()
    {
        for (const bool isRemoved : {false, true}) {
            auto registry = registryBeforeRestore();
            if (isRemoved) {
                registry.remove("e", {1, 101}, kStart);
                registry.endpoints(kStart + 3s);
            } else {
                auto leaving = reportOf("e", 6);
                leaving.leaving = true;
                registry.report(leaving, {1, 101}, kStart);
            }
            registry.applyPage({.records = {{"e", {2, 4}, reportOf("e", 4)}}, .next = {2, 5}, .isSnapshot = true}, kStart + 4s);
            const auto restored = registry.endpoints(kStart + 4s)[pool_name("p")];
            CPPUNIT_ASSERT(isRemoved ? restored.empty() : restored.front().leaving);
            registry.report(reportOf("e", 7), {2, 5}, kStart + 5s);
            CPPUNIT_ASSERT_MESSAGE("what the endpoint writes after the restore is new", !registry.endpoints(kStart + 5s)[pool_name("p")].front().leaving);
        }
    }

    // Guards against an instance that has not heard of a restore and undoes what others have read since.
    void pagesOfAnEarlierEraAreIgnored()
    {
        auto registry = registryBeforeRestore();
        registry.applyPage({.records = {{"e", {2, 4}, reportOf("e", 6)}}, .next = {2, 5}, .isSnapshot = true}, kStart + 1s);
        registry.applyPage({.records = {{"e", {1, 150}, std::nullopt}}, .next = {1, 151}, .isSnapshot = false}, kStart + 4s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, registry.endpoints(kStart + 4s)[pool_name("p")].size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {2}, registry.era());
    }

    // Guards against an instance that asks with a position from before a restore and misses what has changed since.
    void changesAcrossARestoreArePassedOn()
    {
        auto reader = registryBeforeRestore();
        auto follower = registryBeforeRestore();
        const discovery_page restored {
            .records = {{"e", {2, 4}, reportOf("e", 6)}, {"f", {2, 3}, reportOf("f", 1, "10.0.0.2")}}, .next = {2, 5}, .isSnapshot = true};
        reader.applyPage(restored, kStart + 1s);
        reader.remove("e", {2, 5}, kStart + 4s);
        reader.endpoints(kStart + 4s);
        follower.applyPage(reader.changesSince({1, 101}, {2, 6}, kStart + 4s), kStart + 4s);
        const auto endpoints = follower.endpoints(kStart + 7s)[pool_name("p")];
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, endpoints.size());
        CPPUNIT_ASSERT_EQUAL(std::string("f"), endpoints.front().identity);
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
