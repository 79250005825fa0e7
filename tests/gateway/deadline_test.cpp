#include "gateway_rig.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <atomic>

namespace sequoiawharf
{

namespace
{

using namespace testing;

std::string endingOf(const received_answer &seen)
{
    return seen.ending() + " " + seen.reason();
}

class deadline_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(deadline_test);
    CPPUNIT_TEST(deadlineWhileReadingTheRequestIsNotRun);
    CPPUNIT_TEST(deadlineBeforeTheAnswerIsUnknown);
    CPPUNIT_TEST(deadlineWithinAHeldAnswerIsUnknown);
    CPPUNIT_TEST(deadlineWithinAStreamedAnswerIsVisible);
    CPPUNIT_TEST(deadlineWhileTheCallerDoesNotRead);
    CPPUNIT_TEST(deadlineWithinAnUploadIsUnknown);
    CPPUNIT_TEST(callersHeaderLowersTheDeadline);
    CPPUNIT_TEST(callerGoneCancelsTheTarget);
    CPPUNIT_TEST(callerGoneAfterAnUploadCancelsTheTarget);
    CPPUNIT_TEST_SUITE_END();

public:
    void deadlineWhileReadingTheRequestIsNotRun()
    {
        const fake_target target(alwaysAnswer("x"));
        gateway_rig rig({&target});
        test_caller caller(rig.address());
        caller.send("POST /short HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nab");
        CPPUNIT_ASSERT_EQUAL(std::string("not-run deadline-passed"), endingOf(caller.read()));
        CPPUNIT_ASSERT_EQUAL(0, target.runs());
    }

    void deadlineBeforeTheAnswerIsUnknown()
    {
        late("");
    }

    void deadlineWithinAHeldAnswerIsUnknown()
    {
        late("HTTP/1.1 200 OK\r\nContent-Le");
        late("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
    }

    void deadlineWithinAStreamedAnswerIsVisible()
    {
        const fake_target target([](target_peer &peer) {
            peer.readRequest();
            peer.send("HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + std::string(100'000, 'x'));
            CPPUNIT_ASSERT(peer.waitForClose());
        });
        gateway_rig rig({&target});
        test_caller caller(rig.address());
        const auto seen = caller.call("GET", "/short");
        CPPUNIT_ASSERT_EQUAL(200U, seen.status);
        CPPUNIT_ASSERT(!seen.isWhole);
    }

    void deadlineWhileTheCallerDoesNotRead()
    {
        std::string body;
        body.resize(30'000'000, 'x'); // more than the buffers between hold
        const fake_target target([&](target_peer &peer) {
            peer.readRequest();
            peer.send(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.size()));
            peer.send(body);
        });
        gateway_rig rig({&target});
        test_caller caller(rig.address());
        caller.send("GET / HTTP/1.1\r\nHost: h\r\nSequoiawharf-Deadline-Ms: 500\r\n\r\n");
        CPPUNIT_ASSERT(eventually([&] {
            return target.runs() == 1 && rig.server().callsInFlight() == 0;
        }));
        CPPUNIT_ASSERT(!caller.read().isWhole);
    }

    void deadlineWithinAnUploadIsUnknown()
    {
        const fake_target target([](target_peer &peer) {
            peer.waitForClose();
        });
        gateway_rig rig({&target});
        test_caller caller(rig.address());
        caller.send("POST /short HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n" + std::string(100'000, 'x'));
        CPPUNIT_ASSERT_EQUAL(std::string("unknown deadline-passed"), endingOf(caller.read()));
    }

    void callersHeaderLowersTheDeadline()
    {
        const fake_target target([](target_peer &peer) {
            peer.readRequest();
            peer.waitForClose();
        });
        gateway_rig rig({&target});
        test_caller caller(rig.address());
        CPPUNIT_ASSERT_EQUAL(std::string("unknown deadline-passed"), endingOf(caller.call("POST", "/", "x", "Sequoiawharf-Deadline-Ms: 100\r\n")));
        CPPUNIT_ASSERT_EQUAL(std::string("not-run"), caller.call("POST", "/", "x", "Sequoiawharf-Deadline-Ms: 0\r\n").ending());
    }

    void callerGoneCancelsTheTarget()
    {
        goneAfter("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        goneAfter("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab");
    }

    void callerGoneAfterAnUploadCancelsTheTarget()
    {
        goneAfter("POST /big HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n" + std::string(300'000, 'x'));
    }

private:
    // A target that sends the beginning of an answer and no more.
    static void late(const std::string &beginning)
    {
        const fake_target target([&](target_peer &peer) {
            peer.readRequest();
            peer.send(beginning);
            CPPUNIT_ASSERT(peer.waitForClose());
        });
        gateway_rig rig({&target});
        test_caller caller(rig.address());
        CPPUNIT_ASSERT_EQUAL(std::string("unknown deadline-passed"), endingOf(caller.call("POST", "/short", "x")));
        CPPUNIT_ASSERT_EQUAL(1, target.runs());
    }

    static void goneAfter(const std::string &request)
    {
        std::atomic<int> cancelled {0};
        const fake_target target([&](target_peer &peer) {
            peer.readRequest();
            cancelled += peer.waitForClose() ? 1 : 0;
        });
        gateway_rig rig({&target});
        test_caller caller(rig.address());
        caller.send(request);
        CPPUNIT_ASSERT(eventually([&] {
            return target.runs() == 1;
        }));
        caller.close();
        CPPUNIT_ASSERT(eventually([&] {
            return cancelled == 1 && rig.server().callsInFlight() == 0;
        }));
        CPPUNIT_ASSERT_EQUAL(1, target.runs());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(deadline_test);

} // namespace

} // namespace sequoiawharf
