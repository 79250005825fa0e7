#include "sequoiawharf/quota_lender.h"

#include <algorithm>

namespace sequoiawharf
{

quota_lender::quota_lender(boot_time started)
    : m_earliest(started + kLoanTime + kLoanMargin)
{
}

void quota_lender::setHolders(const std::vector<instance_id> &holders)
{
    m_holders.clear();
    std::ranges::for_each(holders, [this](const instance_id &holder) {
        if (std::ranges::find(m_holders, holder) == m_holders.end()) {
            m_holders.push_back(holder);
        }
    });
    std::erase_if(m_stamps, [this](const known_stamp &item) {
        return std::ranges::find(m_holders, item.holder) == m_holders.end();
    });
    if (m_holders.empty()) {
        std::ranges::for_each(m_parts, [](part &item) {
            item.wanted = {};
        });
        return;
    }
    // Each holder keeps one part that it has; the other parts go to the holders without one, in order.
    auto lacking = m_holders;
    std::vector<part *> open;
    std::ranges::for_each(m_parts, [&](part &item) {
        if (std::erase(lacking, item.holder) == 0) {
            open.push_back(&item);
        } else {
            item.wanted = item.holder;
        }
    });
    for (std::size_t i = 0; i < open.size(); ++i) {
        open[i]->wanted = i < lacking.size() ? lacking[i] : m_holders.front();
    }
}

void quota_lender::recordInstances(std::uint32_t instances)
{
    m_instances = std::max(m_instances, instances);
}

bool quota_lender::recordStamp(const instance_id &holder, const holder_stamp &stamp, boot_time now)
{
    if (std::ranges::find(m_holders, holder) == m_holders.end()) {
        return false;
    }
    std::erase_if(m_stamps, [&](const known_stamp &item) {
        return item.holder == holder;
    });
    m_stamps.push_back({holder, stamp, now});
    return std::ranges::any_of(m_parts, [&](const part &item) {
        return item.wanted == holder && (item.holder != holder || item.until <= now) && canLend(item, m_stamps.back(), now);
    });
}

bool quota_lender::canLend(const part &item, const known_stamp &stamp, boot_time now) const
{
    const bool isWanted = item.wanted == stamp.holder && stamp.stamp.process != 0;
    // A later process of a holder is another holder: the earlier one may still run.
    const bool isFree = (item.holder == stamp.holder && item.process == stamp.stamp.process) || now >= item.until;
    const bool isStampUsable = now - stamp.received < kLoanTime;
    return isWanted && isFree && isStampUsable && now >= m_earliest && m_instances > 0;
}

void quota_lender::lend(const instance_id &holder, quota_request &request, boot_time now)
{
    request.instances = m_instances;
    request.lends = {};
    request.stamp = {};
    const auto known = std::ranges::find(m_stamps, holder, &known_stamp::holder);
    if (known == m_stamps.end()) {
        return;
    }
    request.stamp = known->stamp;
    for (std::size_t i = 0; i < m_parts.size(); ++i) {
        if (canLend(m_parts[i], *known, now)) {
            m_parts[i].holder = holder;
            m_parts[i].process = known->stamp.process;
            m_parts[i].until = now + kLoanTime + kLoanMargin;
            request.lends[i] = true;
        }
    }
}

unsigned quota_lender::partsLent(boot_time now) const
{
    return static_cast<unsigned>(std::ranges::count_if(m_parts, [&](const part &item) {
        return now < item.until;
    }));
}

} // namespace sequoiawharf
