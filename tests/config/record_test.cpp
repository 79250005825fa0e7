#include "tests/config/table_samples.h"
#include "tests/property.h"

#include <map>
#include <set>

namespace sequoiawharf
{

namespace
{

using namespace testing;

configuration asConfiguration(const whole_tables &tables, config_version version)
{
    return {version, tables.routes, tables.pools};
}

class record_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(record_test);
    CPPUNIT_TEST(encodedRecordsDecodeUnchanged);
    CPPUNIT_TEST(deltaGivesTargetTables);
    CPPUNIT_TEST(unchangedRowsAreShared);
    CPPUNIT_TEST(mutatedTextIsDecodedOrRefused);
    CPPUNIT_TEST(hostileTextsAreRefused);
    CPPUNIT_TEST(invalidChangeIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void encodedRecordsDecodeUnchanged()
    {
        checkProperty("decode(encode(record)) is the record", [] {
            const auto tables = *anyTables();
            const auto other = *anyTables();
            const auto from = asConfiguration(other, 7);
            const configuration_record whole = publication {publication_id("x"), 7, tables, "a \"quoted\" \xc3\xa9", "n\n"};
            const configuration_record delta = publication {publication_id("x"), 7, makeDelta(from, tables), "", ""};
            const configuration_record state = state_record {3, 9, tables};
            RC_ASSERT(decodeRecord(encodeRecord(whole)) == whole);
            RC_ASSERT(decodeRecord(encodeRecord(delta)) == delta);
            RC_ASSERT(decodeRecord(encodeRecord(state)) == state);
        });
    }

    void deltaGivesTargetTables()
    {
        checkProperty("applying the delta gives the target's tables", [] {
            const auto from = asConfiguration(*anyTables(), 7);
            const auto to = *anyTables();
            const auto delta = makeDelta(from, to);
            const auto next = applyChange(from, delta, 8);
            RC_ASSERT(next.has_value());
            RC_ASSERT((*next)->version == 8U);
            RC_ASSERT((*next)->routes == to.routes);
            RC_ASSERT((*next)->pools == to.pools);
            RC_ASSERT(delta.empty() == (from.routes == to.routes && from.pools == to.pools));
            RC_ASSERT(delta.empty() == describe(delta, from).empty());
            RC_ASSERT(validate((*next)->routes, (*next)->pools).empty());
            for (const auto &rule : to.routes.routes()) {
                RC_ASSERT(*(*next)->routes.find("GET", rule.pathPrefix) == rule);
            }
        });
    }

    void unchangedRowsAreShared()
    {
        const auto from = asConfiguration({route_table(), pool_table({makePool("a", {1}), makePool("b", {2})})}, 1);
        const auto next = applyChange(from, table_delta {{}, {}, {makePool("b", {3})}, {}, {}}, 2);
        CPPUNIT_ASSERT((*next)->pools.findShared(pool_name("a")) == from.pools.findShared(pool_name("a")));
        CPPUNIT_ASSERT((*next)->pools.findShared(pool_name("b")) != from.pools.findShared(pool_name("b")));
    }

    // Guards against an exception or invalid tables from a corrupted record.
    void mutatedTextIsDecodedOrRefused()
    {
        checkProperty("a record with changed bytes decodes or is an error, and applying it gives valid tables or faults", [] {
            const auto tables = *anyTables();
            const auto from = asConfiguration(*anyTables(), 7);
            auto text = publicationText("x", from, tables);
            const auto changes = *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
                rc::gen::pair(rc::gen::inRange<std::size_t>(0, text.size()), rc::gen::element('0', '9', '"', '{', '}', '[', ']', ',', '-', 'e', '\0', '\xff')));
            for (const auto &[position, byte] : changes) {
                text[position] = byte;
            }
            const auto record = decodeRecord(text);
            if (record && std::holds_alternative<publication>(*record)) {
                const auto next = applyChange(from, std::get<publication>(*record).change, 8);
                RC_ASSERT(!next || validate((*next)->routes, (*next)->pools).empty());
            }
        });
        checkProperty("random bytes are an error", [](const std::string &bytes) {
            RC_ASSERT(!decodeRecord(bytes).has_value());
        });
    }

    // Guards against deep nesting, excessive size, numbers out of range, and missing, contradictory or unknown fields.
    void hostileTextsAreRefused()
    {
        const auto errorOf = [](const std::string &text) {
            const auto record = decodeRecord(text);
            CPPUNIT_ASSERT_MESSAGE(text.substr(0, 80), !record.has_value());
            return record.error().error;
        };
        CPPUNIT_ASSERT(errorOf(std::string(100'000, '[')) == record_error::NotJson);
        CPPUNIT_ASSERT(errorOf("{\"a\":" + std::string(50'000, '[')) == record_error::NotJson);
        CPPUNIT_ASSERT(errorOf(std::string(kMaxRecordBytes + 1, ' ')) == record_error::TooLarge);
        CPPUNIT_ASSERT(errorOf("{\"kind\":\"lease\"}") == record_error::UnknownKind);
        CPPUNIT_ASSERT(errorOf("[]") == record_error::UnknownKind);
        const std::string head = R"({"kind":"publication","id":"x","base":)";
        for (const auto *const base : {"1e400", "-1", "18446744073709551616", "9223372036854775808", "1.5", "\"1\"", "null", "[]"}) {
            errorOf(head + base + R"(,"delta":{}})");
        }
        CPPUNIT_ASSERT(decodeRecord(head + R"(1,"delta":{}})").has_value());
        errorOf(head + R"(1})");
        errorOf(head + R"(1,"delta":{},"tables":{"routes":[],"pools":[]}})");
        errorOf(head + R"(1,"delta":{},"colour":"red"})");
        errorOf(head + R"(1,"delta":{"pools_set":[{"name":"p","slots":99999999999,"connections":1,"endpoints":{}}]}})");
        errorOf(head + R"(1,"delta":{"pools_set":[{"name":"p","slots":1,"connections":1,"endpoints":{"a":["1.2.3.4:99999"]}}]}})");
        errorOf(R"({"kind":"state","version":9,"as_of":8,"tables":{"routes":[],"pools":[]}})");
    }

    void invalidChangeIsRefused()
    {
        const auto from = asConfiguration(simpleTables(4), 1);
        const auto refused = [&](const table_delta &delta) {
            return !applyChange(from, delta, 2).has_value();
        };
        CPPUNIT_ASSERT(refused({{}, {}, {}, {pool_name("p")}, {}})); // a route still uses the pool
        CPPUNIT_ASSERT(refused({{}, {route_name("none")}, {}, {}, {}}));
        CPPUNIT_ASSERT(refused({{}, {}, {}, {pool_name("none")}, {}}));
        CPPUNIT_ASSERT(refused({{makeRoute("s", "none")}, {}, {}, {}, {}}));
        CPPUNIT_ASSERT(refused({{makeRoute("s", "p"), makeRoute("s", "p")}, {}, {}, {}, {}}));
        CPPUNIT_ASSERT(refused({{}, {}, {}, {}, {{pool_name("none"), {}, {}}}}));
        CPPUNIT_ASSERT(refused({{}, {}, {}, {}, {{pool_name("p"), {}, {makeEndpoint(9).address}}}}));
        auto overlapping = makeRoute("s", "p");
        overlapping.pathPrefix = "/r/";
        CPPUNIT_ASSERT(refused({{overlapping}, {}, {}, {}, {}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(record_test);

} // namespace

} // namespace sequoiawharf
