#pragma once

#include "sequoiawharf/membership.h"

#include "src/membership/gossip_queue.h"

#include <set>
#include <string>

namespace sequoiawharf
{

/// A notice to pass on.
struct queued_notice {
    leaving_notice notice;
    mono_time receivedAt; ///< Time to which the notice's age refers.
};

/// Consecutive heartbeats on one link that got no reply.
struct link_retry {
    unsigned count = 0;
    bool due = false; ///< A retry is sent with the next tick.
};

/// Times at which the summary of a data centre was passed on and changed.
struct centre_gossip {
    mono_time lastSent; ///< Last time it was queued to be passed on.
    mono_time lastChange; ///< Last time its content changed.
};

/// State of a membership. heartbeat_plan.cpp decides which heartbeats to send, heartbeat_intake.cpp applies received ones.
struct membership::state {
    state(membership_settings given, mono_time now);

    // heartbeat_plan.cpp
    void planRound(mono_time now, random_source &random, std::vector<heartbeat_action> &out);
    void planLinks(mono_time now, random_source &random, std::vector<heartbeat_action> &out);
    void planLink(const std::string &remote, control_kind kind, mono_time now, random_source &random, std::vector<heartbeat_action> &out);
    std::vector<host_port> chooseRoundPartners(mono_time now, random_source &random);
    std::vector<host_port> chooseSeeds(mono_time now, random_source &random) const;
    std::optional<host_port> chooseLinkPartner(const std::string &remote, control_kind kind, mono_time now, random_source &random) const;
    std::optional<host_port> chooseHint(const region_id *region, const data_centre_id *centre, random_source &random) const;
    std::vector<host_port> chooseHints(const region_id *region, const data_centre_id *centre, std::size_t count, random_source &random) const;
    bool announcesTo(const std::string &remoteRegion, mono_time now) const;
    bool isLinkRepresentative(const std::string &remote, mono_time now) const;
    void send(heartbeat_action action, mono_time now, std::vector<heartbeat_action> &out);
    heartbeat_message compose(control_kind kind, const data_centre_id *receiver, mono_time now, random_source &random);
    std::vector<member_beat> chooseBeats(mono_time now, random_source &random) const;
    centre_summary summarise(bool withGateways, mono_time now);
    std::vector<leaving_notice> dequeueLeaving(mono_time now);
    std::vector<leaving_notice> recentLeaving(mono_time now) const;

    // heartbeat_intake.cpp
    void applyMessage(const heartbeat_message &message, mono_time now);
    bool knowsLocalMembers() const;
    void applyMembers(const heartbeat_message &message, mono_time now);
    void applyCentres(const heartbeat_message &message, mono_time now);
    void addHintsFromSummary(const centre_summary &own);
    void applyLeaving(const heartbeat_message &message, mono_time now);
    void recordUpdate(member_update update, const instance_id &instance);
    void recordSuspects(mono_time now);
    std::vector<member_row> rowsFor(const std::vector<std::uint64_t> &keys) const;

    control_kind kindOf(const member_row &other) const;
    std::vector<std::string> liveNames(mono_time now) const;

    membership_settings settings;
    member_row self;
    member_table members;
    centre_table centres;
    leaving_endpoints leavingEndpoints;
    control_budget budget;
    std::vector<member_hint> hints;
    std::vector<pool_share> shares;
    std::vector<pool_summary> pools;
    std::size_t poolsSent = 0; ///< Rows of pools sent to other regions so far; messages carry them in rotation.
    std::map<data_centre_id, centre_gossip> centreGossip;
    gossip_queue<centre_summary> centreQueue;
    gossip_queue<centre_pools> poolQueue;
    gossip_queue<queued_notice> leavingQueue;
    std::vector<std::uint64_t> wanted; ///< Keys of beats in the message being applied whose rows are missing.
    std::set<instance_id> suspected; ///< Instances whose suspicion was reported as a change.
    membership_updates updates;
    std::map<std::string, mono_time> linkDue; ///< Time of the next heartbeat, by link name.
    std::map<std::string, link_retry> linkRetries; ///< By link name.
    std::uint64_t stamp = 0; ///< Newest stamp of the own data centre that is known or was issued.
    mono_time roundDue;
    mono_time started;
    mono_time lastTick;
    std::optional<mono_time> unconfirmedSince; ///< Start or end of the last pause; reset when a member replies. See isViewConfirmed().
    std::uint64_t rounds = 0;
    bool roundToAll = false; ///< The next round goes to all members, at once.
    bool ownLinksDue = false; ///< Links that this instance represents are due at once.
    bool allLinksDue = false; ///< All links are due at once, even those that another instance represents.
    bool superseded = false; ///< See isSuperseded().
};

} // namespace sequoiawharf
