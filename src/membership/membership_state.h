#pragma once

#include "sequoiawharf/membership.h"

#include "src/membership/gossip_queue.h"

#include <set>
#include <string>

namespace sequoiawharf
{

/// A notice with the time to which its age refers.
struct leaving_rumour {
    leaving_notice notice;
    mono_time aged;
};

/// Heartbeats on one link that were not answered since the last answer.
struct link_retry {
    unsigned count = 0;
    bool due = false;
};

/// When the summary of a data centre was passed on.
struct centre_spreading {
    mono_time spread;
    mono_time changed; ///< When it last said something new.
};

/// What a membership holds. Its parts: heartbeats to send (heartbeat_plan.cpp), news that come in (heartbeat_intake.cpp).
struct membership::state {
    state(membership_settings given, mono_time now);

    // heartbeat_plan.cpp
    void planRound(mono_time now, random_source &random, std::vector<heartbeat_action> &out);
    void planLinks(mono_time now, random_source &random, std::vector<heartbeat_action> &out);
    void planLink(const std::string &role, control_kind kind, mono_time now, random_source &random, std::vector<heartbeat_action> &out);
    std::vector<host_port> chooseRoundPartners(mono_time now, random_source &random);
    std::vector<host_port> chooseSeeds(mono_time now, random_source &random) const;
    std::optional<host_port> chooseLinkPartner(const std::string &role, control_kind kind, mono_time now, random_source &random) const;
    std::optional<host_port> chooseHint(const region_id *region, const data_centre_id *centre, random_source &random) const;
    std::vector<host_port> chooseHints(const region_id *region, const data_centre_id *centre, std::size_t count, random_source &random) const;
    bool announcesTo(const std::string &region, mono_time now) const;
    bool isLinkRepresentative(const std::string &role, mono_time now) const;
    void send(heartbeat_action action, mono_time now, std::vector<heartbeat_action> &out);
    heartbeat_message compose(control_kind kind, const data_centre_id *receiver, mono_time now, random_source &random);
    std::vector<member_beat> chooseBeats(mono_time now, random_source &random) const;
    centre_summary summarise(bool withGateways, mono_time now);
    std::vector<leaving_notice> takeLeaving(mono_time now);
    std::vector<leaving_notice> recentLeaving(mono_time now) const;

    // heartbeat_intake.cpp
    void absorb(const heartbeat_message &message, mono_time now);
    bool knowsOthersHere() const;
    void absorbMembers(const heartbeat_message &message, mono_time now);
    void absorbCentres(const heartbeat_message &message, mono_time now);
    void takeAsHints(const centre_summary &own);
    void absorbLeaving(const heartbeat_message &message, mono_time now);
    void noteNews(member_news news, const instance_id &instance);
    void noteSuspects(mono_time now);
    std::vector<member_row> rowsFor(const std::vector<std::uint64_t> &keys) const;

    control_kind kindOf(const member_row &other) const;
    std::vector<std::string> liveNames(mono_time now) const;

    membership_settings settings;
    member_row self;
    member_table members;
    centre_table centres;
    leaving_endpoints board;
    control_budget budget;
    std::vector<member_hint> hints;
    std::vector<pool_share> shares;
    std::vector<pool_summary> pools;
    std::size_t poolsSent = 0;
    std::map<data_centre_id, centre_spreading> centreSpread;
    gossip_queue<centre_summary> centreRumours;
    gossip_queue<centre_pools> poolRumours;
    gossip_queue<leaving_rumour> leavingRumours;
    std::vector<std::uint64_t> wanted; ///< Keys of the last message's beats whose rows are missing.
    std::set<instance_id> suspected; ///< Those whose suspicion was noted.
    membership_news news;
    std::map<std::string, mono_time> linkDue;
    std::map<std::string, link_retry> linkRetries;
    std::uint64_t stamp = 0; ///< Newest stamp that was seen or given for the own data centre.
    mono_time roundDue;
    mono_time started;
    mono_time lastTick;
    std::optional<mono_time> pausedAt; ///< Set until a member was heard after a pause.
    std::uint64_t rounds = 0;
    bool spreadNow = false; ///< The next round goes to all.
    bool linkNow = false; ///< The links that this instance represents are due.
    bool allLinksNow = false; ///< All links are due, whoever represents the data centre.
    bool superseded = false;
};

} // namespace sequoiawharf
