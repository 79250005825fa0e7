#pragma once

#include "sequoiawharf/centre_table.h"
#include "sequoiawharf/control_budget.h"
#include "sequoiawharf/heartbeat.h"
#include "sequoiawharf/leaving_endpoints.h"
#include "sequoiawharf/member_table.h"
#include "sequoiawharf/random_source.h"
#include "sequoiawharf/time.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sequoiawharf
{

/// Settings of a membership: the instance itself, where to find others, intervals and limits.
struct membership_settings {
    member_row self;
    std::vector<region_id> regions; ///< All regions, the own one included.
    std::vector<host_port> seeds; ///< Contacted while the platform's list is empty and no member is known; some may be down, or be this instance itself.
    member_timeouts timeouts;
    std::chrono::milliseconds roundInterval {500}; ///< Between gossip rounds within the data centre.
    unsigned roundPartners = 2; ///< Live instances of the data centre that receive a heartbeat in each round.
    std::chrono::milliseconds regionLinkInterval {1000}; ///< Between heartbeats to another data centre of the region.
    std::chrono::milliseconds farLinkInterval {3000}; ///< Between heartbeats to another region.
    std::chrono::milliseconds pauseThreshold {1500}; ///< Time between two ticks from which on the process counts as paused.
    std::uint64_t bytesPerSecond = 20'000; ///< Limit of all control traffic of this instance.
    std::uint64_t linkBytesPerSecond = 4096; ///< Limit of its control traffic between regions.
};

/// A heartbeat to send. Its reply is passed to membership::handleReply().
struct heartbeat_action {
    host_port to;
    control_kind kind = control_kind::DataCentre;
    bool followUp = false; ///< Carries the rows that the reply to an earlier heartbeat asked for.
    std::string link; ///< Name of the link to another data centre or region; empty within the data centre.
    heartbeat_message message;
    mono_time sent; ///< Time of sending.
};

/// A state change of a member, for the timeline.
struct member_change {
    enum class kind { Joined, Suspected, Returned, Left };

    kind transition = kind::Joined;
    instance_id instance;
};

/// Received updates that other components process, since the last drainUpdates().
struct membership_updates {
    std::vector<member_change> changes;
    std::vector<leaving_notice> leaving; ///< Endpoints that are newly known to be leaving.
    std::vector<centre_pools> pools; ///< Summaries of pools in other data centres.
    std::vector<std::pair<instance_id, std::vector<pool_share>>> shares; ///< Calls by pool of the other members of the data centre.
};

/// Gossip-based membership: tracks the other instances and data centres, and decides which heartbeats this instance sends. The views of two
/// instances may differ; nothing relies on their agreement. Owns no socket or clock. Not thread safe.
class membership
{
public:
    /// Starts without known members; see isViewConfirmed().
    membership(membership_settings settings, mono_time now);
    ~membership();
    membership(const membership &) = delete;
    membership &operator=(const membership &) = delete;

    /// Sets the values that this instance reports of itself. After startLeaving() it is never reported as ready.
    void setSelf(config_version version, std::uint8_t load, bool ready);

    /// Sets the use of the link between regions by this instance's calls, in percent of the whole link.
    void setLinkUse(std::uint8_t percent);

    /// Returns the use of the link between regions by the other instances of the region in percent, by their last reports. The sum may exceed
    /// 100.
    unsigned othersLinkUse(mono_time now) const;

    /// Reports from now on that this instance is stopping, and sends this to all members and on all links with the next tick().
    void startLeaving();

    /// Sets the platform's list of instances. A hint is only an address to contact; it doesn't make the instance a member.
    void setHints(std::vector<member_hint> hints);

    /// Sets the addresses to contact while the platform's list is empty and no member is known.
    void setSeeds(std::vector<host_port> seeds);

    /// Sets the calls by pool that this instance reports to the other members.
    void setShares(std::vector<pool_share> shares);

    /// Sets the summaries of this data centre's pools that are sent to other regions.
    void setPools(std::vector<pool_summary> rows);

    /// Spreads the notice that an endpoint is leaving to all members and on all links with the next tick(). Returns false and sends nothing when
    /// the leaving_endpoints doesn't accept the notice.
    bool announceLeaving(const leaving_notice &notice, mono_time now);

    /// Returns the heartbeats that are due. Precondition: called several times a second. wall: lower bound of the stamps of this data centre, so
    /// that they keep growing when all its instances restart.
    std::vector<heartbeat_action> tick(mono_time now, wall_time wall, random_source &random);

    /// Applies a heartbeat and returns the reply, or nothing when the control budget is used up.
    std::optional<heartbeat_message> take(const heartbeat_message &message, mono_time now, random_source &random);

    /// Applies the reply to a heartbeat. Returns a follow-up heartbeat when rows were asked for or are missing, within the control budget.
    std::optional<heartbeat_action> handleReply(const heartbeat_action &sent, const heartbeat_message &reply, mono_time now, random_source &random);

    /// Handles a heartbeat that got no reply. One on a link is retried at once up to three times; after that the link waits for its interval.
    void handleFailure(const heartbeat_action &sent, mono_time now);

    /// Returns the updates received since the last call, and clears them.
    membership_updates drainUpdates();

    /// Returns whether the view of the other members is confirmed: a member (or, if no member is known, any instance) has replied to a heartbeat
    /// sent since the start or the last pause, or 3 seconds have passed since then and the instance counts as alone. Until then it must not
    /// accept callers.
    bool isViewConfirmed(mono_time now) const;

    /// Returns whether a process of the same instance with a higher incarnation is known; this one must then stop.
    bool isSuperseded() const;

    /// Returns the row of this instance.
    const member_row &self() const;

    /// Returns the other instances of the data centre.
    const member_table &members() const;

    /// Returns the summaries of the other data centres.
    const centre_table &centres() const;

    /// Returns the budget of this instance's control traffic.
    control_budget &budget();

    /// Returns the live instances of the data centre, this one included.
    std::vector<member_row> liveMembers(mono_time now) const;

    /// Returns the number of known instances of the data centre of which no heartbeat was received since the start or the last pause; zero once
    /// isViewConfirmed().
    unsigned pendingMembers(mono_time now) const;

    /// Returns the number of live instances of the own region, this one included.
    std::uint32_t liveInRegion(mono_time now) const;

    /// Returns the rank of this instance among those that may read the configuration log for the region. Ranks 0 and 1 read the log; higher ranks
    /// are standbys.
    unsigned readerRank(mono_time now) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace sequoiawharf
