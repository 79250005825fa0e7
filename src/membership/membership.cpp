#include "sequoiawharf/membership.h"

#include "sequoiawharf/rendezvous.h"
#include "src/membership/membership_state.h"

#include <algorithm>
#include <ranges>

namespace sequoiawharf
{

namespace
{

constexpr unsigned kGossipSends = 6; ///< Messages that carry one summary.
constexpr unsigned kLeavingSends = 12; ///< Messages that carry one leaving notice.

/// Added to the budget at a start, when the rows of all members of the data centre are exchanged besides the regular heartbeats.
constexpr std::uint64_t kStartBytes = 40'000;

/// If no reply arrives within this time after the start or a pause, the instance counts as alone.
constexpr std::chrono::seconds kAloneTimeout {3};

} // namespace

membership::state::state(membership_settings given, mono_time now)
    : settings(std::move(given))
    , self(settings.self)
    , members(self.id, settings.timeouts)
    , centres(self.dataCentre)
    , budget(settings.bytesPerSecond, settings.linkBytesPerSecond, now)
    , centreQueue(kGossipSends)
    , poolQueue(kGossipSends)
    , leavingQueue(kLeavingSends)
    , roundDue(now)
    , started(now)
    , lastTick(now)
    , unconfirmedSince(now)
{
    budget.addOnce(kStartBytes);
}

control_kind membership::state::kindOf(const member_row &other) const
{
    if (other.dataCentre == self.dataCentre) {
        return control_kind::DataCentre;
    }
    return other.region == self.region ? control_kind::Region : control_kind::Link;
}

std::vector<std::string> membership::state::liveNames(mono_time now) const
{
    std::vector<std::string> names;
    std::ranges::transform(members.inState(member_state::Live, now), std::back_inserter(names), [](const member_entry *entry) {
        return entry->row.id.str();
    });
    return names;
}

membership::membership(membership_settings settings, mono_time now)
    : m_state(std::make_unique<state>(std::move(settings), now))
{
}

membership::~membership() = default;

void membership::setSelf(config_version version, std::uint8_t load, bool ready)
{
    auto &self = m_state->self;
    m_state->ownLinksDue = m_state->ownLinksDue || version != self.version;
    self.version = version;
    self.load = load;
    const bool isReady = ready && !self.leaving;
    if (std::exchange(self.ready, isReady) != isReady) {
        m_state->roundDue = {}; // others list this instance in their directories by its readiness
    }
}

void membership::setLinkUse(std::uint8_t percent)
{
    m_state->self.linkPercent = percent;
}

unsigned membership::othersLinkUse(mono_time now) const
{
    unsigned sum = 0;
    std::ranges::for_each(m_state->members.entries() | std::views::values, [&](const member_entry &entry) {
        sum += now - entry.lastHeartbeat < m_state->settings.timeouts.suspect ? entry.row.linkPercent : 0U;
    });
    std::ranges::for_each(m_state->centres.entries() | std::views::values, [&](const centre_entry &entry) {
        const bool isIncluded = entry.summary.region == m_state->self.region && centre_table::isFresh(entry, now);
        sum += isIncluded ? entry.summary.linkPercent : 0U;
    });
    return sum;
}

void membership::startLeaving()
{
    m_state->self.leaving = true;
    m_state->self.ready = false;
    m_state->roundToAll = true;
    m_state->allLinksDue = true;
}

void membership::setHints(std::vector<member_hint> hints)
{
    std::erase_if(hints, [&](const member_hint &hint) {
        return hint.id == m_state->self.id;
    });
    m_state->hints = std::move(hints);
    if (m_state->members.entries().empty()) {
        m_state->roundDue = {}; // earlier rounds had no hints to contact
    }
}

void membership::setSeeds(std::vector<host_port> seeds)
{
    m_state->settings.seeds = std::move(seeds);
}

void membership::setShares(std::vector<pool_share> shares)
{
    m_state->shares = std::move(shares);
}

void membership::setPools(std::vector<pool_summary> rows)
{
    m_state->pools = std::move(rows);
}

bool membership::announceLeaving(const leaving_notice &notice, mono_time now)
{
    if (!m_state->leavingEndpoints.add(notice, now)) {
        return false;
    }
    m_state->leavingQueue.add({notice, now}, [](const queued_notice &) {
        return false;
    });
    m_state->roundToAll = true;
    m_state->allLinksDue = true;
    return true;
}

std::vector<heartbeat_action> membership::tick(mono_time now, wall_time wall, random_source &random)
{
    auto &my = *m_state;
    if (now - my.lastTick > my.settings.pauseThreshold) {
        my.unconfirmedSince = now;
        my.members.limitSilence(now);
        my.roundToAll = true;
    }
    my.lastTick = now;
    const auto wallMs = std::chrono::duration_cast<std::chrono::milliseconds>(wall.time_since_epoch()).count();
    my.stamp = std::max(my.stamp, static_cast<std::uint64_t>(std::max<std::int64_t>(wallMs, 1)));
    my.members.expire(now);
    my.leavingEndpoints.expire(now);
    my.recordSuspects(now);
    std::vector<heartbeat_action> out;
    my.planRound(now, random, out);
    my.planLinks(now, random, out);
    return out;
}

membership_updates membership::drainUpdates()
{
    return std::exchange(m_state->updates, {});
}

bool membership::isViewConfirmed(mono_time now) const
{
    return !m_state->unconfirmedSince || now - *m_state->unconfirmedSince > kAloneTimeout;
}

bool membership::isSuperseded() const
{
    return m_state->superseded;
}

const member_row &membership::self() const
{
    return m_state->self;
}

const member_table &membership::members() const
{
    return m_state->members;
}

const centre_table &membership::centres() const
{
    return m_state->centres;
}

control_budget &membership::budget()
{
    return m_state->budget;
}

std::vector<member_row> membership::liveMembers(mono_time now) const
{
    std::vector<member_row> rows {m_state->self};
    std::ranges::transform(m_state->members.inState(member_state::Live, now), std::back_inserter(rows), [](const member_entry *entry) {
        return entry->row;
    });
    return rows;
}

std::uint32_t membership::liveInRegion(mono_time now) const
{
    const auto own = static_cast<std::uint32_t>(m_state->members.inState(member_state::Live, now).size());
    return 1 + own + m_state->centres.liveInRegion(m_state->self.region, now);
}

unsigned membership::pendingMembers(mono_time now) const
{
    if (isViewConfirmed(now)) {
        return 0;
    }
    const auto hinted = std::ranges::count_if(m_state->hints, [&](const member_hint &hint) {
        return hint.dataCentre == m_state->self.dataCentre && !m_state->members.entries().contains(hint.id);
    });
    return static_cast<unsigned>(hinted) + static_cast<unsigned>(m_state->members.inState(member_state::Suspect, now).size());
}

unsigned membership::readerRank(mono_time now) const
{
    const auto &self = m_state->self;
    std::vector<std::string> others;
    std::ranges::transform(m_state->centres.liveCentres(self.region, now), std::back_inserter(others), &data_centre_id::str);
    const auto centreRank = rendezvousRank(self.dataCentre.str(), others, "log:" + self.region.str());
    const auto ownRank = rendezvousRank(self.id.str(), m_state->liveNames(now), "log:" + self.dataCentre.str());
    return centreRank + ownRank * static_cast<unsigned>(others.size() + 1);
}

} // namespace sequoiawharf
