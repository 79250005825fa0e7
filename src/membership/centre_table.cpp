#include "sequoiawharf/centre_table.h"

#include <algorithm>
#include <numeric>
#include <ranges>

namespace sequoiawharf
{

namespace
{

constexpr std::chrono::seconds kSummaryLifetime {12};

} // namespace

centre_table::centre_table(data_centre_id own)
    : m_own(std::move(own))
{
}

bool centre_table::update(const centre_summary &summary, mono_time now)
{
    if (summary.dataCentre == m_own) {
        return false;
    }
    const auto known = m_entries.find(summary.dataCentre);
    if (known != m_entries.end() && summary.stamp <= known->second.summary.stamp) {
        return false;
    }
    m_entries.insert_or_assign(summary.dataCentre, centre_entry {summary, now});
    return true;
}

void centre_table::drop(const host_port &peer)
{
    std::ranges::for_each(m_entries | std::views::values, [&](centre_entry &entry) {
        std::erase_if(entry.summary.entries, [&](const member_row &row) {
            return row.peer == peer;
        });
    });
}

const centre_entry *centre_table::find(const data_centre_id &centre) const
{
    const auto known = m_entries.find(centre);
    return known == m_entries.end() ? nullptr : &known->second;
}

bool centre_table::isFresh(const centre_entry &entry, mono_time now)
{
    return now - entry.receivedAt < kSummaryLifetime;
}

std::vector<data_centre_id> centre_table::liveCentres(const region_id &region, mono_time now) const
{
    std::vector<data_centre_id> centres;
    std::ranges::for_each(m_entries | std::views::values, [&](const centre_entry &entry) {
        if (entry.summary.region == region && entry.summary.live > 0 && isFresh(entry, now)) {
            centres.push_back(entry.summary.dataCentre);
        }
    });
    return centres;
}

std::uint32_t centre_table::liveInRegion(const region_id &region, mono_time now) const
{
    return std::accumulate(m_entries.begin(), m_entries.end(), 0U, [&](std::uint32_t sum, const auto &item) {
        const bool counts = item.second.summary.region == region && isFresh(item.second, now);
        return sum + (counts ? item.second.summary.live : 0);
    });
}

} // namespace sequoiawharf
