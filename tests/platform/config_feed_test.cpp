#include "src/shell/platform/config_feed.h"
#include "tests/config/fake_log.h"
#include "tests/config/table_samples.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sequoiawharf
{

namespace
{

using namespace testing;
namespace asio = boost::asio;

// A log client over a fake log. Reads complete at once, and fail while it is down.
class fake_client final : public log_client
{
public:
    platform_awaitable<log_offset> append(std::string data) override
    {
        co_await asio::post(co_await asio::this_coro::executor, asio::use_awaitable);
        co_return log.append(std::move(data));
    }
    platform_awaitable<log_page> read(log_offset from, unsigned max, std::chrono::milliseconds) override
    {
        ++reads;
        co_await asio::post(co_await asio::this_coro::executor, asio::use_awaitable);
        if (down) {
            co_return tl::unexpected(platform_error::Unavailable);
        }
        co_return log.read(from, max);
    }

    fake_log log;
    bool down = false;
    unsigned reads = 0;
};

class recording_observer final : public config_observer
{
public:
    void onConfiguration(std::shared_ptr<const configuration> config) override
    {
        versions.push_back(config->version);
    }
    void onVerdict(const record_verdict &entry) override
    {
        verdicts.push_back(entry.result);
    }

    std::vector<config_version> versions;
    std::vector<verdict> verdicts;
};

config_feed_options fastOptions()
{
    config_feed_options options;
    options.pollWait = std::chrono::milliseconds(1);
    options.lowestRetry = std::chrono::milliseconds(1);
    options.highestRetry = std::chrono::milliseconds(2);
    return options;
}

class config_feed_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(config_feed_test);
    CPPUNIT_TEST(followsTheLog);
    CPPUNIT_TEST(becomesReadyFromPeersWhileTheLogIsDown);
    CPPUNIT_TEST(readsTheLogAgainAfterAReset);
    CPPUNIT_TEST(writesAStateRecordThatIsDue);
    CPPUNIT_TEST(doesNotReadWhileNotFollowingAndCurrent);
    CPPUNIT_TEST_SUITE_END();

public:
    // Runs the context until the condition holds. The bound on the number of steps only ends a failing test.
    template<typename condition> void runUntil(condition holds)
    {
        for (int i = 0; i < 100'000 && !holds(); ++i) {
            m_context.restart();
            m_context.run_one();
        }
        CPPUNIT_ASSERT(holds());
    }

    void publish(std::uint32_t slots)
    {
        configuration_state reader;
        readAll(reader, m_client.log);
        m_client.log.append(publicationText("id" + std::to_string(slots), *reader.current(), simpleTables(slots)));
    }

    void followsTheLog()
    {
        config_feed feed(m_context, m_client, instance_id("a"), m_observer, 1, fastOptions());
        CPPUNIT_ASSERT(feed.updateReadiness(0) == readiness_reason::NoAnswer);
        feed.start();
        runUntil([&] {
            return feed.updateReadiness(0) == readiness_reason::NoConfiguration;
        });
        publish(4);
        m_client.log.append("nonsense");
        publish(5);
        runUntil([&] {
            return feed.state().version() == 3;
        });
        CPPUNIT_ASSERT(feed.updateReadiness(0) == readiness_reason::Ready);
        CPPUNIT_ASSERT(m_observer.versions == std::vector<config_version> {3} || m_observer.versions == (std::vector<config_version> {1, 3}));
        CPPUNIT_ASSERT(m_observer.verdicts == (std::vector<verdict> {verdict::Accepted, verdict::Malformed, verdict::Accepted}));
        end(feed);
    }

    void becomesReadyFromPeersWhileTheLogIsDown()
    {
        publish(4);
        configuration_state peer;
        readAll(peer, m_client.log);
        m_client.down = true;
        config_feed feed(m_context, m_client, instance_id("a"), m_observer, 1, fastOptions());
        feed.start();
        runUntil([&] {
            return feed.logFailed();
        });
        CPPUNIT_ASSERT(feed.updateReadiness(1) == readiness_reason::PeersPending);
        CPPUNIT_ASSERT(feed.updateReadiness(0) == readiness_reason::NoAnswer);
        CPPUNIT_ASSERT(feed.applyPeer(peer.changesSince(feed.state().version())));
        CPPUNIT_ASSERT(feed.updateReadiness(1) == readiness_reason::PeersPending);
        CPPUNIT_ASSERT(feed.updateReadiness(0) == readiness_reason::Ready);
        CPPUNIT_ASSERT(m_observer.versions == std::vector<config_version> {1});
        end(feed);
    }

    void readsTheLogAgainAfterAReset()
    {
        publish(4);
        config_feed feed(m_context, m_client, instance_id("a"), m_observer, 1, fastOptions());
        feed.start();
        runUntil([&] {
            return feed.updateReadiness(0) == readiness_reason::Ready;
        });
        m_client.down = true;
        feed.resetReadiness();
        CPPUNIT_ASSERT(feed.updateReadiness(0) == readiness_reason::NoAnswer);
        runUntil([&] {
            return feed.logFailed();
        });
        m_client.down = false;
        publish(5);
        runUntil([&] {
            return !feed.logFailed();
        });
        CPPUNIT_ASSERT(feed.updateReadiness(0) == readiness_reason::Ready);
        CPPUNIT_ASSERT_EQUAL(config_version {2}, feed.state().version());
        end(feed);
    }

    void writesAStateRecordThatIsDue()
    {
        auto options = fastOptions();
        options.stateRecords.minInterval = std::chrono::milliseconds(0);
        options.stateRecords.stagger = std::chrono::milliseconds(0);
        options.stateRecords.bytesPerSecond = 1'000'000'000;
        publish(4);
        m_client.log.advance(std::chrono::hours(1));
        config_feed feed(m_context, m_client, instance_id("a"), m_observer, 1, options);
        feed.setLive({instance_id("a")});
        feed.start();
        runUntil([&] {
            return feed.counters().stateRecords == 1 && feed.state().asOf() >= 2;
        });
        CPPUNIT_ASSERT_EQUAL(log_offset {2}, feed.state().recoveryPoint().offset);
        end(feed);
    }

    void doesNotReadWhileNotFollowingAndCurrent()
    {
        publish(4);
        auto options = fastOptions();
        options.fallback = std::chrono::hours(10);
        config_feed feed(m_context, m_client, instance_id("a"), m_observer, 1, options);
        feed.setFollowing(false);
        feed.start();
        runUntil([&] {
            return feed.updateReadiness(0) == readiness_reason::Ready;
        });
        const auto readsWhenReady = m_client.reads;
        for (int i = 0; i < 20; ++i) {
            m_context.restart();
            m_context.run_one();
        }
        CPPUNIT_ASSERT_EQUAL(readsWhenReady, m_client.reads);
        end(feed);
    }

private:
    void end(config_feed &feed)
    {
        feed.stop();
        m_context.restart();
        m_context.run();
    }

    asio::io_context m_context {1};
    fake_client m_client;
    recording_observer m_observer;
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_feed_test);

} // namespace

} // namespace sequoiawharf
