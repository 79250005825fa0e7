#include "src/shell/instance/quota_control.h"
#include "src/shell/net/clock.h"
#include "src/shell/net/log.h"
#include "src/shell/peer/peer_node.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr unsigned kInstances = 3;
constexpr call_quota kQuota {.perSecond = 40, .burst = 10};

/// The empty configuration.
class no_configuration : public configuration_access
{
public:
    std::shared_ptr<const configuration> current() const override
    {
        return m_current;
    }
    change_set changesSince(config_version /*version*/) const override
    {
        return {};
    }
    bool apply(const change_set & /*changes*/) override
    {
        return false;
    }

private:
    std::shared_ptr<const configuration> m_current = std::make_shared<configuration>();
};

organisation sampleOrganisation()
{
    organisation entry;
    entry.name = organisation_name("guild");
    entry.keys = {"key-1"};
    entry.quota = kQuota;
    return entry;
}

instance_settings settingsOf(unsigned number)
{
    instance_settings settings;
    settings.id = instance_id("n" + std::to_string(number));
    settings.dataCentre = data_centre_id("a");
    settings.region = region_id("north");
    settings.regions = {{settings.region, {settings.dataCentre}}};
    settings.peer = {"127.16.1.1", static_cast<std::uint16_t>(18'100 + number)};
    settings.quotas = {.window = milliseconds(5000), .overshoot = 0.1, .slack = 5};
    return settings;
}

/// The quotas of an instance with its connections to others, without a gateway.
class limited_instance
{
public:
    limited_instance(asio::io_context &context, unsigned number)
        : m_settings(settingsOf(number))
        , m_node(context, parts())
        , m_server(context, {{m_settings.id, 1}, m_node.handler(), nullptr, nullptr, {}, std::make_shared<peer_traffic>()})
        , quotas(context, m_settings, 1, m_node)
    {
        CPPUNIT_ASSERT(m_server.start(m_settings.peer));
        std::map<instance_id, host_port> candidates;
        for (unsigned i = 0; i < kInstances; ++i) {
            candidates.emplace(settingsOf(i).id, settingsOf(i).peer);
        }
        quotas.setCandidates(std::move(candidates));
        quotas.recordInstances(kInstances);
        quotas.setOrganisations(organisation_table({sampleOrganisation()}));
        quotas.start();
    }

    void stop()
    {
        m_isStopped = true;
    }

    /// A call comes in. Returns whether it is admitted at once.
    bool call()
    {
        const auto tokens = quotas.tokensOf(sampleOrganisation());
        tokens->countCall();
        return tokens->take(bootNow()).has_value();
    }

private:
    peer_node_parts parts()
    {
        peer_node_parts result;
        result.settings = m_settings;
        result.process = 1;
        result.seed = 1;
        result.configuration = &m_configuration;
        result.answerQuota = [this](const quota_request &request) {
            return m_isStopped ? std::nullopt : std::optional(quotas.answer(request));
        };
        return result;
    }

    no_configuration m_configuration;
    instance_settings m_settings;
    peer_node m_node;
    peer_server m_server;
    bool m_isStopped = false;

public:
    quota_control quotas;
};

class quota_control_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quota_control_test);
    CPPUNIT_TEST(instancesShareTheQuota);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a limit that holds at each instance alone, or in the tests of the modules alone, and against one that ends with a holder.
    void instancesShareTheQuota()
    {
        const rcu_reader_thread registration;
        setLogLevel(log_level::Error);
        asio::io_context context(1);
        std::vector<std::unique_ptr<limited_instance>> fleet;
        fleet.reserve(kInstances);
        for (unsigned i = 0; i < kInstances; ++i) {
            fleet.push_back(std::make_unique<limited_instance>(context, i));
        }
        std::vector<mono_time> admitted;
        const auto callFor = [&](milliseconds time) {
            const auto before = admitted.size();
            for (const auto end = monoNow() + time; monoNow() < end; context.run_for(milliseconds(5))) {
                std::ranges::for_each(fleet, [&](const auto &one) {
                    if (one->call()) {
                        admitted.push_back(monoNow());
                    }
                });
            }
            return admitted.size() - before;
        };
        callFor(milliseconds(3000)); // in the first 1.3 s nothing is lent
        CPPUNIT_ASSERT_GREATER(std::size_t {40}, callFor(milliseconds(3000)));
        fleet.front()->stop();
        CPPUNIT_ASSERT_GREATER(std::size_t {40}, callFor(milliseconds(4000)));
        const auto bound = (kQuota.perSecond * 5 + kQuota.burst) * 1.1 + 5;
        std::size_t first = 0;
        for (std::size_t last = 0; last < admitted.size(); ++last) {
            while (admitted[last] - admitted[first] >= std::chrono::seconds(5)) {
                ++first;
            }
            CPPUNIT_ASSERT_LESSEQUAL(bound, static_cast<double>(last - first + 1));
        }
        const auto requests = std::accumulate(fleet.begin(), fleet.end(), std::uint64_t {0}, [](std::uint64_t sum, const auto &one) {
            return sum + one->quotas.figures().requests;
        });
        CPPUNIT_ASSERT_LESSEQUAL(std::uint64_t {10} * kInstances * 10, requests); // ten a second and instance
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_control_test);

} // namespace

} // namespace sequoiawharf
