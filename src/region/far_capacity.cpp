#include "sequoiawharf/far_capacity.h"

#include <algorithm>
#include <numeric>
#include <ranges>
#include <set>

namespace sequoiawharf
{

namespace
{

/// A summary of this age is ignored, and the pool is assumed to have ample capacity again.
constexpr std::chrono::seconds kRowLifetime {15};

constexpr unsigned kMaxCentreWeight = 64; ///< Also the weight of a data centre with ample capacity.

} // namespace

far_capacity::far_capacity(std::vector<reachable_centre> centres, std::unordered_map<std::uint32_t, std::vector<weighted_centre>> centresByPool)
    : m_centres(std::move(centres))
    , m_centresByPool(std::move(centresByPool))
{
}

bool far_capacity::available(const pool_name &pool, centre_mask allowed) const
{
    const auto found = m_centresByPool.find(poolKey(pool));
    return found != m_centresByPool.end() && std::ranges::any_of(found->second, [&](const weighted_centre &item) {
               return weightFor(item, allowed) > 0;
           });
}

unsigned far_capacity::weightFor(const weighted_centre &item, centre_mask allowed) const
{
    return (m_centres[item.centre].centre & allowed) != 0 ? item.weight : 0;
}

const member_row *far_capacity::choose(const pool_name &pool, random_source &random, centre_mask allowed) const
{
    const auto found = m_centresByPool.find(poolKey(pool));
    if (found == m_centresByPool.end()) {
        return nullptr;
    }
    const auto &centresByPool = found->second;
    const auto total = std::accumulate(centresByPool.begin(), centresByPool.end(), 0U, [&](unsigned sum, const weighted_centre &item) {
        return sum + weightFor(item, allowed);
    });
    if (total == 0) {
        return nullptr;
    }
    auto remaining = random.below(total);
    const auto chosen = std::ranges::find_if(centresByPool, [&](const weighted_centre &item) {
        const auto weight = weightFor(item, allowed);
        const bool isChosen = remaining < weight;
        remaining -= isChosen ? 0 : weight;
        return isChosen;
    });
    const auto &entries = m_centres[chosen->centre].entries;
    return &entries[random.below(static_cast<std::uint32_t>(entries.size()))];
}

void far_pools::take(const centre_pools &rows, mono_time now)
{
    auto &centre = m_rows[rows.dataCentre];
    std::ranges::for_each(rows.rows, [&](const pool_summary &summary) {
        auto &known = centre[summary.pool];
        if (rows.stamp > known.stamp) {
            known = {summary, rows.stamp, now};
        }
    });
    std::erase_if(centre, [&](const auto &item) {
        return now - item.second.receivedAt > kRowLifetime;
    });
}

unsigned far_pools::weightAt(const data_centre_id &centre, std::uint32_t pool, mono_time now) const
{
    const auto rows = m_rows.find(centre);
    if (rows == m_rows.end()) {
        return kMaxCentreWeight;
    }
    const auto known = rows->second.find(pool);
    if (known == rows->second.end() || now - known->second.receivedAt > kRowLifetime) {
        return kMaxCentreWeight;
    }
    const auto &summary = known->second.summary;
    // The spare capacity is overstated when the calls of some instances are missing from the figures.
    return std::min<unsigned>(kMaxCentreWeight, summary.spareCalls / (1U + summary.missing));
}

void far_pools::updateServedPools(const configuration &config)
{
    if (m_version == config.version) {
        return;
    }
    m_version = config.version;
    m_served.clear();
    std::ranges::transform(config.pools.pools(), std::back_inserter(m_served), [](const auto &definition) {
        std::set<data_centre_id> centres;
        std::ranges::for_each(definition.endpoints, [&](const endpoint &member) {
            if (!member.leaving) {
                centres.insert(member.dataCentre);
            }
        });
        return served_pool {poolKey(definition.name), {centres.begin(), centres.end()}};
    });
}

std::shared_ptr<const far_capacity>
far_pools::capacity(const configuration &config, const centre_table &centres, const region_id &own, mono_time now, const placement_limits *limits)
{
    std::vector<far_capacity::reachable_centre> reachable;
    std::map<data_centre_id, std::size_t> indices;
    std::ranges::for_each(centres.entries() | std::views::values, [&](const centre_entry &entry) {
        const auto &summary = entry.summary;
        if (summary.region != own && !summary.entries.empty() && centre_table::isFresh(entry, now)) {
            indices.emplace(summary.dataCentre, reachable.size());
            reachable.push_back({summary.region, summary.entries, limits == nullptr ? kAllCentres : limits->maskOf(summary.dataCentre)});
        }
    });
    std::unordered_map<std::uint32_t, std::vector<far_capacity::weighted_centre>> centresByPool;
    updateServedPools(config);
    std::ranges::for_each(m_served, [&](const served_pool &served) {
        std::ranges::for_each(served.centres, [&](const data_centre_id &centre) {
            const auto index = indices.find(centre);
            const auto weight = index == indices.end() ? 0 : weightAt(centre, served.key, now);
            if (weight > 0) {
                centresByPool[served.key].push_back({index->second, weight});
            }
        });
    });
    return std::make_shared<far_capacity>(std::move(reachable), std::move(centresByPool));
}

} // namespace sequoiawharf
