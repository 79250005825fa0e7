#include "src/base/yaml_fields.h"

#include "tests/property.h"

#include <fmt/format.h>

namespace sequoiawharf
{

namespace
{

class yaml_fields_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(yaml_fields_test);
    CPPUNIT_TEST(formattedAddressesParseUnchanged);
    CPPUNIT_TEST(refusesInvalidAddresses);
    CPPUNIT_TEST(readsDurations);
    CPPUNIT_TEST(randomTextIsParsedOrRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void formattedAddressesParseUnchanged()
    {
        testing::checkProperty("a formatted address parses as itself", [](std::uint8_t a, std::uint8_t b, std::uint16_t port) {
            RC_PRE(port != 0);
            const host_port address {fmt::format("127.{}.{}.1", a, b), port};
            RC_ASSERT(parseHostPort(toString(address)) == address);
        });
    }

    void refusesInvalidAddresses()
    {
        for (const auto *text : {"", ":80", "127.0.0.1", "127.0.0.999:80", "127.0.0.1:0", "127.0.0.1:65536", "host.example:80", "127.0.0.1:8a"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !parseHostPort(text).has_value());
        }
    }

    void readsDurations()
    {
        CPPUNIT_ASSERT(parseDuration("250ms") == std::chrono::milliseconds(250));
        CPPUNIT_ASSERT(parseDuration("10s") == std::chrono::seconds(10));
        CPPUNIT_ASSERT(parseDuration("2min") == std::chrono::minutes(2));
        for (const auto *text : {"", "10", "-1s", "1.5s", "s", "99999999999s"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !parseDuration(text).has_value());
        }
    }

    void randomTextIsParsedOrRefused()
    {
        testing::checkProperty("a text that parses as an address has a port and a host", [](const std::string &text) {
            const auto address = parseHostPort(text);
            RC_ASSERT(!address || (address->port != 0 && !address->host.empty()));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(yaml_fields_test);

} // namespace

} // namespace sequoiawharf
