#pragma once

#include "sequoiawharf/configuration_freshness.h"
#include "sequoiawharf/pool_watch.h"
#include "sequoiawharf/random_source.h"
#include "sequoiawharf/routing.h"
#include "sequoiawharf/settings.h"
#include "src/base/rcu_snapshot.h"
#include "src/shell/instance/endpoint_feed.h"
#include "src/shell/instance/quota_control.h"
#include "src/shell/instance/surroundings.h"
#include "src/shell/measuring/load_prober.h"
#include "src/shell/peer/peer_node.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sequoiawharf
{

/// Whether callers may be served, and why not.
struct instance_readiness {
    bool ready = false;
    std::string reason;

    friend bool operator==(const instance_readiness &, const instance_readiness &) = default;
};

/// The control plane of an instance: follows the configuration, the endpoints and the members, and publishes the routing that gateway threads
/// read. All methods run on the control thread, except routings(), quotas() and node().publishedDirectory(), which are thread safe.
class control_plane final : private config_observer, private endpoint_observer, private configuration_access
{
public:
    /// Precondition: all arguments outlive the object, and the object outlives the context's last run.
    control_plane(boost::asio::io_context &context, const instance_settings &settings, incarnation process, event_sink &events, surroundings &outside);

    /// Sets the function that is called on the control thread after a configuration or endpoints arrived, since either may make the instance
    /// ready. Precondition: start() has not been called.
    void setReadinessListener(std::function<void()> listener)
    {
        m_onReadinessInput = std::move(listener);
    }

    /// Sets the function that is called on the control thread after tokens of organisations were granted. Precondition: start() has not been called.
    void setTokenListener(std::function<void()> listener)
    {
        if (m_quotas) {
            m_quotas->setListener(std::move(listener));
        }
    }

    /// Starts to follow the configuration, the endpoints, the members and the platform's list of instances. Precondition: called once.
    void start();

    /// Runs the periodic work: detects a pause of the process, updates the members, and publishes this instance's load, readiness and pool totals to
    /// them. Must be called several times a second.
    void tick(mono_time now);

    /// Returns whether callers may be served, and why not.
    instance_readiness readiness();

    /// Returns the published routing. Thread safe.
    const rcu_snapshot<routing> &routings() const
    {
        return m_routings;
    }
    /// Decides whether calls with a key are admitted. Its const methods are thread safe.
    const configuration_freshness &freshness() const
    {
        return m_freshness;
    }
    /// Returns the quotas of organisations, or null when they are not enforced. Thread safe; the methods of quota_access are too.
    quota_control *quotas() const
    {
        return m_quotas.get();
    }
    peer_node &node()
    {
        return m_node;
    }
    const configuration_source &feed() const
    {
        return *m_feed;
    }
    const std::set<data_centre_id> &evacuated() const
    {
        return m_evacuated;
    }
    /// Returns the homes of all routes for the host; see route_table.
    std::vector<region_id> homesOf(std::string_view host) const
    {
        return m_config->routes.homesOf(host);
    }
    /// Returns the page that answers another instance's request for the changes of endpoints since a position; empty when the pool table names the
    /// endpoints.
    std::string endpointPage(log_position from, mono_time now)
    {
        peer_configuration configuration {
            .version = m_feed->current()->version, .isFollowed = m_feed->isFollowing(), .next = m_feed->asOf(), .proofAge = proofAge()};
        if (auto evacuations = m_feed->evacuations(); evacuations.asOf != log_position {}) {
            configuration.evacuations = std::move(evacuations);
        }
        return m_endpoints ? m_endpoints->page(from, configuration, now) : std::string {};
    }
    /// Waits until the endpoints are known, but not longer than until the given time. Returns at once when the pool table names the endpoints.
    boost::asio::awaitable<void> waitForEndpoints(mono_time until)
    {
        if (m_endpoints) {
            co_await m_endpoints->waitUntilKnown(until);
        }
    }
    const measuring_budget &measuring() const
    {
        return m_measuring;
    }

private:
    void onConfiguration(std::shared_ptr<const configuration> config) override;
    void onConfigurationProven(boot_time sentAt) override;
    void onVerdict(const record_verdict &entry) override;
    void onEvacuations(const std::set<data_centre_id> &centres) override;
    void onEndpoints(std::map<pool_name, std::vector<endpoint>> endpoints) override;
    void onPeerConfiguration(const host_port &teller, const peer_configuration &told) override;
    void onPeerProof(const peer_configuration &told, boot_time askedAt) override;
    void onReaderUnavailable() override;
    void onServiceRecovered() override;
    void onServiceRestored() override;
    std::shared_ptr<const configuration> current() const override;
    change_set changesSince(config_version version) const override;
    bool apply(const change_set &changes) override;

    boost::asio::awaitable<void> listLoop();
    std::chrono::milliseconds listPause(bool isAnswered, unsigned reads) const;
    void applyList(const std::vector<listed_instance> &listed);
    void updateMembers(mono_time now);
    void updateFreshness(mono_time now);
    std::optional<std::chrono::milliseconds> proofAge() const;
    bool shouldReadStoreForProof() const;
    std::optional<poll_times> pollTimes(bool isReliedUpon, bool isReader) const;
    void publishStatus(mono_time now);
    std::vector<pool_totals> poolTotals(mono_time now) const;
    void applyLeavingNotice(const leaving_notice &notice);
    void publishRouting(mono_time now);
    std::shared_ptr<const configuration> withEndpoints() const;
    host_port operatorsAt(const host_port &gateway) const;
    std::map<instance_id, host_port> dataCentrePeers(mono_time now);
    void updateEndpointFeed(mono_time now);
    void updateQuotas(mono_time now);
    std::optional<quota_grant> answerQuota(const quota_request &request);
    locality makeLocality(mono_time now);
    void record(event_kind kind, std::string subject, std::string detail);

    boost::asio::io_context &m_context;
    const instance_settings &m_settings;
    event_sink &m_events;
    std::function<void()> m_onReadinessInput = [] { };
    std::shared_ptr<const selection_policy> m_policy;
    std::shared_ptr<placement_limits> m_limits; ///< Never null.
    std::set<data_centre_id> m_evacuated; ///< As m_limits has them, by name.
    rcu_snapshot<routing> m_routings;
    std::shared_ptr<const routing> m_routing; ///< The newest published one.
    std::unique_ptr<instance_list_client> m_list;
    async_signal m_listDue; ///< Ends the pause before the next read of the list.
    configuration_freshness m_freshness;
    boot_time m_proofExpectedAt; ///< The first read of the configuration has had time to end.
    mono_time m_proofQueryDue {}; ///< Earliest time of the next query to another instance for a younger proof.
    bool m_admitsKeyedCalls = false; ///< As logged last.
    std::unique_ptr<configuration_source> m_feed;
    std::unique_ptr<endpoint_feed> m_endpoints; ///< Null: the pool table names the endpoints.
    peer_node m_node;
    std::unique_ptr<quota_control> m_quotas; ///< Null: quotas are not enforced.
    measuring_budget m_measuring;
    load_prober m_prober;
    pool_watch m_watch;
    std::shared_ptr<const configuration> m_config;
    std::map<pool_name, std::vector<endpoint>> m_discovered; ///< The last endpoints that the feed reported.
    std::map<instance_id, listed_instance> m_listedInRegion; ///< Other instances of the region in the platform's list.
    std::map<instance_id, host_port> m_listedPeers; ///< Other instances of the data centre in the platform's list, with their operators' addresses.
    reading_times m_readingTimes;
    bool m_mayUseReaderForConfiguration = false; ///< Another instance of the data centre may follow the configuration for this one.
    std::optional<mono_time> m_membersSettledAt; ///< Listed instances count as live until then; empty before the first read of the list has ended.
    bool m_isListed = false; ///< The last list read contains this instance, and so every instance that registered before it.
    unsigned m_listed = 0; ///< Largest number of instances in the platform's list so far; 0 before the first read.
    std::vector<instance_id> m_live; ///< Live instances of the data centre.
    locality m_locality;
    mono_time m_lastTick;
    std::uint64_t m_keySeed; ///< Of the index of the organisations' keys.
    bool m_publishedReady = false; ///< Readiness that was published to the other instances last.
    mono_time m_statusDue;
    mono_time m_lastStatus;
    bool m_applyingPeer = false; ///< A change that a peer passed on is being applied.
    std::uint64_t m_cpuNs = 0; ///< Processor time of the process when its load was published last.
    mono_time m_cpuAt;
};

} // namespace sequoiawharf
