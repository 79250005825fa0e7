#include "sequoiawharf/rendezvous.h"
#include "src/membership/membership_state.h"

#include <algorithm>
#include <ranges>

namespace sequoiawharf
{

namespace
{

constexpr std::size_t kMaxBeats = 32; ///< In one heartbeat.
constexpr std::size_t kMaxSummaryEntries = 3; ///< Instances named in a data centre's summary.
constexpr std::size_t kMaxGossipBytes = 600; ///< Maximum size of summaries in one heartbeat.
constexpr std::size_t kMaxLeavingBytes = 4000; ///< Maximum size of leaving notices in one heartbeat.
constexpr std::chrono::milliseconds kLeavingRepeatTime {6000}; ///< Notices up to this age are repeated in each heartbeat on a link.
constexpr std::size_t kMaxPoolRows = 12; ///< In one heartbeat.
constexpr std::size_t kMaxShares = 32; ///< In one heartbeat.
constexpr std::size_t kExchangeOverheadBytes = 320; ///< HTTP/2 and TCP/IP headers of a request and its response.
constexpr std::size_t kInitialHints = 3; ///< Hints or seeds contacted at a time while no member is live, since some may be down.
constexpr std::chrono::milliseconds kSeedDelay {500}; ///< From the start; an available platform's list arrives sooner, also across regions.
constexpr std::uint64_t kNonLivePeriodRounds = 4; ///< Each time after this number of rounds, a round also includes an instance that is not live.
const std::string kEntryRole = "entry";

/// Reduces the items to a random sample of at most count, in random order.
template<typename item> void keepRandomSample(std::vector<item> &items, std::size_t count, random_source &random)
{
    for (std::size_t i = 0; i < std::min(count, items.size()); ++i) {
        std::swap(items[i], items[i + random.below(static_cast<std::uint32_t>(items.size() - i))]);
    }
    items.resize(std::min(count, items.size()));
}

void appendPeers(const std::vector<const member_entry *> &entries, std::vector<host_port> &to)
{
    std::ranges::transform(entries, std::back_inserter(to), [](const member_entry *entry) {
        return entry->row.peer;
    });
}

} // namespace

void membership::state::planRound(mono_time now, random_source &random, std::vector<heartbeat_action> &out)
{
    if (now < roundDue && !roundToAll) {
        return;
    }
    if (now >= roundDue) {
        roundDue = now + settings.roundInterval;
        ++rounds;
    }
    ++self.beat;
    const auto partners = chooseRoundPartners(now, random);
    roundToAll = false;
    std::ranges::for_each(partners, [&](const host_port &to) {
        send({to, control_kind::DataCentre, false, {}, compose(control_kind::DataCentre, nullptr, now, random), now}, now, out);
    });
}

std::vector<host_port> membership::state::chooseRoundPartners(mono_time now, random_source &random)
{
    std::vector<host_port> live;
    appendPeers(members.inState(member_state::Live, now), live);
    appendPeers(members.inState(member_state::Leaving, now), live);
    std::vector<host_port> others;
    appendPeers(members.inState(member_state::Suspect, now), others);
    appendPeers(members.inState(member_state::Gone, now), others);
    const bool includesNonLive = rounds % kNonLivePeriodRounds == 0;
    const std::size_t hintCount = live.empty() ? kInitialHints : (includesNonLive ? 1 : 0);
    std::ranges::copy(chooseHints(nullptr, &self.dataCentre, hintCount, random), std::back_inserter(others));
    const bool toAll = roundToAll;
    keepRandomSample(live, toAll ? live.size() : settings.roundPartners, random);
    keepRandomSample(
        others, toAll ? others.size() : (includesNonLive ? 1 : 0) + (live.empty() ? std::max<std::size_t>(settings.roundPartners, kInitialHints) : 0), random);
    live.insert(live.end(), others.begin(), others.end());
    return live.empty() ? chooseSeeds(now, random) : live;
}

// Returns seeds to contact when no other instance is known: the platform's list may be unreachable for this instance alone.
std::vector<host_port> membership::state::chooseSeeds(mono_time now, random_source &random) const
{
    if (!hints.empty() || now - started < kSeedDelay) {
        return {};
    }
    std::vector<host_port> chosen;
    std::ranges::copy_if(settings.seeds, std::back_inserter(chosen), [this](const host_port &seed) {
        return seed != self.peer;
    });
    keepRandomSample(chosen, kInitialHints, random);
    return chosen;
}

std::optional<host_port> membership::state::chooseHint(const region_id *region, const data_centre_id *centre, random_source &random) const
{
    const auto chosen = chooseHints(region, centre, 1, random);
    return chosen.empty() ? std::nullopt : std::optional(chosen.front());
}

std::vector<host_port> membership::state::chooseHints(const region_id *region, const data_centre_id *centre, std::size_t count, random_source &random) const
{
    std::vector<host_port> matching;
    std::ranges::for_each(hints, [&](const member_hint &hint) {
        const bool matches = (region == nullptr || hint.region == *region) && (centre == nullptr || hint.dataCentre == *centre);
        if (matches && !members.entries().contains(hint.id)) {
            matching.push_back(hint.peer);
        }
    });
    keepRandomSample(matching, count, random);
    return matching;
}

void membership::state::planLinks(mono_time now, random_source &random, std::vector<heartbeat_action> &out)
{
    std::set<std::string> regionCentres;
    std::ranges::for_each(centres.entries(), [&](const auto &item) {
        if (item.second.summary.region == self.region) {
            regionCentres.insert(item.first.str());
        }
    });
    std::ranges::for_each(hints, [&](const member_hint &hint) {
        if (hint.region == self.region && hint.dataCentre != self.dataCentre) {
            regionCentres.insert(hint.dataCentre.str());
        }
    });
    std::ranges::for_each(regionCentres, [&](const std::string &centre) {
        planLink(centre, control_kind::Region, now, random, out);
    });
    std::ranges::for_each(settings.regions, [&](const region_id &region) {
        if (region != self.region) {
            planLink(region.str(), control_kind::Link, now, random, out);
        }
    });
    ownLinksDue = false;
    allLinksDue = false;
}

void membership::state::planLink(const std::string &remote, control_kind kind, mono_time now, random_source &random, std::vector<heartbeat_action> &out)
{
    const auto link = (kind == control_kind::Link ? "region:" : "centre:") + remote;
    const auto retry = linkRetries.find(link);
    const bool isRetry = retry != linkRetries.end() && std::exchange(retry->second.due, false);
    auto &due = linkDue[link];
    const bool isUrgent = ownLinksDue && (kind == control_kind::Region || announcesTo(remote, now));
    const bool isRegular = isLinkRepresentative(remote, now) && (now >= due || isUrgent);
    if (!isRegular && !allLinksDue && !isRetry) {
        return;
    }
    due = now + (kind == control_kind::Link ? settings.farLinkInterval : settings.regionLinkInterval);
    if (const auto partner = chooseLinkPartner(remote, kind, now, random)) {
        const data_centre_id centre(remote);
        send({*partner, kind, false, link, compose(kind, kind == control_kind::Region ? &centre : nullptr, now, random), now}, now, out);
    }
}

bool membership::state::isLinkRepresentative(const std::string &remote, mono_time now) const
{
    return rendezvousRank(self.id.str(), liveNames(now), "link:" + remote) == 0;
}

// Returns whether this data centre is the one of its region that sends changes to the remote region at once; the others wait for their interval.
bool membership::state::announcesTo(const std::string &remoteRegion, mono_time now) const
{
    std::vector<std::string> others;
    std::ranges::transform(centres.liveCentres(self.region, now), std::back_inserter(others), &data_centre_id::str);
    return rendezvousRank(self.dataCentre.str(), others, "announce:" + remoteRegion) == 0;
}

std::optional<host_port> membership::state::chooseLinkPartner(const std::string &remote, control_kind kind, mono_time now, random_source &random) const
{
    std::vector<host_port> entries;
    std::ranges::for_each(centres.entries() | std::views::values, [&](const centre_entry &entry) {
        const auto &summary = entry.summary;
        const bool matches = kind == control_kind::Link ? summary.region.str() == remote : summary.dataCentre.str() == remote;
        if (matches && centre_table::isFresh(entry, now)) {
            std::ranges::transform(summary.entries, std::back_inserter(entries), &member_row::peer);
        }
    });
    keepRandomSample(entries, 1, random);
    // A hint is sometimes chosen over a known entry, so that two partitions that have dropped each other's instances reconnect.
    const bool prefersHint = random.below(kNonLivePeriodRounds * 2) == 0;
    if (!entries.empty() && !prefersHint) {
        return entries.front();
    }
    const region_id region(remote);
    const data_centre_id centre(remote);
    const auto hint = kind == control_kind::Link ? chooseHint(&region, nullptr, random) : chooseHint(nullptr, &centre, random);
    return hint || entries.empty() ? hint : std::optional(entries.front());
}

void membership::state::send(heartbeat_action action, mono_time now, std::vector<heartbeat_action> &out)
{
    if (budget.admit(action.kind, encodedBound(action.message) + kExchangeOverheadBytes, now)) {
        out.push_back(std::move(action));
    }
}

heartbeat_message membership::state::compose(control_kind kind, const data_centre_id *receiver, mono_time now, random_source &random)
{
    heartbeat_message message;
    message.sender = self;
    message.leaving = kind == control_kind::DataCentre ? dequeueLeaving(now) : recentLeaving(now);
    std::size_t room = kMaxGossipBytes;
    const auto size = [](const auto &item) {
        return encodedBound(item);
    };
    if (kind != control_kind::Link) {
        message.centres = centreQueue.dequeue(room, size);
        message.pools = poolQueue.dequeue(room, size);
    }
    if (kind == control_kind::DataCentre) {
        message.beats = chooseBeats(now, random);
        message.wanted = wanted;
        message.shares.assign(shares.begin(), shares.begin() + static_cast<std::ptrdiff_t>(std::min(shares.size(), kMaxShares)));
        return message;
    }
    if (kind == control_kind::Link) {
        message.sender.gateway = {};
    }
    message.centres.push_back(summarise(kind == control_kind::Region, now));
    const auto *const known = receiver != nullptr ? centres.find(*receiver) : nullptr;
    message.receiverStamp = known != nullptr ? known->summary.stamp : 0;
    if (kind == control_kind::Link && !pools.empty()) {
        centre_pools rows {self.dataCentre, stamp, {}};
        const auto count = std::min(pools.size(), kMaxPoolRows);
        std::ranges::transform(std::views::iota(std::size_t {0}, count), std::back_inserter(rows.rows), [&](std::size_t i) {
            return pools[(poolsSent + i) % pools.size()];
        });
        poolsSent += count;
        message.pools.push_back(std::move(rows));
    }
    return message;
}

std::vector<member_beat> membership::state::chooseBeats(mono_time now, random_source &random) const
{
    std::vector<member_beat> beats;
    std::ranges::for_each(members.entries() | std::views::values, [&](const member_entry &entry) {
        if (now - entry.lastHeartbeat < settings.timeouts.suspect) {
            const auto &row = entry.row;
            beats.push_back({entry.key, row.beat, row.load, row.linkPercent, row.ready, row.leaving});
        }
    });
    if (beats.size() > kMaxBeats) {
        keepRandomSample(beats, kMaxBeats, random);
    }
    return beats;
}

centre_summary membership::state::summarise(bool withGateways, mono_time now)
{
    centre_summary summary {self.dataCentre, self.region, ++stamp, 0, 0, self.version, {}};
    std::vector<member_row> rows;
    std::ranges::transform(members.inState(member_state::Live, now), std::back_inserter(rows), [](const member_entry *entry) {
        return entry->row;
    });
    if (!self.leaving) {
        rows.push_back(self);
    }
    summary.live = static_cast<std::uint32_t>(rows.size());
    std::ranges::for_each(rows, [&](const member_row &row) {
        summary.version = std::max(summary.version, row.version);
        summary.linkPercent = static_cast<std::uint8_t>(std::min(summary.linkPercent + row.linkPercent, 100));
    });
    std::erase_if(rows, [](const member_row &row) {
        return !row.ready;
    });
    std::ranges::sort(rows, std::ranges::greater {}, [](const member_row &row) {
        return rendezvousWeight(row.id.str(), kEntryRole);
    });
    rows.resize(std::min(rows.size(), kMaxSummaryEntries));
    if (!withGateways) {
        std::ranges::for_each(rows, [](member_row &row) {
            row.gateway = {};
        });
    }
    summary.entries = std::move(rows);
    return summary;
}

std::vector<leaving_notice> membership::state::recentLeaving(mono_time now) const
{
    auto notices = leavingEndpoints.notices(now);
    std::erase_if(notices, [](const leaving_notice &notice) {
        return notice.age > kLeavingRepeatTime;
    });
    std::ranges::sort(notices, {}, &leaving_notice::age);
    std::size_t room = kMaxLeavingBytes;
    const auto full = std::ranges::find_if(notices, [&](const leaving_notice &notice) {
        const auto bytes = encodedBound(notice);
        const bool fits = bytes <= room;
        room -= fits ? bytes : 0;
        return !fits;
    });
    notices.erase(full, notices.end());
    return notices;
}

std::vector<leaving_notice> membership::state::dequeueLeaving(mono_time now)
{
    std::size_t room = kMaxLeavingBytes;
    const auto batch = leavingQueue.dequeue(room, [](const queued_notice &queued) {
        return encodedBound(queued.notice);
    });
    std::vector<leaving_notice> notices;
    std::ranges::transform(batch, std::back_inserter(notices), [&](const queued_notice &queued) {
        auto notice = queued.notice;
        notice.age += std::chrono::duration_cast<std::chrono::milliseconds>(now - queued.receivedAt);
        return notice;
    });
    return notices;
}

} // namespace sequoiawharf
