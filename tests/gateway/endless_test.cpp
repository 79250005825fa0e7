#include "gateway_rig.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <atomic>
#include <thread>

namespace sequoiawharf
{

namespace
{

using namespace testing;

using namespace std::chrono_literals;

// Routes of the rig allow 10 s, so an answer within this time does not come from a deadline.
constexpr std::chrono::seconds kPromptly {5};

/// An answer that never ends: its beginning, and a piece that follows again and again until the gateway closes the connection.
struct endless_answer {
    std::string_view name;
    std::string beginning;
    std::string piece;
};

std::vector<endless_answer> endlessHeads()
{
    const std::string line(4000, 'x');
    return {
        {"bytes without a line end", "", line},
        {"a status line", "HTTP/1.1 200 ", line},
        {"one header field", "HTTP/1.1 200 OK\r\nX-Field: ", line},
        {"many header fields", "HTTP/1.1 200 OK\r\n", "X-Field: 1\r\n"},
        {"empty lines", "", "\r\n\r\n"},
        {"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
    };
}

std::vector<endless_answer> endlessFraming()
{
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    return {
        {"a chunk size", head, "0"},
        {"a chunk extension", head + "5;", std::string(4000, 'x')},
        {"one trailer field", head + "5\r\nwhole\r\n0\r\nX-Field: ", std::string(4000, 'x')},
        {"many trailer fields", head + "5\r\nwhole\r\n0\r\n", "X-Field: 1\r\n"},
    };
}

/// Targets whose answers do not end until the gateway closes the connection.
class endless_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(endless_test);
    CPPUNIT_TEST(endlessHeadsEndTheCallAndCloseTheConnection);
    CPPUNIT_TEST(endlessFramingEndsTheCallAndClosesTheConnection);
    CPPUNIT_TEST(endlessBytesAfterAnAnswerReachNoCaller);
    CPPUNIT_TEST(endlessBodyIsNeverComplete);
    CPPUNIT_TEST(singleBytesForEverEndAtTheDeadline);
    CPPUNIT_TEST(endlessProbeAnswersCloseTheConnection);
    CPPUNIT_TEST_SUITE_END();

public:
    void endlessHeadsEndTheCallAndCloseTheConnection()
    {
        assertEndedPromptly(endlessHeads());
    }

    void endlessFramingEndsTheCallAndClosesTheConnection()
    {
        assertEndedPromptly(endlessFraming());
    }

    void endlessBytesAfterAnAnswerReachNoCaller()
    {
        std::atomic<int> closed {0};
        const fake_target target([&](target_peer &peer) {
            peer.readRequest();
            peer.answer("whole");
            sendUntilClosed(peer, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
            ++closed;
        });
        gateway_rig rig({&target});
        test_caller caller(rig.address());
        for (int i = 1; i <= 3; ++i) {
            const auto received = caller.call("POST", "/", "x");
            CPPUNIT_ASSERT_EQUAL(std::string("whole"), received.body);
            CPPUNIT_ASSERT(eventually([&] {
                return closed == i;
            }));
        }
    }

    void endlessBodyIsNeverComplete()
    {
        for (const auto *const framing : {"", "Transfer-Encoding: chunked\r\n"}) {
            std::atomic<bool> isClosed {false};
            const fake_target target([&](target_peer &peer) {
                peer.readRequest();
                peer.send(fmt::format("HTTP/1.1 200 OK\r\n{}\r\n", framing));
                sendUntilClosed(peer, std::string_view(framing).starts_with('T') ? "5\r\nwhole\r\n" : "whole");
                isClosed = true;
            });
            gateway_rig rig({&target});
            test_caller caller(rig.address());
            const auto received = caller.call("GET", "/short");
            CPPUNIT_ASSERT_MESSAGE(framing, !received.isWhole || received.ending() == "unknown");
            CPPUNIT_ASSERT(eventually([&] {
                return isClosed.load();
            }));
        }
    }

    void singleBytesForEverEndAtTheDeadline()
    {
        for (const auto *const beginning : {"", "HTTP/1.1 200 OK\r\nX-Field: ", "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"}) {
            std::atomic<bool> isClosed {false};
            const fake_target target([&](target_peer &peer) {
                peer.readRequest();
                peer.send(beginning);
                while (peer.send("x")) {
                    std::this_thread::sleep_for(5ms);
                }
                isClosed = true;
            });
            gateway_rig rig({&target});
            test_caller caller(rig.address());
            const auto received = caller.call("POST", "/short", "x");
            CPPUNIT_ASSERT_MESSAGE(beginning, !received.isWhole || received.ending() == "unknown");
            CPPUNIT_ASSERT(eventually([&] {
                return isClosed.load();
            }));
        }
    }

    void endlessProbeAnswersCloseTheConnection()
    {
        auto answers = endlessHeads();
        answers.push_back({"a body without length", "HTTP/1.1 200 OK\r\n\r\n", std::string(4000, 'x')});
        answers.push_back({"a chunked body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nwhole\r\n"});
        std::ranges::for_each(answers, [](const endless_answer &endless) {
            std::atomic<std::uint64_t> sent {0};
            std::atomic<bool> isClosed {false};
            const fake_target target([&](target_peer &peer) {
                peer.readRequest();
                peer.send(endless.beginning);
                sent += sendUntilClosed(peer, endless.piece);
                isClosed = true;
            });
            gateway_rig rig({&target});
            rig.startProbing();
            test_caller caller(rig.address());
            const auto received = caller.call("GET", "/short");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(endless.name), std::string("not-run"), received.ending());
            CPPUNIT_ASSERT(eventually([&] {
                return isClosed.load();
            }));
            CPPUNIT_ASSERT_MESSAGE(fmt::format("{}: {} bytes were taken", endless.name, sent.load()), sent < kMaxTakenBytes);
        });
    }

private:
    // The buffers of the two sockets hold several megabytes, besides the 64 KB that the gateway reads.
    static constexpr std::uint64_t kMaxTakenBytes = 16U << 20U;

    // Returns the number of bytes that were sent.
    static std::uint64_t sendUntilClosed(target_peer &peer, std::string_view piece)
    {
        std::string pieces;
        while (pieces.size() < 4000) {
            pieces += piece;
        }
        std::uint64_t sent = 0;
        while (peer.send(pieces)) {
            sent += pieces.size();
        }
        return sent;
    }

    static void assertEndedPromptly(const std::vector<endless_answer> &answers)
    {
        std::ranges::for_each(answers, [](const endless_answer &endless) {
            std::atomic<bool> isClosed {false};
            const fake_target target([&](target_peer &peer) {
                peer.readRequest();
                peer.send(endless.beginning);
                sendUntilClosed(peer, endless.piece);
                isClosed = true;
            });
            gateway_rig rig({&target});
            test_caller caller(rig.address());
            const auto started = std::chrono::steady_clock::now();
            const auto received = caller.call("POST", "/", "x");
            CPPUNIT_ASSERT_MESSAGE(std::string(endless.name), std::chrono::steady_clock::now() - started < kPromptly);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(endless.name), std::string("unknown"), received.ending());
            CPPUNIT_ASSERT(eventually([&] {
                return isClosed.load();
            }));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endless_test);

} // namespace

} // namespace sequoiawharf
