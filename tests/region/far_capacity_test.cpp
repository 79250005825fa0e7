#include "sequoiawharf/far_capacity.h"
#include "sequoiawharf/pool_sums.h"
#include "tests/property.h"

#include <algorithm>
#include <map>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;

const mono_time kNow = mono_time {} + 1h;
const pool_name kQuotes("quotes");

endpoint at(const std::string &centre, std::uint16_t port)
{
    return {{"10.0.0.1", port}, data_centre_id(centre), false};
}

configuration someConfiguration()
{
    pool quotes;
    quotes.name = kQuotes;
    quotes.endpoints = {at("a", 1), at("c", 2), at("d", 3)};
    pool local;
    local.name = pool_name("local");
    local.endpoints = {at("a", 4)};
    configuration config;
    config.pools = pool_table({quotes, local});
    return config;
}

centre_summary summaryOf(const std::string &centre, const std::string &region, std::uint64_t stamp)
{
    member_row row;
    row.id = instance_id("in-" + centre);
    row.process = 4;
    row.peer = {"10.0.0.9", 1};
    row.dataCentre = data_centre_id(centre);
    row.region = region_id(region);
    row.ready = true;
    return {data_centre_id(centre), region_id(region), stamp, 1, 0, 0, {row}};
}

std::map<std::string, int> drawByWeight(const far_capacity &capacity, int count)
{
    random_source random(3);
    std::map<std::string, int> chosen;
    for (int i = 0; i < count; ++i) {
        if (const auto *const row = capacity.choose(kQuotes, random)) {
            ++chosen[row->id.str()];
        }
    }
    return chosen;
}

class far_capacity_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(far_capacity_test);
    CPPUNIT_TEST(choosesOnlyOtherRegionsThatServeThePool);
    CPPUNIT_TEST(prefersSpareCapacity);
    CPPUNIT_TEST(choosesOnlyAllowedDataCentres);
    CPPUNIT_TEST(expiredRowsAndSummariesAreIgnored);
    CPPUNIT_TEST(olderStampChangesNothing);
    CPPUNIT_TEST(addsUpTheCallsOfMembers);
    CPPUNIT_TEST(poolsWithAmpleCapacityAreNotReported);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_centres.update(summaryOf("a", "north", 1), kNow);
        m_centres.update(summaryOf("c", "south", 1), kNow);
        m_centres.update(summaryOf("d", "south", 1), kNow);
        m_centres.update(summaryOf("e", "west", 1), kNow);
    }

    void choosesOnlyOtherRegionsThatServeThePool()
    {
        const auto capacity = m_pools.capacity(someConfiguration(), m_centres, region_id("north"), kNow);
        CPPUNIT_ASSERT(capacity->available(kQuotes));
        CPPUNIT_ASSERT(!capacity->available(pool_name("local")));
        CPPUNIT_ASSERT(!capacity->available(pool_name("none")));
        const auto chosen = drawByWeight(*capacity, 100);
        CPPUNIT_ASSERT(chosen.size() == 2 && chosen.contains("in-c") && chosen.contains("in-d"));
    }

    // Guards against a call with homes that is relayed to another region, and against relays to an evacuated data centre.
    void choosesOnlyAllowedDataCentres()
    {
        const placement_limits limits({{region_id("south"), {data_centre_id("c")}}, {region_id("west"), {data_centre_id("d")}}});
        const auto capacity = m_pools.capacity(someConfiguration(), m_centres, region_id("north"), kNow, &limits);
        const auto allowed = limits.maskOf(std::vector {region_id("west")});
        random_source random(3);
        for (int i = 0; i < 20; ++i) {
            CPPUNIT_ASSERT_EQUAL(std::string("in-d"), capacity->choose(kQuotes, random, allowed)->id.str());
        }
        CPPUNIT_ASSERT(capacity->available(kQuotes, allowed));
        CPPUNIT_ASSERT(!capacity->available(kQuotes, 0) && capacity->choose(kQuotes, random, 0) == nullptr);
    }

    void prefersSpareCapacity()
    {
        m_pools.take({data_centre_id("c"), 5, {{poolKey(kQuotes), 1, 1, 2, 0}}}, kNow);
        auto chosen = drawByWeight(*m_pools.capacity(someConfiguration(), m_centres, region_id("north"), kNow), 1000);
        CPPUNIT_ASSERT(chosen["in-d"] > 10 * chosen["in-c"]);
        m_pools.take({data_centre_id("c"), 6, {{poolKey(kQuotes), 0, 1, 0, 0}}}, kNow);
        m_pools.take({data_centre_id("d"), 6, {{poolKey(kQuotes), 0, 1, 0, 0}}}, kNow);
        CPPUNIT_ASSERT(!m_pools.capacity(someConfiguration(), m_centres, region_id("north"), kNow)->available(kQuotes));
    }

    void expiredRowsAndSummariesAreIgnored()
    {
        m_pools.take({data_centre_id("c"), 5, {{poolKey(kQuotes), 0, 1, 0, 0}}}, kNow);
        m_centres.update(summaryOf("c", "south", 2), kNow + 20s);
        const auto capacity = m_pools.capacity(someConfiguration(), m_centres, region_id("north"), kNow + 20s);
        const auto chosen = drawByWeight(*capacity, 100);
        CPPUNIT_ASSERT(chosen.size() == 1 && chosen.contains("in-c"));
    }

    void olderStampChangesNothing()
    {
        m_pools.take({data_centre_id("c"), 5, {{poolKey(kQuotes), 0, 1, 0, 0}}}, kNow);
        m_pools.take({data_centre_id("c"), 4, {{poolKey(kQuotes), 1, 1, 4, 0}}}, kNow);
        CPPUNIT_ASSERT(!drawByWeight(*m_pools.capacity(someConfiguration(), m_centres, region_id("north"), kNow), 100).contains("in-c"));
    }

    void addsUpTheCallsOfMembers()
    {
        pool_sums sums;
        sums.setOwn({{kQuotes, 5, 5, 4, 6}});
        sums.recordShares(instance_id("x"), {{poolKey(kQuotes), 11}}, kNow);
        const auto rows = sums.summaries(2, kNow);
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, rows.size());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t {3}, rows.front().spareCalls);
        CPPUNIT_ASSERT_EQUAL(std::uint8_t {1}, rows.front().missing);
        CPPUNIT_ASSERT_EQUAL(std::uint8_t {2}, [&] {
            sums.setOwn({{kQuotes, 5, 1, 4, 6}});
            return sums.summaries(2, kNow + 6s).front().missing;
        }());
    }

    void poolsWithAmpleCapacityAreNotReported()
    {
        pool_sums sums;
        sums.setOwn({{kQuotes, 20, 20, 4, 3}, {pool_name("idle"), 10, 10, 4, 0}});
        CPPUNIT_ASSERT(sums.summaries(0, kNow).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, sums.ownShares().size());
        sums.setOwn({{kQuotes, 20, 9, 4, 3}});
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, sums.summaries(0, kNow).size());
    }

private:
    centre_table m_centres {data_centre_id("b")};
    far_pools m_pools;
};

CPPUNIT_TEST_SUITE_REGISTRATION(far_capacity_test);

} // namespace

} // namespace sequoiawharf
