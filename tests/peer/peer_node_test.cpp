#include "src/shell/peer/peer_node.h"
#include "tests/property.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <set>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;
using clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

constexpr auto kConvergenceTimeout = 20s;

/// A configuration that consists of its version alone. A change chain carries the newest version.
class versioned_configuration : public configuration_access
{
public:
    std::shared_ptr<const configuration> current() const override
    {
        return m_current;
    }
    change_set changesSince(config_version version) const override
    {
        change_set set;
        set.from = version;
        if (m_current->version > version) {
            set.chain.push_back({m_current->version, "change"});
        }
        return set;
    }
    bool apply(const change_set &changes) override
    {
        return !changes.chain.empty() && setVersion(changes.chain.back().version);
    }
    bool setVersion(config_version version)
    {
        if (version <= m_current->version) {
            return false;
        }
        auto next = std::make_shared<configuration>();
        next->version = version;
        m_current = std::move(next);
        return true;
    }

private:
    std::shared_ptr<const configuration> m_current = std::make_shared<configuration>();
};

/// A peer node with its server, without a gateway.
struct node_under_test {
    node_under_test(asio::io_context &context, unsigned number, const std::string &centre, const std::string &region)
        : node(context, parts(number, centre, region))
        , server(context, {{settings.id, 1}, node.handler(), nullptr, nullptr, {}, std::make_shared<peer_traffic>()})
    {
        CPPUNIT_ASSERT(server.start(settings.peer));
        node.setStatus(10, true);
        node.start();
    }

    peer_node_parts parts(unsigned number, const std::string &centre, const std::string &region)
    {
        settings.id = instance_id("n" + std::to_string(number));
        settings.dataCentre = data_centre_id(centre);
        settings.region = region_id(region);
        settings.regions = {{region_id("north"), {data_centre_id("a"), data_centre_id("b")}}, {region_id("south"), {data_centre_id("c")}}};
        const auto port = static_cast<std::uint16_t>(17400 + number);
        settings.gateway = {"127.13.0.2", port};
        settings.peer = {"127.13.0.3", port};
        const auto mark = [this](const leaving_notice &notice) {
            leaving.insert(toString(notice.endpoint));
        };
        return {settings, 1, number + 1, &configuration, nullptr, mark};
    }

    member_hint hint() const
    {
        return {settings.id, settings.peer, settings.dataCentre, settings.region};
    }

    std::set<std::string> directoryInstances() const
    {
        const rcu_reader_thread reader;
        random_source random(1);
        std::set<std::string> names;
        for (int i = 0; i < 20; ++i) {
            const auto answer = node.publishedDirectory().lookup({}, {}, clock::now(), random);
            std::ranges::for_each(answer.entries, [&](const directory_entry &entry) {
                names.insert(entry.instance.str());
            });
        }
        return names;
    }

    instance_settings settings;
    versioned_configuration configuration;
    std::set<std::string> leaving;
    peer_node node;
    peer_server server;
};

class peer_node_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(peer_node_test);
    CPPUNIT_TEST(nodesDiscoverEachOtherAndSpreadUpdates);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against nodes that are missing from the directory of their region, and against configuration versions, endpoint announcements and departures
    /// that do not reach every instance.
    void nodesDiscoverEachOtherAndSpreadUpdates()
    {
        node_under_test first(m_context, 0, "a", "north");
        node_under_test second(m_context, 1, "a", "north");
        node_under_test third(m_context, 2, "b", "north");
        node_under_test far(m_context, 3, "c", "south");
        const std::vector<node_under_test *> all {&first, &second, &third, &far};
        std::ranges::for_each(all, [&](node_under_test *item) {
            item->node.setHints({first.hint(), third.hint(), far.hint()});
        });

        awaitTrue([&] {
            std::ranges::for_each(all, [](node_under_test *item) {
                item->node.setStatus(10, item->node.unreadyReason().empty());
            });
            const std::set<std::string> north {"n0", "n1", "n2"};
            return first.directoryInstances() == north && second.directoryInstances() == north && far.directoryInstances() == std::set<std::string> {"n3"};
        });

        first.configuration.setVersion(7);
        first.node.configurationRead(0, true);
        first.node.announceLeaving(pool_name("quotes"), {"10.0.0.1", 80});
        awaitTrue([&] {
            return std::ranges::all_of(all, [](const node_under_test *item) {
                return item->configuration.current()->version == 7 && item->leaving.contains("10.0.0.1:80");
            });
        });

        second.node.startLeaving();
        CPPUNIT_ASSERT(!second.directoryInstances().contains("n1"));
        awaitTrue([&] {
            return !first.directoryInstances().contains("n1") && !third.directoryInstances().contains("n1");
        });
        CPPUNIT_ASSERT(first.directoryInstances().contains("n0"));
        std::ranges::for_each(all, [](node_under_test *item) {
            item->node.stop();
            item->server.close();
        });
    }

private:
    template<typename condition> void awaitTrue(condition holds)
    {
        const auto until = clock::now() + kConvergenceTimeout;
        while (!holds()) {
            CPPUNIT_ASSERT(clock::now() < until);
            m_context.run_for(20ms);
            m_context.restart();
        }
    }

    asio::io_context m_context {1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_node_test);

} // namespace

} // namespace sequoiawharf
