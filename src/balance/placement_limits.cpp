#include "sequoiawharf/placement_limits.h"

#include <algorithm>
#include <numeric>

namespace sequoiawharf
{

namespace
{

constexpr centre_mask kSharedBit = centre_mask {1} << placement_limits::kMaxNumbered;

} // namespace

placement_limits::placement_limits(const std::map<region_id, std::vector<data_centre_id>> &regions)
{
    std::ranges::for_each(regions, [this](const auto &region) {
        auto &mask = m_regions[region.first];
        std::ranges::for_each(region.second, [&](const data_centre_id &centre) {
            if (m_bits.size() < kMaxNumbered) {
                mask |= m_bits.try_emplace(centre, centre_mask {1} << m_bits.size()).first->second;
            }
        });
    });
}

centre_mask placement_limits::maskOf(const data_centre_id &centre) const
{
    const auto found = m_bits.find(centre);
    return found == m_bits.end() ? kSharedBit : found->second;
}

centre_mask placement_limits::maskOf(const std::vector<region_id> &homes) const
{
    if (homes.empty()) {
        return kAllCentres;
    }
    return std::accumulate(homes.begin(), homes.end(), centre_mask {0}, [this](centre_mask mask, const region_id &home) {
        const auto found = m_regions.find(home);
        return mask | (found == m_regions.end() ? 0 : found->second);
    });
}

void placement_limits::setEvacuated(const std::set<data_centre_id> &centres)
{
    const auto mask = std::accumulate(centres.begin(), centres.end(), centre_mask {0}, [this](centre_mask sum, const data_centre_id &centre) {
        return sum | maskOf(centre);
    });
    m_evacuated.store(mask, std::memory_order_relaxed);
}

} // namespace sequoiawharf
