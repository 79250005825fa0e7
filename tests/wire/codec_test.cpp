#include "src/wire/codec.h"
#include "tests/property.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

std::string text()
{
    const auto size = *rc::gen::inRange(1, 20);
    return *rc::gen::container<std::string>(static_cast<std::size_t>(size), rc::gen::arbitrary<char>());
}

std::string name()
{
    const auto size = *rc::gen::inRange(1, 30);
    return *rc::gen::container<std::string>(static_cast<std::size_t>(size), rc::gen::inRange('a', 'z'));
}

host_port address()
{
    return {name(), *rc::gen::arbitrary<std::uint16_t>()};
}

member_row row(bool withGateway)
{
    member_row out;
    out.id = instance_id(name());
    out.process = *rc::gen::arbitrary<std::uint64_t>();
    out.gateway = withGateway ? address() : host_port {};
    out.peer = address();
    out.dataCentre = data_centre_id(name());
    out.region = region_id(name());
    out.version = *rc::gen::arbitrary<std::uint64_t>();
    out.beat = *rc::gen::arbitrary<std::uint64_t>();
    out.load = *rc::gen::arbitrary<std::uint8_t>();
    out.linkPercent = *rc::gen::arbitrary<std::uint8_t>();
    out.ready = *rc::gen::arbitrary<bool>();
    out.leaving = *rc::gen::arbitrary<bool>();
    return out;
}

template<typename part, typename maker> std::vector<part> some(maker make)
{
    std::vector<part> all(static_cast<std::size_t>(*rc::gen::inRange(0, 4)));
    std::ranges::generate(all, make);
    return all;
}

centre_summary summary()
{
    centre_summary out {data_centre_id(name()), region_id(name()), *rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint32_t>(), 3, 9, {}};
    out.entries = some<member_row>([&] {
        auto entry = row(*rc::gen::arbitrary<bool>());
        entry.dataCentre = out.dataCentre;
        entry.region = out.region;
        return entry;
    });
    return out;
}

heartbeat_message heartbeat()
{
    heartbeat_message out;
    out.sender = row(true);
    out.receiverStamp = *rc::gen::arbitrary<std::uint64_t>();
    out.beats = some<member_beat>([] {
        return member_beat {*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>(), 7, 200, true, false};
    });
    out.wanted = *rc::gen::arbitrary<std::vector<std::uint64_t>>();
    out.rows = some<member_row>([] {
        return row(true);
    });
    out.centres = some<centre_summary>(summary);
    out.pools = some<centre_pools>([] {
        return centre_pools {data_centre_id(name()), 5, some<pool_summary>([] {
                                 return pool_summary {*rc::gen::arbitrary<std::uint32_t>(), 1, 65'535, *rc::gen::arbitrary<std::uint16_t>(), 255};
                             })};
    });
    out.shares = some<pool_share>([] {
        return pool_share {*rc::gen::arbitrary<std::uint32_t>(), *rc::gen::arbitrary<std::uint16_t>()};
    });
    out.leaving = some<leaving_notice>([] {
        return leaving_notice {pool_name(name()), address(), std::chrono::milliseconds(*rc::gen::inRange(0, 100'000))};
    });
    return out;
}

class codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(codec_test);
    CPPUNIT_TEST(heartbeatsRoundTrip);
    CPPUNIT_TEST(changesRoundTrip);
    CPPUNIT_TEST(randomBytesDecodeToMessageOrError);
    CPPUNIT_TEST(damagedMessagesDecodeToValidMessageOrError);
    CPPUNIT_TEST(invalidFieldsAreReported);
    CPPUNIT_TEST(encodedBoundCoversEncodedSize);
    CPPUNIT_TEST_SUITE_END();

public:
    void heartbeatsRoundTrip()
    {
        testing::checkProperty("a decoded heartbeat equals the encoded one", [] {
            const auto message = heartbeat();
            const auto read = decode(encode(message));
            RC_ASSERT(read.has_value());
            RC_ASSERT(std::get<heartbeat_message>(*read) == message);
        });
    }

    void changesRoundTrip()
    {
        testing::checkProperty("decoded changes equal the encoded ones", [] {
            change_set set;
            set.from = *rc::gen::arbitrary<std::uint64_t>();
            set.asOf = *rc::gen::arbitrary<std::uint64_t>();
            set.state = text();
            set.chain = some<accepted_record>([] {
                return accepted_record {*rc::gen::arbitrary<std::uint64_t>(), text()};
            });
            const auto read = std::get<change_set>(decode(encode(set)).value());
            const auto isSameRecord = [](const accepted_record &a, const accepted_record &b) {
                return a.version == b.version && a.data == b.data;
            };
            RC_ASSERT(read.from == set.from && read.asOf == set.asOf && read.state == set.state);
            RC_ASSERT(std::ranges::equal(read.chain, set.chain, isSameRecord));
            const change_request request {set.from};
            RC_ASSERT(std::get<change_request>(decode(encode(request)).value()) == request);
        });
    }

    void randomBytesDecodeToMessageOrError()
    {
        testing::checkProperty("arbitrary bytes decode to a message or a defined error", [] {
            const auto bytes = *rc::gen::arbitrary<std::vector<char>>();
            const auto read = decode({bytes.data(), bytes.size()});
            if (!read) {
                const auto error = read.error();
                RC_ASSERT(error == codec_error::Malformed || error == codec_error::MissingField || error == codec_error::OutOfRange);
            }
        });
    }

    void damagedMessagesDecodeToValidMessageOrError()
    {
        testing::checkProperty("a truncated message or one with a changed byte decodes to a valid message or an error", [] {
            auto bytes = encode(heartbeat());
            const auto place = static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(bytes.size())));
            const bool cut = *rc::gen::arbitrary<bool>();
            if (cut) {
                bytes.resize(place);
            } else {
                bytes[place] = *rc::gen::arbitrary<char>();
            }
            const auto read = decode(bytes);
            const auto *const message = read ? std::get_if<heartbeat_message>(&*read) : nullptr;
            const bool isValid = message == nullptr || (!message->sender.id.empty() && !message->sender.peer.host.empty());
            RC_ASSERT(isValid);
        });
    }

    void invalidFieldsAreReported()
    {
        CPPUNIT_ASSERT(decode("").error() == codec_error::MissingField);
        CPPUNIT_ASSERT(decode("\xff\xff\xff").error() == codec_error::Malformed);
        heartbeat_message message;
        CPPUNIT_ASSERT(decode(encode(message)).error() == codec_error::MissingField);
        message.sender.id = instance_id("a");
        message.sender.peer = {"127.0.0.1", 1};
        CPPUNIT_ASSERT(decode(encode(message)).error() == codec_error::MissingField);
        message.sender.dataCentre = data_centre_id("a");
        message.sender.region = region_id("r");
        CPPUNIT_ASSERT(decode(encode(message)).has_value());
        message.sender.region = region_id("r\n");
        CPPUNIT_ASSERT(decode(encode(message)).error() == codec_error::OutOfRange);
        message.sender.region = region_id("r");
        // The port's varint 0x01 becomes 0xa2 0x04 with the lengths around it raised by one: 546 fits; 0xff 0xff 0x04 does not.
        auto bytes = encode(message);
        const auto host = bytes.find("127.0.0.1");
        bytes.replace(host + 10, 1, "\xff\xff\x04");
        bytes[host - 3] = static_cast<char>(bytes[host - 3] + 2);
        bytes[3] = static_cast<char>(bytes[3] + 2);
        bytes[1] = static_cast<char>(bytes[1] + 2);
        CPPUNIT_ASSERT(decode(bytes).error() == codec_error::OutOfRange);
    }

    void encodedBoundCoversEncodedSize()
    {
        testing::checkProperty("encodedBound() is at least the encoded size", [] {
            const auto message = heartbeat();
            RC_ASSERT(encode(message).size() <= encodedBound(message));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(codec_test);

} // namespace

} // namespace sequoiawharf
