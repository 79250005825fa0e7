#include "sequoiawharf/event.h"
#include "sequoiawharf/locality.h"
#include "sequoiawharf/routing.h"
#include "sequoiawharf/selection_policy.h"
#include "src/shell/gateway/gateway.h"
#include "src/shell/metrics/gateway_metrics.h"
#include "src/shell/net/http_client.h"
#include "src/shell/net/page_server.h"
#include "src/shell/peer/peer_node.h"
#include "src/shell/peer/peer_threads.h"
#include "tests/property.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <thread>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;
using clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

constexpr auto kRelayAnswerTimeout = 30s;
const host_port kTarget {"127.13.0.9", 17590};

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
    fixed_configuration()
    {
        route quotes;
        quotes.name = route_name("quotes");
        quotes.pathPrefix = "/quotes";
        quotes.pool = pool_name("quotes");
        quotes.deadline = 5s;
        pool far;
        far.name = quotes.pool;
        far.endpoints = {{kTarget, data_centre_id("c"), false}};
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
    settings.seed = port;
    return settings;
}

/// An instance with its gateway and peer threads, but without the configuration log, the platform's list of instances and the operators' pages.
class gateway_instance
{
public:
    explicit gateway_instance(instance_settings settings)
        : m_settings(std::move(settings))
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

class relay_path_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(relay_path_test);
    CPPUNIT_TEST(callIsRelayedToTheOtherRegion);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a call whose pool has endpoints in another region only and that is not relayed there, or whose answer does not come back.
    void callIsRelayedToTheOtherRegion()
    {
        asio::io_context targetContext(1);
        page_server target(targetContext);
        target.addDefault([](const page_request &request) -> asio::awaitable<page_answer> {
            co_return page_answer {200, "text/plain", "target got " + request.body};
        });
        CPPUNIT_ASSERT(target.start(kTarget));
        std::thread targetThread([&] {
            targetContext.run();
        });
        {
            gateway_instance near(settingsOf("near", "a", "north", 17580));
            gateway_instance far(settingsOf("far", "c", "south", 17584));
            near.run(far.hint());
            far.run(near.hint());
            const auto answer = awaitAnswer();
            CPPUNIT_ASSERT_EQUAL(200U, answer.status);
            CPPUNIT_ASSERT_EQUAL(std::string("target got photo"), answer.body);
            far.peers().beginStop(far.threads());
            far.threads().beginStop({.answerBy = clock::now() + 5s});
            CPPUNIT_ASSERT_EQUAL(std::size_t {0}, far.threads().finish(5s));
        }
        targetContext.stop();
        targetThread.join();
    }

private:
    /// Repeats the call until the two instances know each other and it succeeds.
    http_answer awaitAnswer()
    {
        const auto until = clock::now() + kRelayAnswerTimeout;
        tl::expected<http_answer, http_error> answer;
        while (clock::now() < until) {
            answer = fetchNow({{"127.13.0.8", 17580}, "POST", "/quotes/4", "photo", "text/plain"}, 5s);
            if (answer && answer->status == 200) {
                break;
            }
            std::this_thread::sleep_for(20ms);
        }
        return answer.value_or(http_answer {});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_path_test);

} // namespace

} // namespace sequoiawharf
