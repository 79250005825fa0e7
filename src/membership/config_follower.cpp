#include "sequoiawharf/config_follower.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace sequoiawharf
{

namespace
{

using std::chrono::milliseconds;

constexpr std::size_t kMaxSources = 16; ///< Instances whose versions are remembered.
constexpr milliseconds kQueryTimeout {500};
constexpr milliseconds kFarQueryTimeout {1000};
constexpr milliseconds kRetryDelay {250};
constexpr std::uint32_t kOrders = 1U << 16U;
constexpr unsigned kMaxFailures = 4; ///< Of queries to the only known source.
constexpr auto kNewestVersion = std::numeric_limits<config_version>::max();

/// Returns a random delay, so that the instances don't all send queries at once and a change that is already being sent arrives first.
milliseconds delayFor(nearness distance, random_source &random)
{
    const auto jitter = [&](std::uint32_t from, std::uint32_t width) {
        return milliseconds(from + random.below(width));
    };
    switch (distance) {
    case nearness::DataCentre:
        return jitter(50, 150);
    case nearness::Region:
        return jitter(50, 250);
    case nearness::Far:
        break;
    }
    return jitter(500, 1000);
}

} // namespace

void config_follower::heard(const host_port &peer, nearness distance, config_version version, mono_time now, random_source &random)
{
    const auto known = std::ranges::find(m_sources, peer, &source::peer);
    if (known != m_sources.end() && known->version >= version) {
        return;
    }
    const source fresh {.peer = peer, .distance = distance, .version = version, .due = now + delayFor(distance, random), .order = random.below(kOrders)};
    if (known != m_sources.end()) {
        *known = fresh;
        return;
    }
    if (m_sources.size() >= kMaxSources) {
        m_sources.erase(std::ranges::min_element(m_sources, {}, &source::version));
    }
    m_sources.push_back(fresh);
}

std::optional<change_query> config_follower::next(config_version own, mono_time now)
{
    std::erase_if(m_sources, [&](const source &known) {
        return known.version <= own;
    });
    if (m_nextQueryAt && now < *m_nextQueryAt) {
        return std::nullopt;
    }
    const source *best = nullptr;
    std::ranges::for_each(m_sources, [&](const source &known) {
        const auto rankOf = [](const source &one) {
            return std::tuple(one.distance, kNewestVersion - one.version, one.order);
        };
        if (now >= known.due && (best == nullptr || rankOf(known) < rankOf(*best))) {
            best = &known;
        }
    });
    if (best == nullptr) {
        return std::nullopt;
    }
    m_nextQueryAt = now + (best->distance == nearness::Far ? kFarQueryTimeout : kQueryTimeout);
    return change_query {best->peer, best->distance, own};
}

void config_follower::finishQuery(const change_query &query, bool failed, mono_time now)
{
    m_nextQueryAt = failed ? std::optional(now + kRetryDelay) : std::nullopt;
    const auto queried = std::ranges::find(m_sources, query.to, &source::peer);
    if (queried == m_sources.end()) {
        return;
    }
    // The only source is kept after a failure: it may have been busy, and may not be heard of again for a second.
    const bool isKept = failed && m_sources.size() == 1 && ++queried->failures < kMaxFailures;
    if (!isKept) {
        m_sources.erase(queried);
    }
}

bool config_follower::isBehind(config_version own) const
{
    return std::ranges::any_of(m_sources, [&](const source &known) {
        return known.version > own;
    });
}

} // namespace sequoiawharf
