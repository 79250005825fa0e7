#include "src/membership/membership_state.h"

#include <algorithm>
#include <ranges>
#include <tuple>

namespace sequoiawharf
{

namespace
{

constexpr std::size_t kMaxWanted = 16; ///< Rows asked for or sent in one message.
constexpr unsigned kChangeSends = 6; ///< Messages that carry a summary with new content.
constexpr unsigned kRefreshSends = 3; ///< Messages that carry a summary with the same content and a newer stamp.
constexpr unsigned kMaxLinkRetries = 3; ///< Immediate retries on a link; after them the link waits for its interval.
constexpr std::size_t kReplyOverheadBytes = 320; ///< HTTP/2 and TCP/IP headers of a request and its response.

/// Minimum time between two times that a summary with the same content is passed on.
constexpr std::chrono::seconds kRefreshInterval {5};

/// For this time after a change each newer summary is passed on, since several instances may have reported the change at the same time.
constexpr std::chrono::seconds kChangeSettleTime {2};

bool hasSameContent(const centre_summary &a, const centre_summary &b)
{
    const auto identity = [](const member_row &row) {
        return std::tie(row.id, row.process, row.peer, row.gateway);
    };
    return a.live == b.live && std::ranges::equal(a.entries, b.entries, {}, identity, identity);
}

} // namespace

std::optional<heartbeat_message> membership::take(const heartbeat_message &message, mono_time now, random_source &random)
{
    auto &my = *m_state;
    const auto kind = my.kindOf(message.sender);
    const auto receivedBytes = encodedBound(message) + kReplyOverheadBytes;
    if (my.budget.available(kind, now) < receivedBytes) {
        my.budget.admit(kind, receivedBytes, now); // fails, and counts the refusal
        return std::nullopt;
    }
    my.wanted.clear();
    my.applyMessage(message, now);
    auto reply = my.compose(kind, kind == control_kind::DataCentre ? nullptr : &message.sender.dataCentre, now, random);
    reply.rows = my.rowsFor(message.wanted);
    my.wanted.clear();
    // Heartbeats between data centres carry a summary. One without is a message to a seed from an instance that knows no others in its own data
    // centre; the reply tells it which exist.
    const auto *const senderCentre = kind == control_kind::DataCentre || !message.centres.empty() ? nullptr : my.centres.find(message.sender.dataCentre);
    if (senderCentre != nullptr) {
        reply.centres.push_back(senderCentre->summary);
    }
    if (!my.budget.admit(kind, receivedBytes + encodedBound(reply), now)) {
        return std::nullopt;
    }
    return reply;
}

std::optional<heartbeat_action> membership::handleReply(const heartbeat_action &sent, const heartbeat_message &reply, mono_time now, random_source &random)
{
    auto &my = *m_state;
    my.linkRetries.erase(sent.link);
    // Only a reply to a heartbeat sent after the pause shows the current state; other messages may have been queued during the pause.
    const bool isConfirming = reply.sender.dataCentre == my.self.dataCentre || !my.knowsLocalMembers();
    if (my.unconfirmedSince && sent.sent >= *my.unconfirmedSince && isConfirming) {
        my.unconfirmedSince.reset();
    }
    my.budget.admit(sent.kind, encodedBound(reply), now);
    my.wanted.clear();
    my.applyMessage(reply, now);
    const auto rows = my.rowsFor(reply.wanted);
    std::vector<heartbeat_action> out;
    if (!sent.followUp && (!rows.empty() || !my.wanted.empty())) {
        auto message = my.compose(sent.kind, nullptr, now, random);
        message.rows = rows;
        my.send({sent.to, sent.kind, true, {}, std::move(message), now}, now, out);
    }
    my.wanted.clear();
    return out.empty() ? std::nullopt : std::optional(std::move(out.front()));
}

void membership::handleFailure(const heartbeat_action &sent, mono_time)
{
    if (sent.kind == control_kind::DataCentre) {
        return;
    }
    m_state->centres.drop(sent.to);
    auto &retry = m_state->linkRetries[sent.link];
    retry.due = retry.count < kMaxLinkRetries;
    ++retry.count;
}

void membership::state::applyMessage(const heartbeat_message &message, mono_time now)
{
    if (message.sender.id == self.id) {
        superseded = superseded || message.sender.process > self.process;
        return;
    }
    if (message.sender.dataCentre == self.dataCentre) {
        applyMembers(message, now);
    }
    stamp = std::max(stamp, message.receiverStamp);
    applyCentres(message, now);
    applyLeaving(message, now);
}

bool membership::state::knowsLocalMembers() const
{
    const bool hinted = std::ranges::any_of(hints, [&](const member_hint &hint) {
        return hint.dataCentre == self.dataCentre;
    });
    return hinted || !members.entries().empty();
}

void membership::state::applyMembers(const heartbeat_message &message, mono_time now)
{
    recordUpdate(members.applyRow(message.sender, now), message.sender.id);
    std::ranges::for_each(message.rows, [&](const member_row &row) {
        if (row.dataCentre == self.dataCentre) {
            superseded = superseded || (row.id == self.id && row.process > self.process);
            recordUpdate(members.applyRow(row, now), row.id);
        }
    });
    const auto ownKey = memberKey(self.id, self.process);
    std::ranges::for_each(message.beats, [&](const member_beat &beat) {
        if (beat.key == ownKey) {
            return;
        }
        const auto update = members.applyBeat(beat, now);
        const auto *const row = members.find(beat.key);
        if (row != nullptr) {
            recordUpdate(update, row->id);
        } else if (wanted.size() < kMaxWanted) {
            wanted.push_back(beat.key);
        }
    });
    if (!message.shares.empty()) {
        updates.shares.emplace_back(message.sender.id, message.shares);
    }
}

void membership::state::applyCentres(const heartbeat_message &message, mono_time now)
{
    std::ranges::for_each(message.centres, [&](const centre_summary &summary) {
        if (summary.dataCentre == self.dataCentre) {
            stamp = std::max(stamp, summary.stamp);
            addHintsFromSummary(summary);
            return;
        }
        const auto *const known = centres.find(summary.dataCentre);
        const bool changed = known == nullptr || !hasSameContent(known->summary, summary);
        auto &gossip = centreGossip[summary.dataCentre];
        gossip.lastChange = changed ? now : gossip.lastChange;
        const bool due = now - gossip.lastChange < kChangeSettleTime || now - gossip.lastSent > kRefreshInterval;
        if (centres.update(summary, now) && due) {
            gossip.lastSent = now;
            const auto sameCentre = [&](const centre_summary &old) {
                return old.dataCentre == summary.dataCentre;
            };
            centreQueue.add(summary, sameCentre, changed ? kChangeSends : kRefreshSends);
        }
    });
    std::ranges::for_each(message.pools, [&](const centre_pools &rows) {
        if (rows.dataCentre == self.dataCentre) {
            return;
        }
        updates.pools.push_back(rows);
        if (rows.dataCentre == message.sender.dataCentre) {
            poolQueue.add(rows, [&](const centre_pools &old) {
                return old.dataCentre == rows.dataCentre;
            });
        }
    });
}

// Uses the entries of a summary of the own data centre, sent by another one, as hints when no other instance is known here.
void membership::state::addHintsFromSummary(const centre_summary &own)
{
    if (!hints.empty() || !members.entries().empty()) {
        return;
    }
    std::ranges::for_each(own.entries, [this](const member_row &row) {
        if (row.id != self.id) {
            hints.push_back({row.id, row.peer, row.dataCentre, row.region});
            roundDue = {};
        }
    });
}

void membership::state::applyLeaving(const heartbeat_message &message, mono_time now)
{
    const bool fromElsewhere = message.sender.dataCentre != self.dataCentre;
    std::ranges::for_each(message.leaving, [&](const leaving_notice &notice) {
        if (!leavingEndpoints.add(notice, now)) {
            return;
        }
        updates.leaving.push_back(notice);
        leavingQueue.add({notice, now}, [](const queued_notice &) {
            return false;
        });
        roundToAll = roundToAll || fromElsewhere;
        ownLinksDue = true;
    });
}

void membership::state::recordUpdate(member_update update, const instance_id &instance)
{
    using kind = member_change::kind;
    if (update == member_update::Joined) {
        suspected.erase(instance);
        updates.changes.push_back({kind::Joined, instance});
    }
    if (update == member_update::Returned && suspected.erase(instance) > 0) {
        updates.changes.push_back({kind::Returned, instance});
    }
    if (update == member_update::Left) {
        updates.changes.push_back({kind::Left, instance});
    }
}

void membership::state::recordSuspects(mono_time now)
{
    std::ranges::for_each(members.inState(member_state::Suspect, now), [&](const member_entry *entry) {
        if (suspected.insert(entry->row.id).second) {
            updates.changes.push_back({member_change::kind::Suspected, entry->row.id});
        }
    });
    std::erase_if(suspected, [&](const instance_id &id) {
        return !members.entries().contains(id);
    });
}

std::vector<member_row> membership::state::rowsFor(const std::vector<std::uint64_t> &keys) const
{
    std::vector<member_row> rows;
    std::ranges::for_each(keys | std::views::take(kMaxWanted), [&](std::uint64_t key) {
        if (const auto *const row = members.find(key)) {
            rows.push_back(*row);
        }
    });
    return rows;
}

} // namespace sequoiawharf
