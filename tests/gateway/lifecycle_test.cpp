#include "gateway_rig.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>

namespace sequoiawharf
{

namespace
{

using namespace testing;

using std::chrono::milliseconds;

/// Simulates an instance of another region.
class fake_relay : public relay_client
{
public:
    bool canRelay(const pool_name & /*pool*/, mono_time /*now*/, centre_mask /*allowed*/) const override
    {
        return true;
    }
    boost::asio::awaitable<relay_outcome> relay(const pool_name & /*pool*/,
                                                const call_head & /*head*/,
                                                mono_time /*deadline*/,
                                                centre_mask /*allowed*/,
                                                body_source &body,
                                                answer_sink &answer) override
    {
        relays += 1;
        if (result != relay_outcome::kind::Delivered) {
            co_return relay_outcome {result};
        }
        std::string text(100, '\0');
        const auto count = co_await body.read(text);
        text.resize(count.value_or(0));
        answer_head head;
        head.contentLength = text.size();
        head.bodyFollows = true;
        co_await answer.start(head);
        co_await answer.write(text);
        co_await answer.finish();
        co_return relay_outcome {relay_outcome::kind::Delivered};
    }

    std::atomic<relay_outcome::kind> result {relay_outcome::kind::Delivered};
    std::atomic<int> relays {0};
};

class lifecycle_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(lifecycle_test);
    CPPUNIT_TEST(relaysWhenThePoolIsEmpty);
    CPPUNIT_TEST(failedRelayReportsWhetherTheCallMayHaveRun);
    CPPUNIT_TEST(stopFinishesCallsInFlight);
    CPPUNIT_TEST(finishCutsCallsAtItsDeadline);
    CPPUNIT_TEST(idleCallersAreClosed);
    CPPUNIT_TEST_SUITE_END();

public:
    void relaysWhenThePoolIsEmpty()
    {
        fake_relay relay;
        gateway_rig rig({}, &relay);
        test_caller caller(rig.address());
        const auto received = caller.call("POST", "/bookings", "one flat");
        CPPUNIT_ASSERT_EQUAL(std::string("answered one flat"), received.ending() + " " + received.body);
        CPPUNIT_ASSERT_EQUAL(1, relay.relays.load());
    }

    // Guards against a second run of a call that is not idempotent: after a lost relay the ending is unknown, and there is no further relay.
    void failedRelayReportsWhetherTheCallMayHaveRun()
    {
        fake_relay relay;
        gateway_rig rig({}, &relay);
        test_caller caller(rig.address());
        relay.result = relay_outcome::kind::NotSent;
        CPPUNIT_ASSERT_EQUAL(std::string("not-run"), caller.call("POST", "/bookings", "x").ending());
        relay.result = relay_outcome::kind::Lost;
        relay.relays = 0;
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), caller.call("POST", "/bookings", "x").ending());
        CPPUNIT_ASSERT_EQUAL(1, relay.relays.load());
    }

    // Guards against calls cut or refused during a graceful stop: calls continue after beginStop(), and finish() waits for them.
    void stopFinishesCallsInFlight()
    {
        const fake_target target([](target_peer &peer) {
            while (!peer.readRequest().empty()) {
                std::this_thread::sleep_for(milliseconds(2));
                peer.answer("x");
            }
        });
        gateway_rig rig({&target}, nullptr, 2);
        rig.targetPool.maxConnections = 250;
        rig.start();
        std::atomic<int> failed {0};
        std::atomic<int> answered {0};
        std::atomic<bool> callersStop {false};
        std::vector<std::thread> callers;
        callers.reserve(4);
        for (int i = 0; i < 4; ++i) {
            callers.emplace_back([&] {
                while (!callersStop) {
                    test_caller caller(rig.address());
                    bool keepsConnection = true;
                    while (keepsConnection && !callersStop) {
                        const auto received = caller.call("POST", "/", "x");
                        failed += received.ending() == "answered" ? 0 : 1;
                        answered += 1;
                        keepsConnection = received.isWhole && !received.fields.contains("connection");
                    }
                }
            });
        }
        const test_caller idle(rig.address());
        CPPUNIT_ASSERT(eventually([&] {
            return answered > 20;
        }));
        rig.server().beginStop({.answerBy = std::chrono::steady_clock::now() + std::chrono::seconds(20)});
        const int before = answered;
        CPPUNIT_ASSERT(eventually([&] {
            return answered > before + 20; // calls are still answered
        }));
        callersStop = true; // as callers do when their directory answer has expired
        std::ranges::for_each(callers, &std::thread::join);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, rig.server().finish(milliseconds(10'000)));
        CPPUNIT_ASSERT_EQUAL(0, failed.load());
    }

    // Guards against calls that outlive the gateway: finish() cuts three stuck calls at its deadline, and their connections are closed.
    void finishCutsCallsAtItsDeadline()
    {
        const fake_target target([](target_peer &peer) {
            peer.readBytes(10);
            peer.waitForClose();
        });
        test_caller *callers[3] = {};
        {
            gateway_rig rig({&target}, nullptr, 2);
            rig.targetPool.maxConnections = 250;
            rig.start();
            for (auto *&caller : callers) {
                caller = new test_caller(rig.address());
            }
            callers[0]->send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
            callers[1]->send("POST /big HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n" + std::string(100'000, 'x'));
            callers[2]->send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx");
            CPPUNIT_ASSERT(eventually([&] {
                return rig.server().callsInFlight() == 3 && target.connections() >= 2;
            }));
            CPPUNIT_ASSERT_EQUAL(std::size_t {3}, rig.server().finish(milliseconds(20)));
        }
        for (auto *caller : callers) {
            CPPUNIT_ASSERT(caller->isClosed());
            delete caller;
        }
    }

    void idleCallersAreClosed()
    {
        const fake_target target(alwaysAnswer("x"));
        gateway_rig rig({&target});
        rig.settings.limits.idleTimeout = milliseconds(100);
        rig.start();
        test_caller silent(rig.address());
        test_caller slow(rig.address());
        slow.send("GET / HTT");
        test_caller idle(rig.address());
        CPPUNIT_ASSERT_EQUAL(200U, idle.call("GET", "/").status);
        CPPUNIT_ASSERT(silent.isClosed() && slow.isClosed() && idle.isClosed());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lifecycle_test);

} // namespace

} // namespace sequoiawharf
