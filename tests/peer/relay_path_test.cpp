#include "sequoiawharf/event.h"
#include "sequoiawharf/locality.h"
#include "sequoiawharf/routing.h"
#include "sequoiawharf/selection_policy.h"
#include "src/shell/gateway/gateway.h"
#include "src/shell/metrics/gateway_metrics.h"
#include "src/shell/peer/peer_node.h"
#include "src/shell/peer/peer_threads.h"
#include "tests/gateway/fake_target.h"
#include "tests/gateway/gateway_rig.h"
#include "tests/property.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <thread>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;
using clock = std::chrono::steady_clock;
using namespace std::chrono_literals;
using namespace testing;

constexpr auto kRelayAnswerTimeout = 30s;
const host_port kNear {"127.13.0.8", 17580};
constexpr std::uint64_t kLinkRate = 1'000'000'000; // lets an upload fill the socket buffers of the far instance's connection to its target

class discarding_sink : public event_sink
{
public:
    void record(event) override
    {
    }
};

/// A configuration that never changes.
class fixed_configuration : public configuration_access
{
public:
    explicit fixed_configuration(const host_port &target)
    {
        route quotes;
        quotes.name = route_name("quotes");
        quotes.pathPrefix = "/quotes";
        quotes.pool = pool_name("quotes");
        quotes.deadline = 5s;
        quotes.maxBodyBytes = 1U << 30U;
        pool far;
        far.name = quotes.pool;
        far.endpoints = {{target, data_centre_id("c"), false}};
        auto config = std::make_shared<configuration>();
        config->version = 1;
        config->routes = route_table({quotes});
        config->pools = pool_table({far});
        m_config = std::move(config);
    }
    std::shared_ptr<const configuration> current() const override
    {
        return m_config;
    }
    change_set changesSince(config_version) const override
    {
        return {};
    }
    bool apply(const change_set &) override
    {
        return false;
    }

private:
    std::shared_ptr<const configuration> m_config;
};

instance_settings settingsOf(const std::string &name, const std::string &centre, const std::string &region, std::uint16_t port)
{
    instance_settings settings;
    settings.id = instance_id(name);
    settings.dataCentre = data_centre_id(centre);
    settings.region = region_id(region);
    settings.regions = {{region_id("north"), {data_centre_id("a")}}, {region_id("south"), {data_centre_id("c")}}};
    settings.gateway = {"127.13.0.8", port};
    settings.peer = {"127.13.0.8", static_cast<std::uint16_t>(port + 1)};
    settings.threads = 2;
    settings.link.bytesPerSecond = kLinkRate;
    settings.seed = port;
    return settings;
}

/// An instance with its gateway and peer threads, but without the configuration log, the platform's list of instances and the operators' pages.
class gateway_instance
{
public:
    gateway_instance(instance_settings settings, const host_port &target)
        : m_settings(std::move(settings))
        , m_configuration(target)
        , m_routings(makeRouting())
        , m_metrics(m_settings.threads)
        , m_node(m_control, {m_settings, 5, 6, &m_configuration, nullptr, [](const leaving_notice &) { }})
        , m_peers(m_settings, 5, 7, m_node, m_control, m_routings)
        , m_gateway(m_settings, m_routings, m_node.publishedDirectory(), m_peers.relays(), m_events, m_metrics)
    {
        CPPUNIT_ASSERT(m_gateway.start());
        CPPUNIT_ASSERT(m_peers.start(m_gateway));
        m_gateway.setReady(true, "");
    }
    ~gateway_instance()
    {
        m_control.stop();
        m_thread.join();
    }
    gateway_instance(const gateway_instance &) = delete;
    gateway_instance &operator=(const gateway_instance &) = delete;

    member_hint hint() const
    {
        return {m_settings.id, m_settings.peer, m_settings.dataCentre, m_settings.region};
    }

    void run(const member_hint &other)
    {
        m_node.setHints({other});
        m_node.start();
        asio::co_spawn(m_control, refreshStatus(), asio::detached);
        m_thread = std::thread([this] {
            const rcu_reader_thread reader;
            m_control.run();
        });
    }

    gateway &threads()
    {
        return m_gateway;
    }
    peer_threads &peers()
    {
        return m_peers;
    }

private:
    std::shared_ptr<const routing> makeRouting() const
    {
        locality place;
        place.self = m_settings.id;
        place.dataCentre = m_settings.dataCentre;
        place.region = {m_settings.dataCentre};
        const std::shared_ptr<const selection_policy> policy = makeSelectionPolicy("two-choices");
        return std::make_shared<const routing>(m_configuration.current(), place, policy, routing(), clock::now());
    }

    asio::awaitable<void> refreshStatus()
    {
        async_signal never;
        while (true) {
            m_node.setStatus(10, m_node.unreadyReason().empty());
            co_await never.wait(clock::now() + 50ms);
        }
    }

    instance_settings m_settings;
    fixed_configuration m_configuration;
    rcu_snapshot<routing> m_routings;
    discarding_sink m_events;
    gateway_metrics m_metrics;
    asio::io_context m_control {1};
    peer_node m_node;
    peer_threads m_peers;
    gateway m_gateway;
    std::thread m_thread;
};

/// Two instances in two regions. Calls enter at the near one, and the only endpoint is in the region of the far one.
class two_regions
{
public:
    explicit two_regions(std::uint16_t targetPort)
        : m_near(settingsOf("near", "a", "north", kNear.port), {"127.10.1.1", targetPort})
        , m_far(settingsOf("far", "c", "south", kNear.port + 4), {"127.10.1.1", targetPort})
    {
        m_near.run(m_far.hint());
        m_far.run(m_near.hint());
    }

    /// Repeats the call until the two instances know each other and the call is relayed. Returns the answer.
    static received_answer awaitAnswer(const std::function<received_answer()> &call)
    {
        const auto until = clock::now() + kRelayAnswerTimeout;
        auto answer = call();
        while (answer.status == 503 && answer.ending() == "not-run" && clock::now() < until) {
            std::this_thread::sleep_for(20ms);
            answer = call();
        }
        return answer;
    }

    /// Stops the far instance; its calls end within 5 s.
    std::size_t stop()
    {
        m_far.peers().beginStop(m_far.threads());
        m_far.threads().beginStop({.answerBy = clock::now() + 5s});
        return m_far.threads().finish(5s);
    }

private:
    gateway_instance m_near;
    gateway_instance m_far;
};

received_answer post(std::string_view body)
{
    test_caller caller(kNear);
    return caller.call("POST", "/quotes/4", body);
}

class relay_path_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(relay_path_test);
    CPPUNIT_TEST(callIsRelayedToTheOtherRegion);
    CPPUNIT_TEST(resetDuringUploadDoesNotCompleteTheAnswer);
    CPPUNIT_TEST(invalidAnswersAreNotForwarded);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a call whose pool has endpoints in another region only and that is not relayed there, or whose answer does not come back.
    void callIsRelayedToTheOtherRegion()
    {
        const fake_target target([](target_peer &peer) {
            const auto request = peer.readRequest();
            peer.answer("target got " + request.substr(request.find("\r\n\r\n") + 4));
        });
        two_regions regions(target.port());
        const auto answer = two_regions::awaitAnswer([] {
            return post("photo");
        });
        CPPUNIT_ASSERT_EQUAL(200U, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string("target got photo"), answer.body);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, regions.stop());
    }

    /// Guards against an answer without a length that ends with a reset at the far instance and that the near one forwards as complete.
    void resetDuringUploadDoesNotCompleteTheAnswer()
    {
        for (const std::string_view head : {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
                                            "HTTP/1.0 200 OK\r\n\r\n",
                                            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"}) {
            const fake_target target(resetDuringUpload(std::string(head) + "part"));
            two_regions regions(target.port());
            for (const auto isChunked : {false, true}) {
                const auto received = two_regions::awaitAnswer([&] {
                    return uploadAndRead(kNear, "/quotes/4", isChunked);
                });
                const auto what = fmt::format("{} chunked={} status={} body={}", head, isChunked, received.status, received.body);
                CPPUNIT_ASSERT_MESSAGE(what, !received.isWhole || (received.status == 502 && received.ending() == "unknown"));
            }
            CPPUNIT_ASSERT(target.connections() >= 2);
        }
    }

    /// Guards against a status or field name that violates HTTP and reaches the caller through a relay.
    void invalidAnswersAreNotForwarded()
    {
        const auto answers = invalidAnswers();
        std::atomic<std::size_t> index {0};
        const fake_target target([&](target_peer &peer) {
            peer.readRequest();
            peer.send(answers[index]);
        });
        two_regions regions(target.port());
        for (index = 0; index < answers.size(); ++index) {
            const auto received = two_regions::awaitAnswer([] {
                return post("photo");
            });
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                answers[index], std::string("502 unknown bad-answer"), fmt::format("{} {} {}", received.status, received.ending(), received.reason()));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_path_test);

} // namespace

} // namespace sequoiawharf
