#pragma once

#include "sequoiawharf/config_follower.h"
#include "sequoiawharf/configuration_state.h"
#include "sequoiawharf/event.h"
#include "sequoiawharf/link_budget.h"
#include "sequoiawharf/link_share.h"
#include "sequoiawharf/membership.h"
#include "sequoiawharf/pool_sums.h"
#include "sequoiawharf/settings.h"
#include "sequoiawharf/transfer_schedule.h"
#include "src/shell/peer/peer_client.h"
#include "src/shell/peer/peer_server.h"
#include "src/shell/peer/published_views.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace sequoiawharf
{

struct change_request;
struct quota_grant;
struct quota_request;

/// Access of the peer node to the configuration of this instance. All methods are called on the control thread.
class configuration_access
{
public:
    virtual ~configuration_access() = default;

    /// Returns the configuration in force; never null.
    virtual std::shared_ptr<const configuration> current() const = 0;

    /// Returns the changes that lead from the given version to the one in force.
    virtual change_set changesSince(config_version version) const = 0;

    /// Applies changes received from another instance. Returns whether a newer configuration came into force.
    virtual bool apply(const change_set &changes) = 0;
};

/// Settings and dependencies of a peer node. The pointers outlive the node; the functions run on the control thread.
struct peer_node_parts {
    instance_settings settings;
    incarnation process = 0;
    std::uint64_t seed = 0;
    configuration_access *configuration = nullptr; ///< Not null.
    event_sink *events = nullptr; ///< Null: no events are recorded.
    std::function<void(const leaving_notice &)> markLeaving; ///< Called for each endpoint that takes no new work, including those announced by this instance.
    std::function<std::optional<quota_grant>(const quota_request &)> answerQuota {}; ///< Answers another instance as a holder; nothing: refused. May be empty.
    std::shared_ptr<const placement_limits> limits {}; ///< Numbers the data centres; null: relays are not limited to some of them.
};

/// Runs membership, the exchange of configuration and the shares of the link between regions on the control thread. All methods run on that thread,
/// except those of the objects that publishedDirectory(), relays() and linkBudget() return. The node outlives the last run of the context.
class peer_node
{
public:
    peer_node(boost::asio::io_context &control, peer_node_parts parts);

    /// Starts the exchange with the other instances.
    void start();

    /// Stops the periodic work and closes the connections once their requests have ended, so that the context can run out of work.
    void stop();

    /// Returns the handler of control requests. Call the handler on the control thread, or wrap it with runOn().
    control_handler handler();

    /// Sets the platform's list of instances.
    void setHints(std::vector<member_hint> hints);

    /// Sets the addresses to contact while the platform's list is empty.
    void setSeeds(std::vector<host_port> seeds)
    {
        m_members.setSeeds(std::move(seeds));
    }

    /// Sets the status that heartbeats carry. load: processor utilisation in percent. ready: whether the daemon would take callers.
    void setStatus(std::uint8_t load, bool ready);

    /// Sets this instance's figures for the pools that have endpoints in this data centre.
    void setPoolTotals(std::vector<pool_totals> facts);

    /// Updates the version that heartbeats carry after this instance read a configuration from the log and put it into force. previous: version in
    /// force before. pushes: whether this instance sends the changes to the others.
    void configurationRead(config_version previous, bool pushes);

    /// Records that an instance of this data centre announced a configuration version. peer: its address for other instances.
    void recordPeerVersion(const host_port &peer, config_version version);

    /// Sends a request for tokens to another instance, and returns its answer, or nothing when there is none. to: its address for other instances.
    boost::asio::awaitable<std::optional<quota_grant>> requestQuota(host_port to, quota_request request);

    /// Announces to the other instances that an endpoint takes no new work.
    void announceLeaving(const pool_name &pool, const host_port &endpoint);

    /// Removes this instance from the directory and announces to the other instances that it stops.
    void startLeaving();

    /// Returns why the state of membership forbids this instance to take callers, or an empty string when it may.
    std::string unreadyReason() const;

    /// Returns whether a newer process of this instance is known.
    bool isSuperseded() const
    {
        return m_members.isSuperseded();
    }

    /// Returns the number of instances that may still report a newer configuration; see source_status.
    unsigned peersPending() const;

    /// Returns the membership of this node.
    membership &members()
    {
        return m_members;
    }

    /// Returns the directory for the gateway threads. Its lookup() is thread safe.
    const directory &publishedDirectory() const
    {
        return m_directory;
    }

    /// Returns the choice of instances in other regions for the gateway threads. Its methods are thread safe.
    const relay_chooser &relays() const
    {
        return m_capacity;
    }

    /// Returns the budget of this instance on the link between regions. Writes may reserve from it on any thread.
    link_budget &linkBudget()
    {
        return m_link;
    }

    /// Returns the traffic of the control connections that this node opens.
    const peer_traffic &traffic() const
    {
        return *m_traffic;
    }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> sendHeartbeat(heartbeat_action action);
    boost::asio::awaitable<void> requestChanges(change_query query);
    boost::asio::awaitable<void> push(host_port to, std::string body);
    boost::asio::awaitable<tl::expected<std::string, unsigned>> answer(std::string request);
    tl::expected<std::string, unsigned> answerHeartbeat(const heartbeat_message &message);
    boost::asio::awaitable<tl::expected<std::string, unsigned>> answerChangeRequest(config_version since);
    tl::expected<std::string, unsigned> acceptPushedChanges(const change_set &changes);
    void recordVersions(const heartbeat_message &message);
    void pushChanges(config_version previous);
    void tick();
    void publishDirectory();
    void updateLink();
    void applyMemberUpdates();
    void recordMemberChange(const member_change &change);
    nearness nearnessOf(const member_row &row) const;

    boost::asio::io_context &m_context;
    peer_node_parts m_parts;
    random_source m_random;
    membership m_members;
    config_follower m_follower;
    transfer_schedule m_transfers; ///< Of configurations that other instances requested.
    pool_sums m_sums;
    far_pools m_farPools;
    published_directory m_directory;
    published_capacity m_capacity;
    link_budget m_link;
    link_share m_share;
    std::shared_ptr<peer_traffic> m_traffic;
    peer_client m_client;
    async_signal m_wake;
    std::uint64_t m_linkBytes = 0;
    mono_time m_publishDue;
    mono_time m_linkDue;
    bool m_running = false;
};

} // namespace sequoiawharf
