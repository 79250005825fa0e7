#include "src/shell/instance/endpoint_page.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>

namespace sequoiawharf
{

namespace
{

endpoint_page pageOf(std::size_t endpoints)
{
    endpoint_page page {.changes = {.records = {}, .next = 900, .isSnapshot = true}, .age = std::chrono::milliseconds(40), .configuration = {7, true, 12}};
    for (std::size_t i = 0; i < endpoints; ++i) {
        endpoint_entry entry {.identity = fmt::format("i-{:08x}", i * 2'654'435'761U),
                              .incarnation = 1'788'244'353'740 + i,
                              .sequence = i,
                              .pool = pool_name(fmt::format("pool{}", i % 4)),
                              .address = {fmt::format("10.{}.64.{}", i % 8, i / 8), 8787},
                              .dataCentre = data_centre_id(fmt::format("centre-{}", i % 8)),
                              .slots = 4};
        page.changes.records.push_back({entry.identity, 100 + i, entry});
    }
    return page;
}

/// The page by which instances of a data centre follow their reader.
class endpoint_page_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(endpoint_page_test);
    CPPUNIT_TEST(pagesKeepTheirContent);
    CPPUNIT_TEST(aPageStatesTheAgeOfTheProof);
    CPPUNIT_TEST(pagesTellEvacuations);
    CPPUNIT_TEST(pagesKeepTheEras);
    CPPUNIT_TEST(damagedPagesAreRejected);
    CPPUNIT_TEST(aStartingDataCentreGetsItsPagesWithinHalfASecond);
    CPPUNIT_TEST_SUITE_END();

public:
    void pagesKeepTheirContent()
    {
        for (const std::size_t count : {0U, 1U, 600U}) {
            auto page = pageOf(count);
            page.changes.records.push_back({"removed", 5, std::nullopt});
            const auto read = parseEndpointPage(formatEndpointPage(page, formatEndpointRecords(page.changes.records)));
            CPPUNIT_ASSERT(read && read->age == page.age && read->configuration == page.configuration);
            CPPUNIT_ASSERT(read->changes.next == 900 && read->changes.isSnapshot && read->changes.records.size() == count + 1);
            CPPUNIT_ASSERT(!read->changes.records.back().entry);
            if (count > 0) {
                const auto &entry = *read->changes.records.front().entry;
                const auto &expected = *page.changes.records.front().entry;
                CPPUNIT_ASSERT(entry.address == expected.address && entry.incarnation == expected.incarnation && entry.pool == expected.pool);
            }
        }
    }

    // Guards against a page of an earlier build, or of an instance without a proof, that counts as a proof.
    void aPageStatesTheAgeOfTheProof()
    {
        auto page = pageOf(1);
        const auto records = formatEndpointRecords(page.changes.records);
        const auto without = formatEndpointPage(page, records);
        CPPUNIT_ASSERT(without.find("proof") == std::string::npos && !parseEndpointPage(without)->configuration.proofAge);
        page.configuration.proofAge = std::chrono::milliseconds(1200);
        CPPUNIT_ASSERT(parseEndpointPage(formatEndpointPage(page, records))->configuration.proofAge == std::chrono::milliseconds(1200));
    }

    // Guards against an evacuation that an instance ends because its reader, of an earlier build, does not tell of it.
    void pagesTellEvacuations()
    {
        auto page = pageOf(1);
        const auto records = formatEndpointRecords(page.changes.records);
        const auto untold = formatEndpointPage(page, records);
        CPPUNIT_ASSERT(untold.find("evacuations") == std::string::npos && !parseEndpointPage(untold)->configuration.evacuations);
        for (const auto &centres : {std::set<data_centre_id> {}, std::set {data_centre_id("a"), data_centre_id("b")}}) {
            page.configuration.evacuations = evacuation_state {.centres = centres, .asOf = 12};
            const auto read = parseEndpointPage(formatEndpointPage(page, records));
            CPPUNIT_ASSERT(read && read->configuration == page.configuration);
        }
    }

    // Guards against positions that lose their era on the way, and against a page of one era that earlier builds cannot read.
    void pagesKeepTheEras()
    {
        auto page = pageOf(2);
        page.changes.next = {3, 900};
        page.configuration.next = {2, 12};
        page.configuration.evacuations = evacuation_state {.centres = {}, .asOf = {2, 11}};
        page.changes.records.front().position = {2, 100};
        page.changes.records.back().position = {3, 101};
        page.changes.records.push_back({"removed", {3, 5}, std::nullopt});
        page.changes.records.push_back({"removed before", {2, 950}, std::nullopt});
        const auto read = parseEndpointPage(formatEndpointPage(page, formatEndpointRecords(page.changes.records, 3)));
        CPPUNIT_ASSERT(read && read->changes.next == page.changes.next && read->configuration == page.configuration);
        CPPUNIT_ASSERT(std::ranges::equal(read->changes.records, page.changes.records, {}, &discovery_record::position, &discovery_record::position));
        CPPUNIT_ASSERT(!read->changes.records.back().entry && read->changes.records.front().entry);
        const std::vector<discovery_record> ofOneEra {{"removed", {3, 5}, std::nullopt}};
        CPPUNIT_ASSERT_EQUAL(formatEndpointRecords({{"removed", 5, std::nullopt}}), formatEndpointRecords(ofOneEra, 3));
        CPPUNIT_ASSERT(parseEndpointPageQuery({{"from", "7"}}) == log_position(7));
        CPPUNIT_ASSERT(parseEndpointPageQuery({{"from", "7"}, {"era", "2"}}) == log_position(2, 7));
        CPPUNIT_ASSERT(!parseEndpointPageQuery({{"era", "2"}}) && !parseEndpointPageQuery({{"from", "7"}, {"era", "x"}}));
    }

    void damagedPagesAreRejected()
    {
        const auto page = pageOf(600);
        const auto text = formatEndpointPage(page, formatEndpointRecords(page.changes.records));
        for (const std::size_t length : {std::size_t {0}, std::size_t {10}, text.find('\n'), text.find('\n') + 1, text.size() / 2}) {
            CPPUNIT_ASSERT(!parseEndpointPage(text.substr(0, length)));
        }
        CPPUNIT_ASSERT(!parseEndpointPage("{}\n[]") && !parseEndpointPage("\n\n"));
    }

    // When a data centre of 40 instances starts, two of them send all 600 endpoints to the others, over links of 20 Mbit/s.
    void aStartingDataCentreGetsItsPagesWithinHalfASecond()
    {
        constexpr double kLinkBytesPerSecond = 20e6 / 8;
        constexpr double kPagesPerReader = 20;
        const auto page = pageOf(600);
        const auto bytes = static_cast<double>(formatEndpointPage(page, formatEndpointRecords(page.changes.records)).size());
        CPPUNIT_ASSERT_LESS(0.5, kPagesPerReader * bytes / kLinkBytesPerSecond);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_page_test);

} // namespace

} // namespace sequoiawharf
