#include "src/membership/membership_state.h"

#include <algorithm>
#include <ranges>
#include <tuple>

namespace sequoiawharf
{

namespace
{

constexpr std::size_t kMaxWanted = 16;
constexpr unsigned kChangeSends = 6; ///< Of a summary that says something new.
constexpr unsigned kRefreshSends = 3;
constexpr unsigned kMaxLinkRetries = 3; ///< At once; then the link waits for its next turn.
constexpr std::size_t kReplyOverhead = 320; ///< HTTP/2 and TCP/IP around a request and its answer.

/// A summary that says the same is passed on again only after this.
constexpr std::chrono::seconds kRefresh {5};

/// For so long after a change every newer summary is passed on, since several may have told of it at the same time.
constexpr std::chrono::seconds kUnsettled {2};

bool saysTheSame(const centre_summary &a, const centre_summary &b)
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
    const auto arrived = encodedBound(message) + kReplyOverhead;
    if (my.budget.available(kind, now) < arrived) {
        my.budget.admit(kind, arrived, now); // counts the refusal
        return std::nullopt;
    }
    my.wanted.clear();
    my.absorb(message, now);
    auto reply = my.compose(kind, kind == control_kind::DataCentre ? nullptr : &message.sender.dataCentre, now, random);
    reply.rows = my.rowsFor(message.wanted);
    my.wanted.clear();
    // A message to a seed bears no summary as those between data centres do: its sender knows nobody in its own one.
    const auto *const senders = kind == control_kind::DataCentre || !message.centres.empty() ? nullptr : my.centres.find(message.sender.dataCentre);
    if (senders != nullptr) {
        reply.centres.push_back(senders->summary);
    }
    if (!my.budget.admit(kind, arrived + encodedBound(reply), now)) {
        return std::nullopt;
    }
    return reply;
}

std::optional<heartbeat_action> membership::handleReply(const heartbeat_action &sent, const heartbeat_message &reply, mono_time now, random_source &random)
{
    auto &my = *m_state;
    my.linkRetries.erase(sent.link);
    // Only an answer to a question after the pause tells how things stand now; other messages may have waited as long.
    const bool near = reply.sender.dataCentre == my.self.dataCentre || !my.knowsOthersHere();
    if (my.pausedAt && sent.sent >= *my.pausedAt && near) {
        my.pausedAt.reset();
    }
    my.budget.admit(sent.kind, encodedBound(reply), now);
    my.wanted.clear();
    my.absorb(reply, now);
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

void membership::state::absorb(const heartbeat_message &message, mono_time now)
{
    if (message.sender.id == self.id) {
        superseded = superseded || message.sender.process > self.process;
        return;
    }
    if (message.sender.dataCentre == self.dataCentre) {
        absorbMembers(message, now);
    }
    stamp = std::max(stamp, message.receiverStamp);
    absorbCentres(message, now);
    absorbLeaving(message, now);
}

bool membership::state::knowsOthersHere() const
{
    const bool hinted = std::ranges::any_of(hints, [&](const member_hint &hint) {
        return hint.dataCentre == self.dataCentre;
    });
    return hinted || !members.entries().empty();
}

void membership::state::absorbMembers(const heartbeat_message &message, mono_time now)
{
    noteNews(members.takeRow(message.sender, now), message.sender.id);
    std::ranges::for_each(message.rows, [&](const member_row &row) {
        if (row.dataCentre == self.dataCentre) {
            superseded = superseded || (row.id == self.id && row.process > self.process);
            noteNews(members.takeRow(row, now), row.id);
        }
    });
    const auto ownKey = memberKey(self.id, self.process);
    std::ranges::for_each(message.beats, [&](const member_beat &beat) {
        if (beat.key == ownKey) {
            return;
        }
        const auto heard = members.takeBeat(beat, now);
        const auto *const row = members.find(beat.key);
        if (row != nullptr) {
            noteNews(heard, row->id);
        } else if (wanted.size() < kMaxWanted) {
            wanted.push_back(beat.key);
        }
    });
    if (!message.shares.empty()) {
        news.shares.emplace_back(message.sender.id, message.shares);
    }
}

void membership::state::absorbCentres(const heartbeat_message &message, mono_time now)
{
    std::ranges::for_each(message.centres, [&](const centre_summary &summary) {
        if (summary.dataCentre == self.dataCentre) {
            stamp = std::max(stamp, summary.stamp);
            takeAsHints(summary);
            return;
        }
        const auto *const known = centres.find(summary.dataCentre);
        const bool changed = known == nullptr || !saysTheSame(known->summary, summary);
        auto &spread = centreSpread[summary.dataCentre];
        spread.changed = changed ? now : spread.changed;
        const bool due = now - spread.changed < kUnsettled || now - spread.spread > kRefresh;
        if (centres.take(summary, now) && due) {
            spread.spread = now;
            const auto sameCentre = [&](const centre_summary &old) {
                return old.dataCentre == summary.dataCentre;
            };
            centreRumours.add(summary, sameCentre, changed ? kChangeSends : kRefreshSends);
        }
    });
    std::ranges::for_each(message.pools, [&](const centre_pools &rows) {
        if (rows.dataCentre == self.dataCentre) {
            return;
        }
        news.pools.push_back(rows);
        if (rows.dataCentre == message.sender.dataCentre) {
            poolRumours.add(rows, [&](const centre_pools &old) {
                return old.dataCentre == rows.dataCentre;
            });
        }
    });
}

// Takes from others what is known elsewhere of the own data centre, when nobody is known here.
void membership::state::takeAsHints(const centre_summary &own)
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

void membership::state::absorbLeaving(const heartbeat_message &message, mono_time now)
{
    const bool fromElsewhere = message.sender.dataCentre != self.dataCentre;
    std::ranges::for_each(message.leaving, [&](const leaving_notice &notice) {
        if (!board.take(notice, now)) {
            return;
        }
        news.leaving.push_back(notice);
        leavingRumours.add({notice, now}, [](const leaving_rumour &) {
            return false;
        });
        spreadNow = spreadNow || fromElsewhere;
        linkNow = true;
    });
}

void membership::state::noteNews(member_news heard, const instance_id &instance)
{
    using kind = member_change::kind;
    if (heard == member_news::Joined) {
        suspected.erase(instance);
        news.changes.push_back({kind::Joined, instance});
    }
    if (heard == member_news::Returned && suspected.erase(instance) > 0) {
        news.changes.push_back({kind::Returned, instance});
    }
    if (heard == member_news::Left) {
        news.changes.push_back({kind::Left, instance});
    }
}

void membership::state::noteSuspects(mono_time now)
{
    std::ranges::for_each(members.inState(member_state::Suspect, now), [&](const member_entry *entry) {
        if (suspected.insert(entry->row.id).second) {
            news.changes.push_back({member_change::kind::Suspected, entry->row.id});
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
