#include "tools/platform/log_store.h"

#include <algorithm>
#include <ranges>

namespace sequoiawharf
{

log_offset log_store::append(std::string data, wall_time now)
{
    ++m_appends;
    m_appendedBytes += data.size();
    m_records.push_back({m_next, now, std::move(data)});
    expire(now);
    return m_next++;
}

log_page log_store::read(log_offset from, std::size_t max, wall_time now)
{
    expire(now);
    log_page page;
    page.next = m_next;
    page.first = m_records.empty() ? m_next : m_records.front().offset;
    page.oldest = m_records.empty() ? now : m_records.front().time;
    page.now = now;
    const auto start = std::ranges::lower_bound(m_records, from, {}, &log_record::offset);
    const auto left = static_cast<std::size_t>(m_records.end() - start);
    std::copy_n(start, std::min(max, left), std::back_inserter(page.records));
    return page;
}

void log_store::expire(wall_time now)
{
    while (m_maxRecords > 0 && m_records.size() > m_maxRecords) {
        m_records.pop_front();
    }
    while (m_maxAge.count() > 0 && !m_records.empty() && now - m_records.front().time > m_maxAge) {
        m_records.pop_front();
    }
}

void instance_registry::set(std::vector<listed_instance> instances, wall_time now)
{
    m_history.push_back({now, std::move(instances)});
}

std::vector<listed_instance> instance_registry::visible(wall_time now) const
{
    const auto shown = std::ranges::find_if(m_history | std::views::reverse, [&](const version &entry) {
        return entry.since + m_lag <= now;
    });
    return shown == m_history.rend() ? std::vector<listed_instance> {} : shown->instances;
}

} // namespace sequoiawharf
