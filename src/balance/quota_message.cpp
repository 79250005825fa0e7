#include "sequoiawharf/quota_message.h"

#include "sequoiawharf/rendezvous.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

constexpr double kCapacityPart = 0.3; // of the bound; the rest is added over the window
constexpr double kMaxCapacityPart = 0.5; // leaves the rate at least the quota's when the capacity is raised to whole tokens
constexpr double kMinTokens = 1.25; // in a holder's bucket, so that it reaches a whole token also while some shares are not lent

} // namespace

std::uint64_t quotaKey(const organisation_name &name)
{
    return rendezvousWeight(name.str(), "quota");
}

std::vector<organisation_quota> quotasOf(const organisation_table &organisations)
{
    std::vector<organisation_quota> quotas;
    std::ranges::for_each(organisations.organisations(), [&](const organisation &item) {
        if (item.quota.isSet()) {
            quotas.push_back({quotaKey(item.name), item.quota});
        }
    });
    return quotas;
}

bucket_size bucketSize(const call_quota &quota, const quota_settings &settings, unsigned regions)
{
    const double window = std::chrono::duration<double>(settings.window).count();
    const double lifetime = std::chrono::duration<double>(kTokenLifetime).count();
    const double bound = (quota.perSecond * window + quota.burst) * (1 + settings.overshoot) + settings.slack;
    // A holder that never has a whole token would refuse all calls of a small organisation.
    const double wholeTokens = std::min(kMinTokens * kQuotaParts * regions, kMaxCapacityPart * bound);
    const double capacity = std::max(std::min(quota.burst + settings.slack, kCapacityPart * bound), wholeTokens);
    // Calls of one window use tokens granted within it or up to a token's lifetime before it.
    return {capacity / regions, (bound - capacity) / (window + lifetime) / regions};
}

} // namespace sequoiawharf
