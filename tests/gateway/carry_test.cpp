#include "gateway_rig.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace sequoiawharf
{

namespace
{

using namespace testing;

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

class carry_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(carry_test);
    CPPUNIT_TEST(answersSeveralCallsOnOneConnection);
    CPPUNIT_TEST(removesHopByHopFields);
    CPPUNIT_TEST(streamsLargeBodiesBothWays);
    CPPUNIT_TEST(forwardsChunkedBodies);
    CPPUNIT_TEST(answersHead);
    CPPUNIT_TEST(answersPipelinedCallsInOrder);
    CPPUNIT_TEST(sendsContinueBeforeReadingAnUpload);
    CPPUNIT_TEST(skipsInterimAnswers);
    CPPUNIT_TEST(forwardsAnEarlyAnswerToAnUpload);
    CPPUNIT_TEST(refusesUnknownRoutesAndLargeBodies);
    CPPUNIT_TEST(refusesWhileNotReady);
    CPPUNIT_TEST(answersTheDirectory);
    CPPUNIT_TEST(refusesConnectionsOverTheLimit);
    CPPUNIT_TEST(exportsMetrics);
    CPPUNIT_TEST_SUITE_END();

public:
    void answersSeveralCallsOnOneConnection()
    {
        const fake_target target(alwaysAnswer("hello"));
        gateway_rig rig({&target});
        test_caller caller(rig.address());
        for (int i = 0; i < 3; ++i) {
            const auto received = caller.call("GET", "/quotes?x=1");
            CPPUNIT_ASSERT(received.isWhole);
            CPPUNIT_ASSERT_EQUAL(200U, received.status);
            CPPUNIT_ASSERT_EQUAL(std::string("hello"), received.body);
            CPPUNIT_ASSERT_EQUAL(std::string("answered"), received.ending());
            CPPUNIT_ASSERT_EQUAL(std::size_t {16}, received.fields.at("sequoiawharf-call").size());
        }
        CPPUNIT_ASSERT_EQUAL(1, target.connections());
        CPPUNIT_ASSERT_EQUAL(3, target.runs());
    }

    void removesHopByHopFields()
    {
        std::string request;
        const fake_target target([&](target_peer &peer) {
            request = peer.readRequest();
            peer.answer("x", "200 OK", "X-Kept: 1\r\nX-Hop: 2\r\nConnection: X-Hop\r\nKeep-Alive: 5\r\nSequoiawharf-Ending: unknown\r\n");
        });
        gateway_rig rig({&target});
        test_caller caller(rig.address());
        const auto received = caller.call("GET", "/", {}, "Connection: X-Drop, Host\r\nX-Drop: 1\r\nTE: trailers\r\nX-Keep: 2\r\nSequoiawharf-Depth: 3\r\n");
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), received.ending());
        CPPUNIT_ASSERT(received.fields.contains("x-kept") && !received.fields.contains("x-hop") && !received.fields.contains("keep-alive"));
        CPPUNIT_ASSERT(contains(request, "X-Keep: 2") && contains(request, "Host: test"));
        CPPUNIT_ASSERT(!contains(request, "X-Drop") && !contains(request, "TE:") && !contains(request, "Connection"));
        CPPUNIT_ASSERT(contains(request, "Sequoiawharf-Depth: 4") && contains(request, "Sequoiawharf-Caller: 127."));
        CPPUNIT_ASSERT(contains(request, "Sequoiawharf-Deadline-Ms: "));
    }

    void streamsLargeBodiesBothWays()
    {
        const std::string body(3'000'000, 'u');
        const fake_target target([&](target_peer &peer) {
            const auto request = peer.readRequest();
            const auto head = request.find("\r\n\r\n");
            if (head != std::string::npos) {
                peer.answer(request.substr(head + 4));
            }
        });
        gateway_rig rig({&target});
        test_caller caller(rig.address());
        const auto received = caller.call("POST", "/big", body);
        CPPUNIT_ASSERT(received.isWhole && received.body == body);
    }

    void forwardsChunkedBodies()
    {
        std::string request;
        const fake_target target([&](target_peer &peer) {
            request = peer.readRequest();
            peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nX-Trailer: 1\r\n\r\n");
            peer.readRequest();
            peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n1\r\nz\r\n0\r\n\r\n");
            peer.waitForClose();
        });
        gateway_rig rig({&target});
        test_caller caller(rig.address());
        caller.send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n");
        const auto received = caller.read();
        CPPUNIT_ASSERT(received.isWhole);
        CPPUNIT_ASSERT_EQUAL(std::string("abcde"), received.body);
        CPPUNIT_ASSERT(contains(request, "Content-Length: 2") && request.ends_with("\r\n\r\nhi"));
        CPPUNIT_ASSERT_EQUAL(std::string("z"), caller.call("GET", "/b").body);
    }

    void answersHead()
    {
        const fake_target target([](target_peer &peer) {
            peer.readRequest();
            peer.send("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n");
            peer.readRequest();
            peer.send("HTTP/1.1 304 Not Modified\r\nETag: a\r\n\r\n");
            peer.readRequest();
            peer.send("HTTP/1.1 204 No Content\r\n\r\n");
            peer.waitForClose();
        });
        gateway_rig rig({&target});
        test_caller caller(rig.address());
        const auto head = caller.call("HEAD", "/");
        CPPUNIT_ASSERT_EQUAL(200U, head.status);
        CPPUNIT_ASSERT_EQUAL(std::string("7"), head.fields.at("content-length"));
        CPPUNIT_ASSERT_EQUAL(304U, caller.call("GET", "/").status);
        CPPUNIT_ASSERT_EQUAL(204U, caller.call("GET", "/").status);
    }

    void answersPipelinedCallsInOrder()
    {
        const fake_target target([](target_peer &peer) {
            for (auto request = peer.readRequest(); !request.empty(); request = peer.readRequest()) {
                peer.answer(request.substr(0, request.find('\r')));
            }
        });
        gateway_rig rig({&target});
        test_caller caller(rig.address());
        caller.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(std::string("GET /1"), caller.read().body);
        CPPUNIT_ASSERT_EQUAL(std::string("GET /2"), caller.read().body);
    }

    void sendsContinueBeforeReadingAnUpload()
    {
        const fake_target target(alwaysAnswer("done"));
        gateway_rig rig({&target});
        test_caller caller(rig.address());
        caller.send("POST /big HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(100U, caller.read().status);
        caller.send("ab");
        CPPUNIT_ASSERT_EQUAL(std::string("done"), caller.read().body);
    }

    void skipsInterimAnswers()
    {
        const fake_target target([](target_peer &peer) {
            peer.readRequest();
            peer.send("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
            peer.answer("end");
        });
        gateway_rig rig({&target});
        test_caller caller(rig.address());
        CPPUNIT_ASSERT_EQUAL(std::string("end"), caller.call("GET", "/").body);
    }

    void forwardsAnEarlyAnswerToAnUpload()
    {
        const fake_target target([](target_peer &peer) {
            peer.readBytes(1000);
            peer.answer("no", "422 Unprocessable Entity");
            peer.waitForClose();
        });
        gateway_rig rig({&target});
        test_caller caller(rig.address());
        caller.send("POST /big HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n" + std::string(500'000, 'x'));
        const auto received = caller.read();
        CPPUNIT_ASSERT_EQUAL(422U, received.status);
        CPPUNIT_ASSERT_EQUAL(std::string("close"), received.fields.at("connection"));
    }

    void refusesUnknownRoutesAndLargeBodies()
    {
        const fake_target target(alwaysAnswer("x"));
        gateway_rig rig({&target});
        test_caller caller(rig.address());
        const auto large = caller.call("POST", "/a", std::string(1'100'000, 'x'));
        CPPUNIT_ASSERT_EQUAL(413U, large.status);
        CPPUNIT_ASSERT_EQUAL(std::string("not-run"), large.ending());
        CPPUNIT_ASSERT(contains(large.body, "1048576 bytes"));

        test_caller chunked(rig.address());
        chunked.send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
        const auto chunk = fmt::format("10000\r\n{}\r\n", std::string(65536, 'c'));
        for (int i = 0; i < 20 && chunked.send(chunk); ++i) { }
        CPPUNIT_ASSERT_EQUAL(413U, chunked.read().status);
        CPPUNIT_ASSERT_EQUAL(0, target.runs());

        rig.targetPool.endpoints.clear();
        rig.start();
        test_caller again(rig.address());
        const auto empty = again.call("GET", "/a");
        CPPUNIT_ASSERT_EQUAL(std::string("not-run no-target"), empty.ending() + " " + empty.reason());
    }

    void refusesWhileNotReady()
    {
        const fake_target target(alwaysAnswer("x"));
        gateway_rig rig({&target});
        rig.server().setReady(false, "it has no configuration");
        test_caller caller(rig.address());
        const auto received = caller.call("GET", "/");
        CPPUNIT_ASSERT_EQUAL(503U, received.status);
        CPPUNIT_ASSERT_EQUAL(std::string("not-run not-ready"), received.ending() + " " + received.reason());
        CPPUNIT_ASSERT(contains(received.body, "it has no configuration"));
        CPPUNIT_ASSERT_EQUAL(0, target.runs());
    }

    void answersTheDirectory()
    {
        gateway_rig rig({});
        test_caller caller(rig.address());
        const auto received = caller.call("GET", "/.sequoiawharf/directory?near=b");
        CPPUNIT_ASSERT_EQUAL(std::string("{\"lifetime_ms\":5000,\"entries\":[{\"instance\":\"n1\",\"gateway\":\"127.10.0.1:8080\","
                                         "\"data_centre\":\"b\",\"region\":\"north\"}]}\n"),
                             received.body);
    }

    void refusesConnectionsOverTheLimit()
    {
        const fake_target target(alwaysAnswer("x"));
        gateway_rig rig({&target});
        rig.settings.limits.callerConnections = 2;
        rig.start();
        test_caller first(rig.address());
        test_caller second(rig.address());
        CPPUNIT_ASSERT_EQUAL(200U, first.call("GET", "/").status);
        CPPUNIT_ASSERT_EQUAL(200U, second.call("GET", "/").status);
        test_caller third(rig.address());
        const auto received = third.read();
        CPPUNIT_ASSERT(received.isWhole);
        CPPUNIT_ASSERT_EQUAL(std::string("not-run overloaded"), received.ending() + " " + received.reason());
    }

    void exportsMetrics()
    {
        const fake_target target(alwaysAnswer("x"));
        gateway_rig rig({&target});
        test_caller caller(rig.address());
        for (int i = 0; i < 40; ++i) {
            caller.call("GET", "/");
        }
        // A call is counted just after its last byte has left.
        CPPUNIT_ASSERT(eventually([&] {
            return contains(rig.metrics().text(), "sequoiawharf_added_seconds_count{class=\"normal\",thread=\"0\"} 40\n");
        }));
        const auto text = rig.metrics().text();
        CPPUNIT_ASSERT(contains(text, "sequoiawharf_calls_total{ending=\"answered\"} 40\n"));
        CPPUNIT_ASSERT(contains(text, "sequoiawharf_call_bytes_total{direction=\"from_targets\"}"));
        CPPUNIT_ASSERT(!contains(text, "quantile=\"0.99\"} 0.000000000\nsequoiawharf_added_seconds{class=\"normal\""));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(carry_test);

} // namespace

} // namespace sequoiawharf
