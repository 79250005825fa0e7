#pragma once

#include "sequoiawharf/pool_watch.h"
#include "sequoiawharf/routing.h"
#include "sequoiawharf/settings.h"
#include "src/base/rcu_snapshot.h"
#include "src/shell/instance/endpoint_feed.h"
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
    std::string why;

    friend bool operator==(const instance_readiness &, const instance_readiness &) = default;
};

/// Everything of an instance besides the path of calls: it follows the configuration and the members, and publishes the routing that gateway
/// threads read. Runs on the control thread; only routings() and node().publishedDirectory() are for other threads.
class control_plane final : private config_observer, private endpoint_observer, private configuration_access
{
public:
    /// All arguments outlive the object, and the object outlives the context's last run.
    control_plane(boost::asio::io_context &context, const instance_settings &settings, incarnation process, event_sink &events, surroundings &outside);

    /// Sets what to call, on the control thread, when a configuration or endpoints came in that may make the instance ready. Before start().
    void setNewsListener(std::function<void()> listener)
    {
        m_onNews = std::move(listener);
    }

    /// Begins to follow the log, the members and the platform's list.
    void start();

    /// Does what is due: notices a pause of the process, tells the members of this instance, and surveys the pools. Call it several times a second.
    void tick(mono_time now);

    /// Tells whether callers may be served.
    instance_readiness readiness();

    const rcu_snapshot<routing> &routings() const
    {
        return m_routings;
    }
    peer_node &node()
    {
        return m_node;
    }
    const configuration_source &feed() const
    {
        return *m_feed;
    }
    /// Returns what this instance knows of endpoints since an offset, for another one; empty when the pool table names them.
    std::string endpointPage(log_offset from, mono_time now)
    {
        const told_configuration configuration {.version = m_feed->current()->version, .isFollowed = m_feed->isFollowing()};
        return m_endpoints ? m_endpoints->page(from, configuration, now) : std::string {};
    }
    const measuring_budget &measuring() const
    {
        return m_measuring;
    }

private:
    void onConfiguration(std::shared_ptr<const configuration> config) override;
    void onVerdict(const record_verdict &entry) override;
    void onEndpoints(std::map<pool_name, std::vector<endpoint>> endpoints) override;
    void onConfigurationTold(const host_port &teller, const told_configuration &told) override;
    void onNothingTold() override;
    void onServiceBack() override;
    std::shared_ptr<const configuration> current() const override;
    change_set changesSince(config_version version) const override;
    bool apply(const change_set &changes) override;

    boost::asio::awaitable<void> listLoop();
    std::chrono::milliseconds listPause(bool isAnswered, unsigned reads) const;
    void takeList(const std::vector<listed_instance> &listed);
    void followMembers(mono_time now);
    void surveyAll(mono_time now);
    std::vector<pool_facts> poolFacts(mono_time now) const;
    void takeLeaving(const leaving_notice &notice);
    void publishRouting(mono_time now);
    std::shared_ptr<const configuration> withEndpoints() const;
    host_port operatorsAt(const host_port &gateway) const;
    std::map<instance_id, host_port> nearInstances(mono_time now);
    void followEndpoints(mono_time now);
    locality place(mono_time now);
    void record(event_kind kind, std::string subject, std::string detail);

    boost::asio::io_context &m_context;
    const instance_settings &m_settings;
    event_sink &m_events;
    std::function<void()> m_onNews = [] { };
    std::shared_ptr<const selection_policy> m_policy;
    rcu_snapshot<routing> m_routings;
    std::shared_ptr<const routing> m_routing; ///< The newest one.
    std::unique_ptr<instance_list_client> m_list;
    std::unique_ptr<configuration_source> m_feed;
    std::unique_ptr<endpoint_feed> m_endpoints; ///< Null: the pool table names the endpoints.
    peer_node m_node;
    measuring_budget m_measuring;
    load_prober m_prober;
    pool_watch m_watch;
    std::shared_ptr<const configuration> m_config;
    std::map<pool_name, std::vector<endpoint>> m_discovered; ///< What the source of endpoints told last.
    std::map<instance_id, host_port> m_listedNear; ///< Other instances of the data centre that the list names, and their operators' addresses.
    reading_times m_readingTimes;
    bool m_mayUseReaderForConfiguration = false; ///< Another instance of the data centre may follow the configuration for this one.
    std::optional<mono_time> m_settledAt; ///< Until then the listed instances count as live; nothing: the list neither came nor failed yet.
    bool m_isListed = false; ///< The list named this instance, and so those that were there before it.
    unsigned m_listed = 0; ///< Most instances that the platform's list named; 0: it was never read.
    std::vector<instance_id> m_live; ///< Live instances of the data centre.
    locality m_place;
    mono_time m_lastTick;
    bool m_toldReady = false; ///< What the others were told last.
    mono_time m_surveyDue;
    mono_time m_surveyed;
    bool m_applyingPeer = false;
    std::uint64_t m_cpuNs = 0; ///< Processor time at the last survey.
    mono_time m_cpuAt;
};

} // namespace sequoiawharf
