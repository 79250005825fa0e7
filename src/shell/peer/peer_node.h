#pragma once

#include "sequoiawharf/config_follower.h"
#include "sequoiawharf/configuration_state.h"
#include "sequoiawharf/event.h"
#include "sequoiawharf/link_budget.h"
#include "sequoiawharf/link_share.h"
#include "sequoiawharf/membership.h"
#include "sequoiawharf/pool_sums.h"
#include "sequoiawharf/settings.h"
#include "src/shell/peer/peer_client.h"
#include "src/shell/peer/peer_server.h"
#include "src/shell/peer/published_views.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace sequoiawharf
{

struct change_request;

/// The configuration of this instance, as the peer node uses it. Called on the control thread.
class configuration_access
{
public:
    virtual ~configuration_access() = default;

    virtual std::shared_ptr<const configuration> current() const = 0;
    virtual change_set changesSince(config_version version) const = 0;

    /// Takes in what another instance passed on; true: a newer configuration is in force now.
    virtual bool apply(const change_set &changes) = 0;
};

/// What a peer node needs of its daemon. Pointers outlive the node; functions run on the control thread.
struct peer_node_parts {
    instance_settings settings;
    incarnation process = 0;
    std::uint64_t seed = 0;
    configuration_access *configuration = nullptr; ///< Not null.
    event_sink *events = nullptr; ///< Null: no time line.
    std::function<void(const leaving_notice &)> markLeaving; ///< An endpoint takes no new work; also called for own announcements.
};

/// Runs membership, the passing on of configuration and the shares of the link on the control thread. All methods run there, but for those of the
/// objects that directory(), relays() and linkBudget() return. The node outlives the context's last run.
class peer_node
{
public:
    peer_node(boost::asio::io_context &control, peer_node_parts parts);

    /// Starts to talk to the others.
    void start();

    /// Ends the node's rounds; the context runs out of its work.
    void stop();

    /// Returns what answers control requests; call it on the control thread, or wrap it with runOn().
    control_handler handler();

    /// Takes the platform's list of instances.
    void setHints(std::vector<member_hint> hints);

    /// Sets whom to ask while the list names nobody.
    void setSeeds(std::vector<host_port> seeds)
    {
        m_members.setSeeds(std::move(seeds));
    }

    /// Sets what the others are told. load: use of the processor in percent. ready: the daemon would take callers.
    void setStatus(std::uint8_t load, bool ready);

    /// Sets the own figures of the pools that have endpoints in this data centre.
    void setPoolFacts(std::vector<pool_facts> facts);

    /// Notes that a configuration came in force that this instance read from the log. pushes: the others wait to hear of it from this instance.
    void configurationRead(config_version previous, bool pushes);

    /// Notes that an instance of the data centre said that it has a configuration; peer: its address for other instances.
    void configurationHeard(const host_port &peer, config_version version);

    /// Tells the others that an endpoint takes no new work.
    void announceLeaving(const pool_name &pool, const host_port &endpoint);

    /// Takes this instance out of the directory and tells the others that it stops.
    void startLeaving();

    /// Tells why this instance must not take callers as far as its peers are concerned; empty: it may.
    std::string unreadyReason() const;

    /// Tells whether a newer process of this instance was heard of.
    bool isSuperseded() const
    {
        return m_members.isSuperseded();
    }

    /// Returns the number of instances that may still tell of a newer configuration; see source_status.
    unsigned peersPending() const;

    membership &members()
    {
        return m_members;
    }
    const directory &publishedDirectory() const
    {
        return m_directory;
    }
    const relay_chooser &relays() const
    {
        return m_capacity;
    }
    link_budget &linkBudget()
    {
        return m_link;
    }
    const peer_traffic &traffic() const
    {
        return *m_traffic;
    }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> sendHeartbeat(heartbeat_action action);
    boost::asio::awaitable<void> askChanges(change_query ask);
    boost::asio::awaitable<void> push(host_port to, std::string body);
    boost::asio::awaitable<tl::expected<std::string, unsigned>> answer(std::string request);
    tl::expected<std::string, unsigned> answerHeartbeat(const heartbeat_message &message);
    tl::expected<std::string, unsigned> answerRequest(const change_request &request);
    tl::expected<std::string, unsigned> answerChanges(const change_set &changes);
    void noteHeard(const heartbeat_message &message);
    void pushChanges(config_version previous);
    void tick();
    void publishDirectory();
    void updateLink();
    void takeNews();
    void noteChange(const member_change &change);
    nearness nearnessOf(const member_row &row) const;

    boost::asio::io_context &m_context;
    peer_node_parts m_parts;
    random_source m_random;
    membership m_members;
    config_follower m_follower;
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
