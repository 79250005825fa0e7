#include "sequoiawharf/pool_sums.h"

#include <algorithm>
#include <limits>
#include <ranges>

namespace sequoiawharf
{

namespace
{

constexpr std::chrono::seconds kShareLifetime {5};

/// A pool is reported unless more than 1/kSpareDivisor of its slots are spare and more than 1/kFitDivisor of its endpoints are fit.
constexpr unsigned kSpareDivisor = 4;
constexpr unsigned kFitDivisor = 2;

template<typename number> number saturate(unsigned value)
{
    return static_cast<number>(std::min<unsigned>(value, std::numeric_limits<number>::max()));
}

} // namespace

void pool_sums::setOwn(std::vector<pool_totals> facts)
{
    m_own = std::move(facts);
}

std::vector<pool_share> pool_sums::ownShares() const
{
    std::vector<pool_share> shares;
    std::ranges::for_each(m_own, [&](const pool_totals &facts) {
        if (facts.inFlight > 0) {
            shares.push_back({poolKey(facts.pool), saturate<std::uint16_t>(facts.inFlight)});
        }
    });
    std::ranges::sort(shares, std::ranges::greater {}, &pool_share::inFlight);
    return shares;
}

void pool_sums::recordShares(const instance_id &from, const std::vector<pool_share> &shares, mono_time now)
{
    auto &member = m_members[from];
    member.receivedAt = now;
    member.inFlight.clear();
    std::ranges::for_each(shares, [&](const pool_share &share) {
        member.inFlight[share.pool] = share.inFlight;
    });
}

std::vector<pool_summary> pool_sums::summaries(std::size_t others, mono_time now)
{
    std::erase_if(m_members, [&](const auto &item) {
        return now - item.second.receivedAt > kShareLifetime;
    });
    const auto missing = others - std::min(others, m_members.size());
    std::vector<pool_summary> rows;
    std::ranges::for_each(m_own, [&](const pool_totals &facts) {
        const auto key = poolKey(facts.pool);
        unsigned inFlight = facts.inFlight;
        std::ranges::for_each(m_members | std::views::values, [&](const member_shares &member) {
            const auto share = member.inFlight.find(key);
            inFlight += share == member.inFlight.end() ? 0 : share->second;
        });
        const unsigned capacity = facts.fitEndpoints * facts.slots;
        const unsigned spare = capacity - std::min(capacity, inFlight);
        const bool isAmple = spare * kSpareDivisor > facts.endpoints * facts.slots && facts.fitEndpoints * kFitDivisor > facts.endpoints;
        if (!isAmple) {
            rows.push_back({key,
                            saturate<std::uint16_t>(facts.fitEndpoints),
                            saturate<std::uint16_t>(facts.endpoints),
                            saturate<std::uint16_t>(spare),
                            saturate<std::uint8_t>(static_cast<unsigned>(missing))});
        }
    });
    return rows;
}

} // namespace sequoiawharf
