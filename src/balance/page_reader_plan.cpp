#include "sequoiawharf/page_reader_plan.h"

#include "sequoiawharf/rendezvous.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;

constexpr auto kMinReadInterval = 100ms; // between two reads of the same page, even when the budget allows more

std::vector<std::string> namesOf(const std::vector<instance_id> &instances)
{
    std::vector<std::string> names;
    std::ranges::transform(instances, std::back_inserter(names), &instance_id::str);
    return names;
}

} // namespace

void page_reader_plan::set(const pool_table &pools, const instance_id &self, const data_centre_id &centre, const std::vector<instance_id> &live)
{
    const auto names = namesOf(live);
    m_pages.clear();
    std::ranges::for_each(pools.pools(), [&](const pool &entry) {
        std::ranges::for_each(entry.endpoints, [&](const endpoint &member) {
            const bool hasPage = !entry.loadPath.empty() && member.dataCentre == centre && !member.leaving;
            if (hasPage && rendezvousRank(self.str(), names, toString(member.address)) < kReadersPerPage) {
                m_pages.push_back({entry.name, member.address, entry.loadPath, entry.slots});
            }
        });
    });
    m_position = m_pages.empty() ? 0 : m_position % m_pages.size();
}

std::optional<load_page> page_reader_plan::next(mono_time now)
{
    if (m_pages.empty() || (m_position == 0 && now < m_nextRoundStart)) {
        return std::nullopt;
    }
    if (m_position == 0) {
        m_nextRoundStart = now + kMinReadInterval;
    }
    const auto &page = m_pages[m_position];
    m_position = (m_position + 1) % m_pages.size();
    return page;
}

} // namespace sequoiawharf
