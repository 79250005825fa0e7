#include "sequoiawharf/key_index.h"
#include "tests/config/table_samples.h"
#include "tests/property.h"

namespace sequoiawharf
{

namespace
{

using namespace testing;

organisation makeOrganisation(const std::string &name, std::vector<std::string> keys)
{
    organisation entry;
    entry.name = organisation_name(name);
    entry.keys = std::move(keys);
    return entry;
}

organisation_table sampleOrganisations()
{
    auto first = makeOrganisation("first", {"key-1", "key-2"});
    first.priority = route_class::Urgent;
    first.quota = {2.5, 10};
    first.homes = {region_id("north")};
    return organisation_table({first, makeOrganisation("second", {"key-3"})});
}

class organisation_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(organisation_test);
    CPPUNIT_TEST(recordsHoldOrganisationsHomesAndColdRates);
    CPPUNIT_TEST(deltaAddsAndRemovesKeys);
    CPPUNIT_TEST(sharedAndEmptyKeysAreRefusedWithoutNamingThem);
    CPPUNIT_TEST(indexFindsExactlyTheKeysOfTheTable);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an instance that learns the tables from another one and lacks keys or limits, so that it refuses or admits wrong calls.
    void recordsHoldOrganisationsHomesAndColdRates()
    {
        auto rule = makeRoute("r", "p");
        rule.isPublic = true;
        rule.homes = {region_id("north"), region_id("south")};
        auto entry = makePool("p", {1});
        entry.warmupTime = std::chrono::milliseconds(3000);
        entry.coldCallsPerSecond = 3.5;
        const configuration_record state = state_record {3, 9, {route_table({rule}), pool_table({entry}), sampleOrganisations()}};
        CPPUNIT_ASSERT(decodeRecord(encodeRecord(state)) == state);
    }

    void deltaAddsAndRemovesKeys()
    {
        configuration from;
        from.version = 1;
        from.organisations = sampleOrganisations();
        const organisation_table to({makeOrganisation("first", {"key-2"}), makeOrganisation("third", {"key-4"})});
        const auto delta = makeDelta(from, {from.routes, from.pools, to});
        CPPUNIT_ASSERT(delta.organisationsSet.size() == 2 && delta.organisationsRemoved.size() == 1);
        const configuration_record record = publication {publication_id("x"), 1, delta, "", ""};
        const auto decoded = decodeRecord(encodeRecord(record));
        CPPUNIT_ASSERT(decoded == record);
        const auto next = applyChange(from, delta, 2);
        CPPUNIT_ASSERT(next.has_value() && (*next)->organisations == to);
        CPPUNIT_ASSERT(makeDelta(**next, {from.routes, from.pools, to}).empty());
    }

    void sharedAndEmptyKeysAreRefusedWithoutNamingThem()
    {
        const auto faults = validate(organisation_table({makeOrganisation("a", {"secret-1"}), makeOrganisation("b", {"secret-1", ""})}));
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, faults.size());
        CPPUNIT_ASSERT(std::ranges::none_of(faults, [](const table_fault &fault) {
            return fault.message.find("secret") != std::string::npos;
        }));
        CPPUNIT_ASSERT(validate(sampleOrganisations()).empty());
    }

    void indexFindsExactlyTheKeysOfTheTable()
    {
        checkProperty("a key is found if and only if an organisation holds it", [] {
            const auto keys = *rc::gen::unique<std::vector<std::string>>(rc::gen::nonEmpty<std::string>());
            const auto other = *rc::gen::arbitrary<std::string>();
            std::vector<organisation> rows;
            rows.reserve(keys.size());
            for (std::size_t i = 0; i < keys.size(); ++i) {
                rows.push_back(makeOrganisation("o" + std::to_string(i), {keys[i]}));
            }
            const key_index index(organisation_table(std::move(rows)), *rc::gen::arbitrary<std::uint64_t>());
            for (std::size_t i = 0; i < keys.size(); ++i) {
                const auto *const owner = index.find(keys[i]);
                RC_ASSERT(owner != nullptr && owner->name.str() == "o" + std::to_string(i));
            }
            RC_ASSERT((index.find(other) != nullptr) == (std::ranges::find(keys, other) != keys.end()));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(organisation_test);

} // namespace

} // namespace sequoiawharf
