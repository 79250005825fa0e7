#include "gateway_rig.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <atomic>

namespace sequoiawharf
{

namespace
{

using namespace testing;

constexpr std::string_view kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Field: 1\r\n\r\nwhole";
constexpr std::string_view kChunkedAnswer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";

/// How a target closes a connection before the answer is complete.
enum class connection_end { Reset, Close };

void endConnection(target_peer &peer, connection_end kind)
{
    if (kind == connection_end::Reset) {
        peer.reset();
    } else {
        peer.close();
    }
}

/// Guards against calls that run twice, and against wrong, truncated or mixed up answers, when a connection breaks or the target violates HTTP.
class reset_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(reset_test);
    CPPUNIT_TEST(resetWithinRequestRunsAtMostOnce);
    CPPUNIT_TEST(resetWithinRequestOnReusedConnectionRunsAtMostOnce);
    CPPUNIT_TEST(resetWithinAnswerIsUnknownWhenNotIdempotent);
    CPPUNIT_TEST(closeWithinAnswerIsUnknownWhenNotIdempotent);
    CPPUNIT_TEST(truncatedAnswerOfIdempotentCallIsRetried);
    CPPUNIT_TEST(truncatedLargeAnswerIsNotComplete);
    CPPUNIT_TEST(resetDuringUploadDoesNotCompleteTheAnswer);
    CPPUNIT_TEST(orderlyEndDuringUploadCompletesTheAnswer);
    CPPUNIT_TEST(truncatedUploadDoesNotRun);
    CPPUNIT_TEST(malformedAnswersAreNotForwarded);
    CPPUNIT_TEST(invalidAnswersAreNotForwarded);
    CPPUNIT_TEST(invalidAnswersOfIdempotentCallsAreRetried);
    CPPUNIT_TEST(declaredRefusalIsNotRun);
    CPPUNIT_TEST(refusedConnectionIsNotRun);
    CPPUNIT_TEST(unsolicitedBytesCloseTheConnection);
    CPPUNIT_TEST(bytesAfterTheAnswerCloseTheConnection);
    CPPUNIT_TEST(lateAnswerReachesNoOtherCall);
    CPPUNIT_TEST(concurrentCallsGetTheirOwnAnswers);
    CPPUNIT_TEST_SUITE_END();

public:
    void resetWithinRequestRunsAtMostOnce()
    {
        std::atomic<std::size_t> position {0};
        const fake_target target([&](target_peer &peer) {
            peer.readBytes(position);
            peer.reset();
        });
        gateway_rig rig({&target});
        for (std::size_t i = 0; i < requestSize(); ++i) {
            position = i;
            const int before = target.connections();
            test_caller caller(rig.address());
            const auto received = caller.call("POST", "/bookings", "one flat");
            // A reset at position 0 may arrive before the request is sent, which proves that the call was not run.
            const bool isExpected = received.ending() == "unknown" || (i == 0 && received.ending() == "not-run");
            CPPUNIT_ASSERT_MESSAGE(fmt::format("position {}", i), isExpected);
            CPPUNIT_ASSERT_EQUAL(before + 1, target.connections());
            CPPUNIT_ASSERT_EQUAL(0, target.runs());
        }
    }

    void resetWithinRequestOnReusedConnectionRunsAtMostOnce()
    {
        std::atomic<std::size_t> position {0};
        std::atomic<int> partial {0};
        const fake_target target([&](target_peer &peer) {
            peer.readRequest();
            peer.answer("warm");
            partial += peer.readBytes(position).empty() ? 0 : 1;
            peer.reset();
        });
        gateway_rig rig({&target});
        for (std::size_t i = 1; i < requestSize(); i += 7) {
            position = i;
            partial = 0;
            test_caller caller(rig.address());
            CPPUNIT_ASSERT_EQUAL(std::string("answered"), caller.call("GET", "/warm").ending());
            const auto received = caller.call("POST", "/bookings", "one flat");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("position {}", i), std::string("unknown"), received.ending());
            CPPUNIT_ASSERT_EQUAL(1, partial.load());
        }
    }

    void resetWithinAnswerIsUnknownWhenNotIdempotent()
    {
        truncateAnswers(kAnswer, connection_end::Reset);
        truncateAnswers(kChunkedAnswer, connection_end::Reset);
    }

    void closeWithinAnswerIsUnknownWhenNotIdempotent()
    {
        truncateAnswers(kAnswer, connection_end::Close);
        truncateAnswers(kChunkedAnswer, connection_end::Close);
    }

    void truncatedAnswerOfIdempotentCallIsRetried()
    {
        for (const auto kind : {connection_end::Reset, connection_end::Close}) {
            std::atomic<std::size_t> position {0};
            const fake_target bad([&](target_peer &peer) {
                peer.readRequest();
                peer.send(kAnswer.substr(0, position));
                endConnection(peer, kind);
            });
            const fake_target good(alwaysAnswer("whole"));
            gateway_rig rig({&bad, &good});
            for (std::size_t i = 0; i < kAnswer.size(); ++i) {
                position = i;
                rig.start(); // with a new retry budget
                test_caller caller(rig.address());
                const auto received = caller.call("GET", "/quotes");
                CPPUNIT_ASSERT_EQUAL_MESSAGE(fmt::format("position {}", i), std::string("answered whole"), received.ending() + " " + received.body);
            }
        }
    }

    void truncatedLargeAnswerIsNotComplete()
    {
        const std::string part(300'000, 'x');
        for (const std::string_view framing : {"Content-Length: 900000", "Transfer-Encoding: chunked"}) {
            const fake_target target([&](target_peer &peer) {
                peer.readRequest();
                peer.send(fmt::format("HTTP/1.1 200 OK\r\n{}\r\n\r\n", framing));
                peer.send(framing.starts_with("T") ? fmt::format("{:x}\r\n{}\r\n", part.size(), part) : part);
            });
            gateway_rig rig({&target});
            test_caller caller(rig.address());
            const auto received = caller.call("GET", "/photo");
            CPPUNIT_ASSERT_EQUAL(200U, received.status);
            CPPUNIT_ASSERT(!received.isWhole);
            CPPUNIT_ASSERT_EQUAL(1, target.runs());
        }
    }

    /// Guards against an answer without a length that ends with a reset and is forwarded as complete: the pending write of the upload takes the reset
    /// from the socket, and the read then sees an orderly end.
    void resetDuringUploadDoesNotCompleteTheAnswer()
    {
        for (const std::string_view answer : {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart",
                                              "HTTP/1.0 200 OK\r\n\r\npart",
                                              "HTTP/1.1 200 OK\r\n\r\npart",
                                              "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\npart"}) {
            for (const auto isChunked : {false, true}) {
                const fake_target target(resetDuringUpload(std::string(answer)));
                gateway_rig rig({&target});
                const auto received = uploadAndRead(rig.address(), "/big", isChunked);
                const auto what = fmt::format("{} chunked={} status={} body={}", answer, isChunked, received.status, received.body);
                CPPUNIT_ASSERT_MESSAGE(what, !received.isWhole || (received.status == 502 && received.ending() == "unknown"));
            }
        }
    }

    /// Guards against the opposite error: an answer without a length that ended in an orderly way before the reset is complete.
    void orderlyEndDuringUploadCompletesTheAnswer()
    {
        for (const auto isChunked : {false, true}) {
            const fake_target target([](target_peer &peer) {
                peer.readBytes(2000);
                peer.send("HTTP/1.1 413 Content Too Large\r\nConnection: close\r\n\r\nwhole");
                peer.finishSending();
                std::this_thread::sleep_for(std::chrono::milliseconds(150));
                peer.reset();
            });
            gateway_rig rig({&target});
            const auto received = uploadAndRead(rig.address(), "/big", isChunked);
            CPPUNIT_ASSERT(received.isWhole);
            CPPUNIT_ASSERT_EQUAL(std::string("413 answered whole"), fmt::format("{} {} {}", received.status, received.ending(), received.body));
        }
    }

    void truncatedUploadDoesNotRun()
    {
        const fake_target target([](target_peer &peer) {
            if (!peer.readRequest().empty()) {
                peer.answer("taken");
            }
        });
        gateway_rig rig({&target});
        for (const std::string_view framing : {"Content-Length: 900000", "Transfer-Encoding: chunked"}) {
            for (const std::size_t size : {10U, 200'000U}) {
                test_caller caller(rig.address());
                caller.send(fmt::format("POST /big HTTP/1.1\r\nHost: h\r\n{}\r\n\r\n", framing));
                caller.send(fmt::format("{:x}\r\n", 900'000) + std::string(size, 'x'));
                caller.close();
            }
        }
        CPPUNIT_ASSERT(eventually([&] {
            return rig.server().callsInFlight() == 0;
        }));
        CPPUNIT_ASSERT_EQUAL(0, target.runs());
    }

    void malformedAnswersAreNotForwarded()
    {
        const std::vector<std::string> answers {
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabc",
            "SMTP ready\r\n\r\n",
            "HTTP/1.1 200 OK\nContent-Length: 0\n\n",
            "HTTP/1.1 200 OK\r\nA: " + std::string(20'000, 'x') + "\r\n\r\n",
        };
        std::atomic<std::size_t> index {0};
        const fake_target target([&](target_peer &peer) {
            peer.readRequest();
            peer.send(answers[index]);
        });
        gateway_rig rig({&target});
        for (std::size_t i = 0; i < answers.size(); ++i) {
            index = i;
            test_caller caller(rig.address());
            const auto received = caller.call("POST", "/");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answers[i].substr(0, 80), std::string("unknown bad-answer"), received.ending() + " " + received.reason());
        }
    }

    /// Guards against a status or field name that violates HTTP and reaches the caller.
    void invalidAnswersAreNotForwarded()
    {
        for (const auto &answer : invalidAnswers()) {
            const fake_target target([&](target_peer &peer) {
                peer.readRequest();
                peer.send(answer);
            });
            gateway_rig rig({&target});
            test_caller caller(rig.address());
            const auto received = caller.call("POST", "/");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                answer, std::string("502 unknown bad-answer"), fmt::format("{} {} {}", received.status, received.ending(), received.reason()));
        }
    }

    void invalidAnswersOfIdempotentCallsAreRetried()
    {
        for (const auto &answer : invalidAnswers()) {
            const fake_target bad([&](target_peer &peer) {
                peer.readRequest();
                peer.send(answer);
            });
            const fake_target good(alwaysAnswer("whole"));
            gateway_rig rig({&bad, &good});
            test_caller caller(rig.address());
            for (int i = 0; i < 2; ++i) {
                const auto received = caller.call("GET", "/quotes");
                CPPUNIT_ASSERT_EQUAL_MESSAGE(answer, std::string("answered whole"), received.ending() + " " + received.body);
            }
        }
    }

    void declaredRefusalIsNotRun()
    {
        const fake_target target([](target_peer &peer) {
            while (!peer.readRequest().empty() && peer.answer("shed", "503 Service Unavailable")) { }
        });
        gateway_rig rig({&target});
        test_caller caller(rig.address());
        const auto received = caller.call("POST", "/bookings", "x");
        CPPUNIT_ASSERT_EQUAL(std::string("not-run target-refused"), received.ending() + " " + received.reason());
        CPPUNIT_ASSERT_EQUAL(1, target.runs()); // the target saw the request, and declared that it did not run it
        CPPUNIT_ASSERT_EQUAL(std::string("not-run"), caller.call("GET", "/quotes").ending());
    }

    void refusedConnectionIsNotRun()
    {
        gateway_rig rig({});
        rig.targetPool.endpoints.push_back({{"127.10.1.1", 1}, data_centre_id("a"), false});
        rig.start();
        test_caller caller(rig.address());
        const auto received = caller.call("POST", "/bookings", "x");
        CPPUNIT_ASSERT_EQUAL(std::string("not-run connect-failed"), received.ending() + " " + received.reason());
    }

    void unsolicitedBytesCloseTheConnection()
    {
        const fake_target target([](target_peer &peer) {
            peer.readRequest();
            peer.answer("own");
            peer.answer("unasked");
            peer.waitForClose();
        });
        gateway_rig rig({&target});
        test_caller caller(rig.address());
        for (int i = 1; i <= 5; ++i) {
            CPPUNIT_ASSERT_EQUAL(std::string("own"), caller.call("GET", "/").body);
            std::this_thread::sleep_for(std::chrono::milliseconds(20)); // lets the bytes arrive; the outcome does not depend on it
        }
        CPPUNIT_ASSERT_EQUAL(5, target.connections());
    }

    void bytesAfterTheAnswerCloseTheConnection()
    {
        const fake_target target([](target_peer &peer) {
            peer.readRequest();
            peer.send(std::string(kAnswer) + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother");
            peer.waitForClose();
        });
        gateway_rig rig({&target});
        test_caller caller(rig.address());
        for (int i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT_EQUAL(std::string("whole"), caller.call("POST", "/").body);
        }
        CPPUNIT_ASSERT_EQUAL(3, target.connections());
    }

    void lateAnswerReachesNoOtherCall()
    {
        const fake_target target([](target_peer &peer) {
            for (auto request = peer.readRequest(); !request.empty(); request = peer.readRequest()) {
                if (request.starts_with("GET /short")) {
                    std::this_thread::sleep_for(std::chrono::milliseconds(300));
                    peer.answer("late");
                    return;
                }
                peer.answer("own");
            }
        });
        gateway_rig rig({&target});
        test_caller caller(rig.address());
        CPPUNIT_ASSERT_EQUAL(std::string("unknown deadline-passed"), caller.call("GET", "/short").endingAndReason());
        for (int i = 0; i < 10; ++i) {
            CPPUNIT_ASSERT_EQUAL(std::string("own"), caller.call("GET", "/").body);
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    void concurrentCallsGetTheirOwnAnswers()
    {
        const auto echo = [](target_peer &peer) {
            for (auto request = peer.readRequest(); !request.empty(); request = peer.readRequest()) {
                std::this_thread::sleep_for(std::chrono::microseconds(request.size() * 7919 % 1000));
                peer.answer(request.substr(request.find("\r\n\r\n") + 4));
            }
        };
        const fake_target first(echo);
        const fake_target second(echo);
        gateway_rig rig({&first, &second}, nullptr, 2);
        rig.targetPool.maxConnections = 250;
        rig.start();
        std::atomic<int> wrong {0};
        std::vector<std::thread> callers;
        callers.reserve(8);
        for (int i = 0; i < 8; ++i) {
            callers.emplace_back([&, i] {
                test_caller caller(rig.address());
                for (int n = 0; n < 30; ++n) {
                    const auto body = fmt::format("{}-{}", i, n * 31);
                    wrong += caller.call("POST", "/echo", body).body == body ? 0 : 1;
                }
            });
        }
        for (auto &thread : callers) {
            thread.join();
        }
        CPPUNIT_ASSERT_EQUAL(0, wrong.load());
        CPPUNIT_ASSERT_EQUAL(240, first.runs() + second.runs());
    }

private:
    // Returns the size of the request of a POST "/bookings" with "one flat" as a target receives it.
    static std::size_t requestSize()
    {
        constexpr std::string_view kBody = "one flat";
        std::size_t size = 0;
        const fake_target target([&](target_peer &peer) {
            std::string text;
            while (!text.ends_with(kBody)) {
                text += peer.readBytes(1);
            }
            size = text.size();
            peer.answer("x");
        });
        gateway_rig rig({&target});
        test_caller caller(rig.address());
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), caller.call("POST", "/bookings", kBody).ending());
        return size;
    }

    // Cuts the answer at each position, and expects that the call, which is not idempotent, runs once and never counts as answered.
    static void truncateAnswers(std::string_view answer, connection_end kind)
    {
        std::atomic<std::size_t> position {0};
        const fake_target target([&](target_peer &peer) {
            peer.readRequest();
            peer.send(answer.substr(0, position));
            endConnection(peer, kind);
        });
        gateway_rig rig({&target});
        for (std::size_t i = 0; i < answer.size(); ++i) {
            position = i;
            const int before = target.runs();
            test_caller caller(rig.address());
            const auto received = caller.call("POST", "/bookings", "one flat");
            CPPUNIT_ASSERT_MESSAGE(fmt::format("position {}", i), received.ending() == "unknown" || (received.status == 200 && !received.isWhole));
            CPPUNIT_ASSERT_EQUAL(before + 1, target.runs());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(reset_test);

} // namespace

} // namespace sequoiawharf
