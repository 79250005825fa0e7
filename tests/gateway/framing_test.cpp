#include "../property.h"
#include "gateway_rig.h"

#include "src/shell/gateway/header_rules.h"

#include <fmt/format.h>

#include <mutex>

namespace sequoiawharf
{

namespace
{

using namespace testing;

class framing_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(framing_test);
    CPPUNIT_TEST(refusesAmbiguousFraming);
    CPPUNIT_TEST(refusesBadChunks);
    CPPUNIT_TEST(refusesLargeHeaders);
    CPPUNIT_TEST(survivesHostileCallers);
    CPPUNIT_TEST(survivesHostileTargets);
    CPPUNIT_TEST(readsReportedLoad);
    CPPUNIT_TEST_SUITE_END();

public:
    void refusesAmbiguousFraming()
    {
        const fake_target target(alwaysAnswer("x"));
        gateway_rig rig({&target});
        const std::vector<std::string> requests {
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\nabc",
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc",
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -3\r\n\r\nabc",
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0x3\r\n\r\nabc",
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999999\r\n\r\nabc",
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n\r\n",
            "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
            "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
            "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
            "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding:\x0b chunked\r\n\r\n0\r\n\r\n",
            "GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c: d\r\n\r\n",
            "GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n\tc\r\n\r\n",
            "GET / HTTP/1.1\r\n Host: h\r\n\r\n",
            "GET / HTTP/1.1\r\nHost: h\r\nA b: c\r\n\r\n",
            "GET / HTTP/1.1\r\nHost: h\r\n: c\r\n\r\n",
            "GET / HTTP/1.1\r\nHost: h\r\nA\r\n\r\n",
            "GET / HTTP/1.1\r\nHost: h\nA: b\r\n\r\n",
            "GET / HTTP/1.1\nHost: h\n\n",
            "GET / HTTP/1.1\r\nHost: h\r\nA: b\rc\r\n\r\n",
            "GET / HTTP/1.1\r\nHost: h\r\nA: b" + std::string(1, '\0') + "c\r\n\r\n",
            "GET / HTTP/1.1\r\n\r\n",
            "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
            "GET  / HTTP/1.1\r\nHost: h\r\n\r\n",
            "GET / HTTP/2.7\r\nHost: h\r\n\r\n",
            "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
            "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n",
            "CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n",
            "G@T / HTTP/1.1\r\nHost: h\r\n\r\n",
            "hello\r\n\r\n",
        };
        for (const auto &request : requests) {
            test_caller caller(rig.address());
            caller.send(request);
            const auto received = caller.read();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(request, 400U, received.status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(request, std::string("not-run bad-request"), received.ending() + " " + received.reason());
            CPPUNIT_ASSERT_MESSAGE(request, received.body.size() > 10 && caller.isClosed());
        }
        CPPUNIT_ASSERT_EQUAL(0, target.runs());
    }

    void refusesBadChunks()
    {
        const fake_target target(alwaysAnswer("x"));
        gateway_rig rig({&target});
        for (const std::string_view chunks : {"zz\r\nab\r\n0\r\n\r\n",
                                              "-1\r\nab\r\n0\r\n\r\n",
                                              "2\r\nabc\r\n0\r\n\r\n",
                                              "2\nab\r\n0\r\n\r\n",
                                              "ffffffffffffffffff\r\nab\r\n0\r\n\r\n",
                                              "0x2\r\nab\r\n0\r\n\r\n",
                                              "2 \r\nab\r\n0\r\n\r\n x"}) {
            test_caller caller(rig.address());
            caller.send(fmt::format("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n{}", chunks));
            const auto received = caller.read();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(chunks), std::string("400 not-run"), fmt::format("{} {}", received.status, received.ending()));
        }
        CPPUNIT_ASSERT_EQUAL(0, target.runs());
    }

    void refusesLargeHeaders()
    {
        const fake_target target(alwaysAnswer("x"));
        gateway_rig rig({&target});
        test_caller caller(rig.address());
        const auto received = caller.call("GET", "/", {}, fmt::format("A: {}\r\n", std::string(17'000, 'x')));
        CPPUNIT_ASSERT_EQUAL(431U, received.status);
        CPPUNIT_ASSERT_EQUAL(std::string("not-run"), received.ending());
    }

    // Guards against malformed requests that crash or block the gateway: after each randomly edited request, another caller gets its answer.
    void survivesHostileCallers()
    {
        const fake_target target(alwaysAnswer("x"));
        gateway_rig rig({&target});
        rig.targetPool.maxConnections = 250;
        rig.start();
        const std::string valid = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nab\r\n0\r\n\r\n";
        checkProperty("hostile callers do not stop the gateway", [&] {
            test_caller caller(rig.address());
            caller.send(withRandomEdits(valid));
            caller.close();
            test_caller honest(rig.address());
            RC_ASSERT(honest.call("GET", "/").ending() == "answered");
        });
    }

    // Guards against malformed answers that crash or block the gateway: after each randomly edited answer, the caller still gets an answer.
    void survivesHostileTargets()
    {
        std::mutex guard;
        std::string answer;
        const auto current = [&] {
            const std::lock_guard lock(guard);
            return answer;
        };
        const fake_target target([&](target_peer &peer) {
            peer.readRequest();
            peer.send(current());
        });
        gateway_rig rig({&target});
        const std::string valid = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nab\r\n0\r\n\r\n";
        checkProperty("hostile targets do not stop the gateway", [&] {
            auto next = withRandomEdits(valid);
            {
                const std::lock_guard lock(guard);
                answer = std::move(next);
            }
            test_caller caller(rig.address());
            const auto received = caller.call("POST", "/");
            RC_ASSERT(received.status != 0U);
        });
    }

    void readsReportedLoad()
    {
        CPPUNIT_ASSERT_EQUAL(0.75F, parseReportedLoad("TEXT application_utilization=0.75").value());
        CPPUNIT_ASSERT_EQUAL(0.5F, parseReportedLoad("TEXT cpu_utilization=0.1, application_utilization=0.5, eps=3").value());
        for (const std::string_view text :
             {"", "JSON {}", "TEXT application_utilization=", "TEXT application_utilization=-1", "TEXT application_utilization=nan"}) {
            CPPUNIT_ASSERT(!parseReportedLoad(text));
        }
    }

private:
    // Returns the text with one to five random bytes replaced, removed or inserted.
    static std::string withRandomEdits(std::string text)
    {
        const auto edits = *rc::gen::inRange(1, 6);
        for (int i = 0; i < edits && !text.empty(); ++i) {
            const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
            const auto byte = *rc::gen::arbitrary<char>();
            switch (*rc::gen::inRange(0, 3)) {
            case 0:
                text[position] = byte;
                break;
            case 1:
                text.erase(position, 1);
                break;
            default:
                text.insert(position, 1, byte);
            }
        }
        return text;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(framing_test);

} // namespace

} // namespace sequoiawharf
