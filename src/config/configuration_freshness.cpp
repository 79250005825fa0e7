#include "sequoiawharf/configuration_freshness.h"

#include <limits>

namespace sequoiawharf
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr std::int64_t kNoProof = std::numeric_limits<std::int64_t>::min();

} // namespace

configuration_freshness::configuration_freshness(milliseconds bound)
    : m_bound(bound)
    , m_provenAtNs(kNoProof)
{
}

void configuration_freshness::recordOwnRead(boot_time sentAt, config_version ownVersion)
{
    advance(sentAt, ownVersion);
}

void configuration_freshness::recordPeer(boot_time askedAt, std::optional<milliseconds> statedAge, config_version peerVersion, config_version ownVersion)
{
    if (!statedAge || statedAge->count() < 0) {
        return;
    }
    const peer_proof proof {.provenAt = askedAt - *statedAge, .version = peerVersion};
    if (ownVersion >= peerVersion) {
        advance(proof.provenAt, ownVersion);
    } else if (!m_pending || m_pending->provenAt < proof.provenAt) {
        m_pending = proof;
    }
}

void configuration_freshness::recordVersion(config_version ownVersion)
{
    if (m_pending && ownVersion >= m_pending->version) {
        advance(m_pending->provenAt, ownVersion);
        m_pending.reset();
    }
}

// Answers may arrive in another order than their questions were sent, so an older proof is ignored. The release pairs with the acquire of readers, which
// load the configuration afterwards.
void configuration_freshness::advance(boot_time provenAt, config_version version)
{
    const auto ns = provenAt.time_since_epoch().count();
    if (ns > m_provenAtNs.load(std::memory_order_relaxed)) {
        m_provenVersion = version;
        m_provenAtNs.store(ns, std::memory_order_release);
    }
}

std::optional<nanoseconds> configuration_freshness::age(boot_time now) const
{
    const auto ns = m_provenAtNs.load(std::memory_order_acquire);
    return ns == kNoProof ? std::nullopt : std::optional(now - boot_time(nanoseconds(ns)));
}

bool configuration_freshness::isOlderThan(nanoseconds limit, boot_time now) const
{
    const auto known = age(now);
    return !known || *known >= limit;
}

bool configuration_freshness::admitsKeyedCalls(boot_time now) const
{
    return !isOn() || !isOlderThan(m_bound - kMargin, now);
}

bool configuration_freshness::shouldAskPeers(boot_time now) const
{
    return isOn() && isOlderThan(m_bound / 2, now);
}

// Two polls of a fifth of the bound and a query are at most 3.1 s of 5 s.
bool configuration_freshness::shouldReadStore(boot_time now) const
{
    return isOn() && isOlderThan(m_bound * 7 / 10, now);
}

} // namespace sequoiawharf
