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

/// What an instance knows before it has heard anybody, and its bounds.
struct membership_settings {
    member_row self;
    std::vector<region_id> regions; ///< All regions.
    std::vector<host_port> seeds; ///< Asked while the platform's list names nobody; some may be down, or be this instance itself.
    member_timeouts timeouts;
    std::chrono::milliseconds round {500}; ///< Between rounds of heartbeats within the data centre.
    unsigned partners = 2; ///< Instances of the data centre that a round goes to.
    std::chrono::milliseconds regionLink {1000}; ///< Between heartbeats to another data centre of the region.
    std::chrono::milliseconds farLink {3000}; ///< Between heartbeats to another region.
    std::chrono::milliseconds pause {1500}; ///< Time between ticks after which the process counts as paused.
    std::uint64_t bytesPerSecond = 20'000; ///< All control traffic of this instance.
    std::uint64_t linkBytesPerSecond = 4096; ///< Its part between regions.
};

/// A heartbeat to send. Its answer goes to membership::handleReply().
struct heartbeat_action {
    host_port to;
    control_kind kind = control_kind::DataCentre;
    bool followUp = false; ///< Brings what the answer to an earlier one asked for.
    std::string link; ///< Link between data centres that it stands for; empty within the data centre.
    heartbeat_message message;
    mono_time sent;
};

/// A change that the time line shows.
struct member_change {
    enum class kind { Joined, Suspected, Returned, Left };

    kind transition = kind::Joined;
    instance_id instance;
};

/// What came for others than membership since the last drain.
struct membership_news {
    std::vector<member_change> changes;
    std::vector<leaving_notice> leaving; ///< Endpoints to mark as leaving.
    std::vector<centre_pools> pools; ///< Summaries of pools elsewhere.
    std::vector<std::pair<instance_id, std::vector<pool_share>>> shares; ///< What members of the data centre said of their own calls.
};

/// The instances, as one of them sees them, and what it tells them. Views of two instances may differ; nothing relies on their agreement.
/// Owns no socket or clock. Not thread safe.
class membership
{
public:
    membership(membership_settings settings, mono_time now);
    ~membership();
    membership(const membership &) = delete;
    membership &operator=(const membership &) = delete;

    /// Sets what the instance says of itself. Leaving is never taken back.
    void setSelf(config_version version, std::uint8_t load, bool ready);

    /// Sets the use of the link between regions by this instance's calls, in percent of the whole link.
    void setLinkUse(std::uint8_t percent);

    /// Returns the use of the link by the other instances of the region, by their last word, in percent.
    unsigned othersLinkUse(mono_time now) const;

    /// Says from now on that this instance stops, and tells the others at once.
    void startLeaving();

    /// Takes the platform's list. A hint only says whom to ask.
    void setHints(std::vector<member_hint> hints);

    /// Sets whom to ask while the list names nobody.
    void setSeeds(std::vector<host_port> seeds);

    /// Sets the figures that are summed with those of the other members.
    void setShares(std::vector<pool_share> shares);

    /// Sets the rows that other regions get about this data centre's pools.
    void setPools(std::vector<pool_summary> rows);

    /// Spreads that an endpoint leaves, at once; false: already known.
    bool announceLeaving(const leaving_notice &notice, mono_time now);

    /// Returns the heartbeats that are due. Call it several times a second. wall: only makes stamps of this data centre grow over restarts.
    std::vector<heartbeat_action> tick(mono_time now, wall_time wall, random_source &random);

    /// Takes a heartbeat and returns the answer; nothing when the byte budget is used up.
    std::optional<heartbeat_message> take(const heartbeat_message &message, mono_time now, random_source &random);

    /// Takes the answer to a heartbeat; may return one more to send.
    std::optional<heartbeat_action> handleReply(const heartbeat_action &sent, const heartbeat_message &reply, mono_time now, random_source &random);

    /// Notes that a heartbeat was not answered.
    void handleFailure(const heartbeat_action &sent, mono_time now);

    /// Returns what came since the last call.
    membership_news drainUpdates();

    /// Tells whether a member has answered since the start or the last pause, or nobody else is known. Before that the instance takes no callers.
    bool isViewConfirmed(mono_time now) const;

    /// Tells whether a newer process of the same instance was heard; then this one must stop.
    bool isSuperseded() const;

    const member_row &self() const;
    const member_table &members() const;
    const centre_table &centres() const;
    control_budget &budget();

    /// Returns the instances of the data centre that are live, this one included.
    std::vector<member_row> liveMembers(mono_time now) const;

    /// Returns the number of known instances of the data centre that were not heard since the start or the last pause, as long as it makes
    /// sense to wait for them.
    unsigned pendingMembers(mono_time now) const;

    /// Returns the number of live instances of the own region, this one included.
    std::uint32_t liveInRegion(mono_time now) const;

    /// Returns this instance's place in the order of those that read the log for the region; 0 and 1 read, the others stand by.
    unsigned readerRank(mono_time now) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace sequoiawharf
