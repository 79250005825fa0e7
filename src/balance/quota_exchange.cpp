#include "sequoiawharf/quota_exchange.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

constexpr std::chrono::milliseconds kRenewal {450};
constexpr std::chrono::milliseconds kRequestInterval {250}; // between two requests to a holder
constexpr std::chrono::milliseconds kAlternation {100}; // between requests to different holders, so that a call that finds no token waits half as long

// Time without an answer from which a holder's parts are lent to another one. A healthy holder answers within milliseconds, a machine that is short of
// processor time within a tenth of a second or two.
constexpr std::chrono::milliseconds kSuspicionTime {400};
constexpr std::chrono::milliseconds kProbeInterval {2000}; // of a suspect

} // namespace

quota_exchange::quota_exchange(instance_id self, boot_time started)
    : m_self(std::move(self))
    , m_lender(started)
{
}

void quota_exchange::setCandidates(std::vector<instance_id> candidates)
{
    m_candidates = std::move(candidates);
}

bool quota_exchange::isSuspect(const instance_id &candidate) const
{
    return std::ranges::find(m_suspects, candidate, &suspect::holder) != m_suspects.end();
}

// Replaces the holders that do not answer, as long as other candidates are left.
void quota_exchange::chooseHolders(boot_time now)
{
    std::ranges::for_each(m_schedules, [&](const schedule &item) {
        if (item.unanswered != boot_time {} && now - item.unanswered >= kSuspicionTime && !isSuspect(item.holder)) {
            m_suspects.push_back({item.holder, now});
        }
    });
    std::erase_if(m_suspects, [this](const suspect &item) {
        return std::ranges::find(m_candidates, item.holder) == m_candidates.end();
    });
    std::vector<instance_id> holders;
    std::ranges::copy_if(m_candidates, std::back_inserter(holders), [this](const instance_id &candidate) {
        return !isSuspect(candidate);
    });
    if (holders.empty()) {
        holders = m_candidates;
    }
    holders.resize(std::min<std::size_t>(holders.size(), kQuotaParts));
    if (holders != m_lender.holders()) {
        m_lender.setHolders(holders);
    }
}

std::vector<quota_exchange::action> quota_exchange::tick(boot_time now)
{
    if (!m_account.hasQuotas()) {
        return {};
    }
    if (!m_candidates.empty()) {
        chooseHolders(now);
    }
    std::vector<schedule> schedules;
    std::ranges::transform(m_lender.holders(), std::back_inserter(schedules), [this](const instance_id &holder) {
        const auto match = std::ranges::find(m_schedules, holder, &schedule::holder);
        return match == m_schedules.end() ? schedule {holder, {}, {}, false} : *match;
    });
    m_schedules = std::move(schedules);
    // The holder that was asked least recently comes first.
    std::ranges::stable_sort(m_schedules, {}, &schedule::sent);
    std::vector<action> actions;
    std::ranges::for_each(m_schedules, [&](schedule &item) {
        const bool isFirst = item.sent == boot_time {};
        const bool isRenewal = isFirst || item.isUrgent || now - item.sent >= kRenewal;
        const bool isSilent = item.unanswered != boot_time {} && now - item.unanswered >= kExpectedAnswer;
        const bool mayRequest = !isSilent && now - item.sent >= kRequestInterval && (now - m_sent >= kAlternation || m_schedules.size() == 1);
        if (!isRenewal && !mayRequest) {
            return;
        }
        auto wanted = isSilent ? std::vector<token_count> {} : m_account.wanted(now);
        if (isRenewal || !wanted.empty()) {
            actions.push_back(makeAction(item, std::move(wanted), now));
        }
    });
    std::ranges::for_each(m_suspects, [&](suspect &item) {
        if (now - item.probed >= kProbeInterval) {
            item.probed = now;
            actions.push_back(makeProbe(item.holder));
        }
    });
    return actions;
}

quota_exchange::action quota_exchange::makeProbe(const instance_id &holder)
{
    action next {holder, {}};
    next.request.lender = m_self;
    next.request.sequence = ++m_sequence;
    return next;
}

quota_exchange::action quota_exchange::makeAction(schedule &item, std::vector<token_count> wanted, boot_time now)
{
    item.sent = now;
    item.unanswered = item.unanswered == boot_time {} ? now : item.unanswered;
    item.isUrgent = false;
    m_sent = now;
    action next {item.holder, {}};
    next.request.lender = m_self;
    next.request.sequence = ++m_sequence;
    next.request.wanted = std::move(wanted);
    m_lender.lend(item.holder, next.request, now);
    m_account.sent(next.request.sequence, next.request.wanted, now);
    return next;
}

void quota_exchange::handleGrant(const instance_id &holder, std::uint64_t sequence, const quota_grant &grant, boot_time now)
{
    std::erase_if(m_suspects, [&](const suspect &item) {
        return item.holder == holder;
    });
    m_account.granted(sequence, grant.granted, now, grant.instances > 0);
    m_lender.recordInstances(grant.instances);
    const bool canLend = m_lender.recordStamp(holder, grant.stamp, now);
    if (const auto match = std::ranges::find(m_schedules, holder, &schedule::holder); match != m_schedules.end()) {
        match->unanswered = {};
        match->isUrgent = canLend;
    }
}

} // namespace sequoiawharf
