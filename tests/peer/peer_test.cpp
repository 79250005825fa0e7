#include "sequoiawharf/link_budget.h"
#include "src/shell/net/page_server.h"
#include "src/shell/net/pause.h"
#include "src/shell/peer/link_pacer.h"
#include "src/shell/peer/peer_client.h"
#include "src/shell/peer/peer_relay.h"
#include "src/shell/peer/peer_server.h"
#include "src/shell/peer/peer_stream.h"
#include "tests/property.h"
#include "tools/link/link_relay.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nghttp2/nghttp2.h>

#include <algorithm>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;
using clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

const host_port kFar {"127.13.0.1", 17301};
const host_port kRelayedFar {"127.13.0.4", 17302}; // reaches kFar through a link that can lose its connections
const peer_identity kSelf {instance_id("near"), 7};
const peer_identity kFarSelf {instance_id("far"), 9};

/// A body that is read to its end, or fails with PeerGone after its bytes.
class fixed_body : public body_source
{
public:
    explicit fixed_body(std::string bytes, bool fails = false)
        : m_bytes(std::move(bytes))
        , m_fails(fails)
    {
    }
    stream_awaitable<std::size_t> read(std::span<char> buffer) override
    {
        if (cancelled) {
            co_return tl::unexpected(stream_error::TimedOut);
        }
        const auto size = std::min(buffer.size(), m_bytes.size() - m_read);
        std::copy_n(m_bytes.data() + m_read, size, buffer.data());
        m_read += size;
        if (size == 0 && m_fails) {
            co_return tl::unexpected(stream_error::PeerGone);
        }
        co_return size;
    }
    void cancel() override
    {
        cancelled = true;
    }
    std::size_t bytesRead() const
    {
        return m_read;
    }

    bool cancelled = false;

private:
    std::string m_bytes;
    std::size_t m_read = 0;
    bool m_fails;
};

/// Records an answer and how it ended.
class recorded_answer : public answer_sink
{
public:
    stream_awaitable<std::size_t> start(const answer_head &answer) override
    {
        started = true;
        head = answer;
        co_return std::size_t {0};
    }
    stream_awaitable<std::size_t> write(std::span<const char> bytes) override
    {
        body.append(bytes.data(), bytes.size());
        co_return bytes.size();
    }
    stream_awaitable<std::size_t> finish() override
    {
        finished = true;
        co_return std::size_t {0};
    }
    void abort() override
    {
        aborted = true;
    }
    bool isReceiverGone() const override
    {
        return gone;
    }

    void onReceiverGone(std::function<void()> action) override
    {
        receiverGoneAction = std::move(action);
    }

    std::function<void()> receiverGoneAction;
    answer_head head;
    std::string body;
    bool started = false;
    bool finished = false;
    bool aborted = false;
    bool gone = false;
};

/// Handles calls with a function that each test sets.
class scripted_handler : public call_handler
{
public:
    using script = std::function<asio::awaitable<void>(const call_head &, body_source &, answer_sink &)>;

    asio::awaitable<void> handle(call_head head, body_source &body, answer_sink &answer) override
    {
        ++calls;
        last = head;
        co_await run(head, body, answer);
    }

    script run;
    call_head last;
    int calls = 0;
};

class fixed_chooser : public relay_chooser
{
public:
    bool available(const pool_name &, mono_time, centre_mask) const override
    {
        return target.has_value();
    }
    std::optional<relay_target> choose(const pool_name &, mono_time, random_source &, centre_mask) const override
    {
        return target;
    }

    std::optional<relay_target> target = relay_target {kFarSelf.instance, kFarSelf.process, kFar, region_id("south")};
};

asio::awaitable<std::string> readAll(body_source &body)
{
    std::string all;
    std::vector<char> buffer(10'000);
    while (true) {
        const auto size = co_await body.read(buffer);
        if (!size || *size == 0) {
            co_return size ? all : "cut";
        }
        all.append(buffer.data(), *size);
    }
}

asio::awaitable<void> reply(answer_sink &answer, std::string body, bool complete, bool announced)
{
    answer_head head;
    head.status = 201;
    head.headers = {{"Content-Type", "text/plain"}};
    head.contentLength = announced ? std::optional<std::uint64_t>(body.size() + (complete ? 0 : 1)) : std::nullopt;
    co_await answer.start(head);
    co_await answer.write(body);
    if (complete) {
        co_await answer.finish();
    } else {
        answer.abort();
    }
}

// Sends a request like one for the changes of the configuration.
asio::awaitable<tl::expected<std::string, peer_error>> requestChanges(peer_client &client, std::string body)
{
    co_return co_await client.request(kRelayedFar, std::move(body), 10s, kPingAfterPause);
}

/// A server of a far instance, and a relay and a control client that connect to it, on one context.
struct peer_pair {
    peer_pair()
        : traffic(std::make_shared<peer_traffic>())
        , server(context, services())
        , relay({kSelf, &chooser, nullptr, {}, traffic}, 1)
        , client(traffic)
    {
        CPPUNIT_ASSERT(server.start(kFar));
    }

    peer_services services()
    {
        const auto echo = [this](std::string request) -> asio::awaitable<tl::expected<std::string, unsigned>> {
            ++controlCalls;
            if (request == "bad") {
                co_return tl::unexpected(400U);
            }
            co_return "echo " + request;
        };
        return {kFarSelf, echo, &handler, nullptr, {}, traffic};
    }

    void run(asio::awaitable<void> work)
    {
        asio::co_spawn(context, std::move(work), [this](const std::exception_ptr &failure) {
            error = failure;
            context.stop();
        });
        context.run();
        context.restart();
        if (error) {
            std::rethrow_exception(error);
        }
    }

    relay_outcome::kind call(std::string body, std::chrono::milliseconds deadline = 5s)
    {
        fixed_body source(std::move(body), bodyFails);
        relay_outcome outcome;
        call_head head;
        head.id = 0xabc;
        head.method = "POST";
        head.path = "/bookings?x=1";
        head.headers = {{"Host", "warmhome"}, {"X-Trace", "t"}, {"Sequoiawharf-Depth", "99"}};
        head.caller = caller_id("crew");
        head.depth = 3;
        run([&]() -> asio::awaitable<void> {
            outcome = co_await relay.relay(pool_name("bookings"), head, clock::now() + deadline, kAllCentres, source, answer);
        }());
        sourceRead = source.bytesRead();
        return outcome.result;
    }

    tl::expected<std::string, peer_error> control(std::string body)
    {
        tl::expected<std::string, peer_error> result;
        run([&]() -> asio::awaitable<void> {
            result = co_await client.request(kFar, std::move(body), 2s);
        }());
        return result;
    }

    asio::io_context context {1};
    std::shared_ptr<peer_traffic> traffic;
    scripted_handler handler;
    fixed_chooser chooser;
    peer_server server;
    peer_relay relay;
    peer_client client;
    recorded_answer answer;
    std::exception_ptr error;
    int controlCalls = 0;
    std::size_t sourceRead = 0;
    bool bodyFails = false;
};

class peer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(peer_test);
    CPPUNIT_TEST(answersControlRequests);
    CPPUNIT_TEST(reconnectsAfterTheServerClosed);
    CPPUNIT_TEST(silentConnectionIsReplaced);
    CPPUNIT_TEST(aRequestFindsOutSoonThatItsConnectionIsSilent);
    CPPUNIT_TEST(bulkIsPacedAndUrgentIsNot);
    CPPUNIT_TEST(carriesWholeCall);
    CPPUNIT_TEST(carriesLargeBodiesBothWays);
    CPPUNIT_TEST(unreadBodyAppliesBackpressure);
    CPPUNIT_TEST(truncatedAnswerIsNeverFinished);
    CPPUNIT_TEST(lostConnectionMidAnswerAborts);
    CPPUNIT_TEST(lostConnectionBeforeAnswerIsLost);
    CPPUNIT_TEST(wrongIncarnationIsNotSent);
    CPPUNIT_TEST(refusedConnectionIsNotSent);
    CPPUNIT_TEST(stoppedServerIsNotSent);
    CPPUNIT_TEST(stopLetsCallsFinish);
    CPPUNIT_TEST(passedDeadlineIsLost);
    CPPUNIT_TEST(callerGoneCancelsFarCall);
    CPPUNIT_TEST(receiverGoneCancelsFarCall);
    CPPUNIT_TEST(relayedCallIsNotRelayedAgain);
    CPPUNIT_TEST(refusalKeepsEndingAndReason);
    CPPUNIT_TEST_SUITE_END();

public:
    void answersControlRequests()
    {
        peer_pair pair;
        CPPUNIT_ASSERT_EQUAL(std::string("echo hello"), pair.control("hello").value());
        CPPUNIT_ASSERT_EQUAL(std::string("echo "), pair.control("").value());
        const std::string big(500'000, 'b');
        CPPUNIT_ASSERT_EQUAL("echo " + big, pair.control(big).value());
        CPPUNIT_ASSERT(pair.control("bad").error() == peer_error::Refused);
        CPPUNIT_ASSERT(pair.control(std::string(2'000'000, 'c')).error() != peer_error::NotSent);
    }

    /// Guards against a client that keeps using a connection after the server closed it: one of the next two requests must succeed.
    void reconnectsAfterTheServerClosed()
    {
        peer_pair pair;
        CPPUNIT_ASSERT(pair.control("a"));
        pair.server.close();
        CPPUNIT_ASSERT(pair.server.start(kFar));
        const auto second = pair.control("b");
        const auto third = pair.control("c");
        CPPUNIT_ASSERT(second || third);
    }

    /// Guards against a control connection that never answers and is used for every later request.
    void silentConnectionIsReplaced()
    {
        peer_pair pair;
        pair.server.close();
        // Accepts connections and never answers, like a connection whose state was lost by a middlebox.
        asio::ip::tcp::acceptor silent(pair.context);
        CPPUNIT_ASSERT(listenAt(silent, kFar));
        pair.run([&]() -> asio::awaitable<void> {
            const auto result = co_await pair.client.request(kFar, "a", 50ms);
            CPPUNIT_ASSERT(!result && result.error() == peer_error::Lost);
        }());
        boost::system::error_code ignored;
        silent.close(ignored);
        CPPUNIT_ASSERT(pair.server.start(kFar));
        CPPUNIT_ASSERT_EQUAL(std::string("echo b"), pair.control("b").value());
    }

    /// Guards against a configuration that comes into force late because the request for it waits for seconds on a connection that has fallen silent.
    void aRequestFindsOutSoonThatItsConnectionIsSilent()
    {
        constexpr auto kIdleTime = 1500ms; // most connections between instances of a large data centre carry a heartbeat each few seconds
        constexpr auto kMaxDelay = 700ms; // of a bound of 2.5 seconds, which also has to cover the reader's poll and the next query to the reader
        stand_in::link_state link;
        link.forward.delay = link.backward.delay = 0us;
        peer_pair pair;
        CPPUNIT_ASSERT(stand_in::serveMap(pair.context, link, {.listen = kRelayedFar, .server = kFar}));
        tl::expected<std::string, peer_error> answer;
        clock::duration took {};
        pair.run([&]() -> asio::awaitable<void> {
            answer = co_await pair.client.request(kRelayedFar, "a", 2s);
            co_await pauseFor(kIdleTime);
            link.silentUpTo = link.serial;
            const auto begun = clock::now();
            answer = co_await requestChanges(pair.client, "b");
            took = clock::now() - begun;
        }());
        CPPUNIT_ASSERT_EQUAL(std::string("echo b"), answer.value_or("no answer"));
        CPPUNIT_ASSERT(took < kMaxDelay);
    }

    void bulkIsPacedAndUrgentIsNot()
    {
        link_budget budget(100'000);
        link_pacer pacer(budget);
        asio::io_context context(1);
        bool urgentFirst = false;
        int bulkPieces = 0;
        const auto upload = [&]() -> asio::awaitable<void> {
            const auto until = clock::now() + 10s;
            while (bulkPieces < 4) {
                co_await pacer.admit(route_class::Bulk, 4096, until);
                ++bulkPieces;
            }
        };
        const auto lookup = [&]() -> asio::awaitable<void> {
            co_await pacer.admit(route_class::Urgent, 1000, clock::now() + 10s);
            urgentFirst = bulkPieces < 4;
        };
        asio::co_spawn(context, upload(), asio::detached);
        asio::co_spawn(context, lookup(), asio::detached);
        context.run();
        CPPUNIT_ASSERT(urgentFirst);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {16'384}, budget.bytes(route_class::Bulk));
        bool refused = false;
        const auto late = [&]() -> asio::awaitable<void> {
            const auto admitted = co_await pacer.admit(route_class::Bulk, 4096, clock::now());
            refused = !admitted;
        };
        context.restart();
        asio::co_spawn(context, late(), asio::detached);
        context.run();
        CPPUNIT_ASSERT(refused);
    }

    void carriesWholeCall()
    {
        peer_pair pair;
        std::string received;
        pair.handler.run = [&](const call_head &, body_source &body, answer_sink &sink) -> asio::awaitable<void> {
            received = co_await readAll(body);
            co_await reply(sink, "booked", true, true);
        };
        CPPUNIT_ASSERT(pair.call("flat 4") == relay_outcome::kind::Delivered);
        CPPUNIT_ASSERT_EQUAL(std::string("flat 4"), received);
        CPPUNIT_ASSERT(pair.answer.finished && !pair.answer.aborted);
        CPPUNIT_ASSERT_EQUAL(std::string("booked"), pair.answer.body);
        CPPUNIT_ASSERT_EQUAL(201U, pair.answer.head.status);
        const auto &head = pair.handler.last;
        CPPUNIT_ASSERT(head.id == 0xabc && head.depth == 3 && head.relayed && head.method == "POST" && head.path == "/bookings?x=1");
        CPPUNIT_ASSERT(head.caller == caller_id("crew") && head.callerTimeout.value() <= 5s && head.callerTimeout.value() > 1s);
        CPPUNIT_ASSERT_EQUAL(std::string_view("warmhome"), findHeader(head.headers, "host"));
        CPPUNIT_ASSERT_EQUAL(std::string_view("t"), findHeader(head.headers, "x-trace"));
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, head.headers.size());
    }

    void carriesLargeBodiesBothWays()
    {
        peer_pair pair;
        pair.handler.run = [&](const call_head &, body_source &body, answer_sink &sink) -> asio::awaitable<void> {
            auto received = co_await readAll(body);
            co_await reply(sink, std::move(received), true, false);
        };
        std::string photo(3'000'000, 'p');
        random_source random(5);
        std::ranges::generate(photo, [&] {
            return static_cast<char>(random.next());
        });
        CPPUNIT_ASSERT(pair.call(photo, 20s) == relay_outcome::kind::Delivered);
        CPPUNIT_ASSERT(pair.answer.finished && pair.answer.body == photo);
    }

    /// Guards against a relay that reads the whole body from the caller while the far instance reads none of it.
    void unreadBodyAppliesBackpressure()
    {
        peer_pair pair;
        pair.handler.run = [&](const call_head &, body_source &, answer_sink &sink) -> asio::awaitable<void> {
            co_await reply(sink, "no room", true, true);
        };
        CPPUNIT_ASSERT(pair.call(std::string(5'000'000, 'p')) == relay_outcome::kind::Delivered);
        CPPUNIT_ASSERT(pair.answer.finished);
        // One stream window, one chunk in the buffer of the relay, and one chunk in transit.
        CPPUNIT_ASSERT(pair.sourceRead <= (128U << 10U) + 2 * (16U << 10U));
    }

    /// Guards against an answer that the far instance aborts and that reaches the caller as complete.
    void truncatedAnswerIsNeverFinished()
    {
        for (const bool announced : {false, true}) {
            peer_pair pair;
            pair.handler.run = [&](const call_head &, body_source &, answer_sink &sink) -> asio::awaitable<void> {
                co_await reply(sink, std::string(200'000, 'x'), false, announced);
            };
            const auto result = pair.call("q");
            CPPUNIT_ASSERT(!pair.answer.finished);
            CPPUNIT_ASSERT(result == relay_outcome::kind::Lost || pair.answer.aborted);
        }
    }

    /// The connection is lost after parts of the answer of several sizes; none may reach the caller as complete.
    void lostConnectionMidAnswerAborts()
    {
        for (const std::size_t size : {0U, 1U, 70'000U, 300'000U}) {
            peer_pair pair;
            pair.handler.run = [&](const call_head &, body_source &, answer_sink &sink) -> asio::awaitable<void> {
                co_await sink.start({});
                co_await sink.write(std::string(size, 'x'));
                pair.server.close();
            };
            const auto result = pair.call("q");
            CPPUNIT_ASSERT(!pair.answer.finished);
            CPPUNIT_ASSERT(result == relay_outcome::kind::Lost || pair.answer.aborted);
        }
    }

    void lostConnectionBeforeAnswerIsLost()
    {
        peer_pair pair;
        pair.handler.run = [&](const call_head &, body_source &, answer_sink &) -> asio::awaitable<void> {
            pair.server.close();
            co_return;
        };
        CPPUNIT_ASSERT(pair.call("q") == relay_outcome::kind::Lost);
        CPPUNIT_ASSERT(!pair.answer.started);
        CPPUNIT_ASSERT_EQUAL(1, pair.handler.calls);
    }

    /// The far instance must refuse a call that is addressed to another process at the same address.
    void wrongIncarnationIsNotSent()
    {
        peer_pair pair;
        pair.chooser.target->process = 8;
        CPPUNIT_ASSERT(pair.call("q") == relay_outcome::kind::NotSent);
        CPPUNIT_ASSERT_EQUAL(0, pair.handler.calls);
        CPPUNIT_ASSERT(!pair.answer.started);
    }

    void refusedConnectionIsNotSent()
    {
        peer_pair pair;
        pair.server.close();
        CPPUNIT_ASSERT(pair.call("q") == relay_outcome::kind::NotSent);
        pair.chooser.target.reset();
        CPPUNIT_ASSERT(pair.call("q") == relay_outcome::kind::NotSent);
        CPPUNIT_ASSERT(!pair.relay.canRelay(pool_name("bookings"), clock::now(), kAllCentres));
    }

    void stoppedServerIsNotSent()
    {
        peer_pair pair;
        pair.handler.run = [&](const call_head &, body_source &, answer_sink &sink) -> asio::awaitable<void> {
            co_await reply(sink, "ok", true, true);
        };
        CPPUNIT_ASSERT(pair.call("q") == relay_outcome::kind::Delivered);
        pair.server.stop();
        CPPUNIT_ASSERT(pair.call("q") == relay_outcome::kind::NotSent);
        CPPUNIT_ASSERT_EQUAL(1, pair.handler.calls);
    }

    void stopLetsCallsFinish()
    {
        peer_pair pair;
        pair.handler.run = [&](const call_head &, body_source &, answer_sink &sink) -> asio::awaitable<void> {
            pair.server.stop();
            co_await reply(sink, std::string(400'000, 'w'), true, true);
        };
        CPPUNIT_ASSERT(pair.call("q") == relay_outcome::kind::Delivered);
        CPPUNIT_ASSERT(pair.answer.finished && pair.answer.body.size() == 400'000);
    }

    void passedDeadlineIsLost()
    {
        peer_pair pair;
        bool farGone = false;
        pair.handler.run = [&](const call_head &, body_source &body, answer_sink &sink) -> asio::awaitable<void> {
            co_await readAll(body);
            async_signal never;
            while (!sink.isReceiverGone()) {
                co_await never.wait(clock::now() + 5ms);
            }
            farGone = true;
        };
        CPPUNIT_ASSERT(pair.call("q", 60ms) == relay_outcome::kind::Lost);
        pair.run([&]() -> asio::awaitable<void> {
            async_signal never;
            while (!farGone) {
                co_await never.wait(clock::now() + 5ms);
            }
        }());
        CPPUNIT_ASSERT(!pair.answer.started);
    }

    void callerGoneCancelsFarCall()
    {
        peer_pair pair;
        pair.bodyFails = true;
        bool cut = false;
        pair.handler.run = [&](const call_head &, body_source &body, answer_sink &) -> asio::awaitable<void> {
            cut = co_await readAll(body) == "cut";
        };
        CPPUNIT_ASSERT(pair.call(std::string(50'000, 'x')) != relay_outcome::kind::Delivered);
        pair.run([&]() -> asio::awaitable<void> {
            async_signal never;
            while (!cut) {
                co_await never.wait(clock::now() + 5ms);
            }
        }());
    }

    void receiverGoneCancelsFarCall()
    {
        peer_pair pair;
        bool notified = false;
        pair.handler.run = [&](const call_head &, body_source &, answer_sink &sink) -> asio::awaitable<void> {
            async_signal gone;
            sink.onReceiverGone([&] {
                notified = true;
                gone.notify();
            });
            pair.answer.gone = true;
            pair.answer.receiverGoneAction();
            while (!notified) {
                co_await gone.wait(clock::now() + 1s);
            }
        };
        CPPUNIT_ASSERT(pair.call("q") == relay_outcome::kind::Lost);
        pair.run([&]() -> asio::awaitable<void> {
            async_signal never;
            while (!notified) {
                co_await never.wait(clock::now() + 5ms);
            }
        }());
        CPPUNIT_ASSERT(!pair.answer.started && !pair.answer.receiverGoneAction);
    }

    void relayedCallIsNotRelayedAgain()
    {
        peer_pair pair;
        fixed_body body("q");
        call_head head;
        head.relayed = true;
        relay_outcome outcome;
        pair.run([&]() -> asio::awaitable<void> {
            outcome = co_await pair.relay.relay(pool_name("p"), head, clock::now() + 1s, kAllCentres, body, pair.answer);
        }());
        CPPUNIT_ASSERT(outcome.result == relay_outcome::kind::NotSent);
    }

    void refusalKeepsEndingAndReason()
    {
        peer_pair pair;
        pair.handler.run = [&](const call_head &, body_source &, answer_sink &sink) -> asio::awaitable<void> {
            answer_head head;
            head.status = 503;
            head.contentLength = 0;
            head.ending = call_ending::NotRun;
            head.reason = call_reason::Overloaded;
            head.callerMayRetry = false;
            co_await sink.start(head);
            co_await sink.finish();
        };
        CPPUNIT_ASSERT(pair.call("q") == relay_outcome::kind::Delivered);
        CPPUNIT_ASSERT(pair.answer.finished && pair.answer.head.ending == call_ending::NotRun);
        CPPUNIT_ASSERT(pair.answer.head.reason == call_reason::Overloaded && !pair.answer.head.callerMayRetry);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_test);

} // namespace

} // namespace sequoiawharf
