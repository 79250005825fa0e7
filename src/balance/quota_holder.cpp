#include "sequoiawharf/quota_holder.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sequoiawharf
{

quota_holder::quota_holder(incarnation process, const quota_settings &settings, unsigned regions)
    : m_process(process)
    , m_settings(settings)
    , m_regions(std::max(regions, 1U))
{
}

void quota_holder::setQuotas(const std::vector<organisation_quota> &quotas, boot_time now)
{
    expire(now);
    auto previous = std::exchange(m_buckets, {});
    m_buckets.reserve(quotas.size());
    std::ranges::for_each(quotas, [&](const organisation_quota &item) {
        bucket next {bucketSize(item.quota, m_settings, m_regions), 0, m_integral};
        if (const auto match = previous.find(item.organisation); match != previous.end()) {
            settle(match->second);
            next.level = std::min(match->second.level, next.size.capacity * m_share);
        }
        m_buckets.emplace(item.organisation, next);
    });
}

quota_grant quota_holder::answer(const quota_request &request, boot_time now)
{
    expire(now);
    acceptLoan(request, now);
    quota_grant reply;
    reply.stamp = {m_process, static_cast<std::uint64_t>(now.time_since_epoch().count())};
    reply.instances = m_instances;
    std::ranges::for_each(request.wanted, [&](const token_count &item) {
        const auto match = m_buckets.find(item.organisation);
        if (match == m_buckets.end()) {
            return;
        }
        settle(match->second);
        const auto tokens = std::min(item.tokens, static_cast<std::uint32_t>(std::floor(std::min(match->second.level, 1e9))));
        if (tokens > 0) {
            match->second.level -= tokens;
            reply.granted.push_back({item.organisation, tokens});
        }
    });
    return reply;
}

void quota_holder::acceptLoan(const quota_request &request, boot_time now)
{
    const bool isPast = request.stamp.at <= static_cast<std::uint64_t>(now.time_since_epoch().count());
    const boot_time stamp {std::chrono::nanoseconds(isPast ? static_cast<std::int64_t>(request.stamp.at) : 0)};
    const bool isOwnStamp = isPast && request.stamp.process == m_process && now - stamp < kLoanTime;
    const bool isLending = std::ranges::find(request.lends, true) != request.lends.end();
    if (!isOwnStamp || !isLending || request.instances == 0) {
        return;
    }
    auto &entry = m_loans[request.lender];
    entry.instances = std::max(entry.instances, request.instances);
    for (std::size_t i = 0; i < request.lends.size(); ++i) {
        if (request.lends[i]) {
            entry.until[i] = std::max(entry.until[i], stamp + kLoanTime);
        }
    }
    applyShare(now);
}

void quota_holder::expire(boot_time now)
{
    std::ranges::for_each(m_loans, [&](auto &item) {
        std::ranges::replace_if(
            item.second.until,
            [&](boot_time until) {
                return until <= now;
            },
            boot_time {});
    });
    std::erase_if(m_loans, [](const auto &item) {
        return std::ranges::max(item.second.until) == boot_time {};
    });
    applyShare(now);
}

unsigned quota_holder::loans() const
{
    unsigned count = 0;
    std::ranges::for_each(m_loans, [&](const auto &item) {
        count += static_cast<unsigned>(std::ranges::count_if(item.second.until, [](boot_time until) {
            return until != boot_time {};
        }));
    });
    return count;
}

// Computes the share from the loans, and settles the buckets if it differs from the previous one. The time since the last update counts with the
// smaller of both shares, so that a loan that ended in between counts for none of it.
void quota_holder::applyShare(boot_time now)
{
    std::uint32_t instances = 0;
    std::ranges::for_each(m_loans, [&](const auto &item) {
        instances = std::max(instances, item.second.instances);
    });
    // All loans count with the largest number stated, since a lender that has not heard of a new instance yet lends too much.
    const double share = instances == 0 ? 0 : std::min(1.0, static_cast<double>(loans()) / kQuotaParts / instances);
    const double passed = std::chrono::duration<double>(std::max(now - m_updated, boot_clock::duration {0})).count();
    m_integral += std::min(share, m_share) * passed;
    m_updated = std::max(m_updated, now);
    m_instances = instances;
    if (share == m_share) {
        return;
    }
    m_share = std::min(share, m_share);
    std::ranges::for_each(m_buckets, [&](auto &item) {
        settle(item.second);
    });
    m_share = share;
}

void quota_holder::settle(bucket &item) const
{
    const double gained = item.size.perSecond * (m_integral - item.settled);
    item.level = std::min(item.level + gained, item.size.capacity * m_share);
    item.settled = m_integral;
}

} // namespace sequoiawharf
