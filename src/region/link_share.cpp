#include "sequoiawharf/link_share.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

constexpr std::uint64_t kUsablePercent = 85; ///< Of the link; the rest covers calls that other instances started since their last report.
constexpr std::uint64_t kGrowthThresholdPercent = 70; ///< Of the share; the share grows only when its use is above this.
constexpr std::uint64_t kStepPercent = 3; ///< Of the link; change of the share in one second.

} // namespace

link_share::link_share(std::uint64_t bytesPerSecond, std::uint64_t controlBytesPerSecond)
    : m_linkRate(bytesPerSecond)
    , m_controlRate(controlBytesPerSecond)
{
}

std::uint64_t link_share::update(unsigned instances, std::uint64_t ownBytes, unsigned othersPercent)
{
    const auto count = std::max(instances, 1U);
    const auto control = std::min(m_controlRate * count, m_linkRate / 4);
    const auto equalShare = (m_linkRate - control) / count;
    const auto othersRate = m_linkRate / 100 * std::min(othersPercent, 100U);
    const auto usable = m_linkRate / 100 * kUsablePercent - std::min(m_linkRate / 100 * kUsablePercent, othersRate + control);
    const bool isNeeded = ownBytes * 100 > m_share * kGrowthThresholdPercent;
    const auto adjusted = isNeeded ? m_share + m_linkRate / 100 * kStepPercent : m_share - std::min(m_share, m_linkRate / 100 * kStepPercent);
    m_share = std::max(equalShare, std::min(adjusted, usable));
    return m_share;
}

std::uint8_t link_share::percentOf(std::uint64_t bytes) const
{
    const auto percent = (bytes * 100 + m_linkRate - 1) / std::max<std::uint64_t>(m_linkRate, 1);
    return static_cast<std::uint8_t>(std::min<std::uint64_t>(percent, 100));
}

} // namespace sequoiawharf
