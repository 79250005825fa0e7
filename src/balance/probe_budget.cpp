#include "sequoiawharf/probe_budget.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

// Size of a burst, in seconds of the rate. The rate limits the mean over a long time, so bursts may be large.
constexpr double kBurstSeconds = 3;

} // namespace

void probe_budget::setRate(double perSecond, mono_time now)
{
    refill(now);
    if (m_rate == 0) {
        m_tokens = perSecond * kBurstSeconds;
    }
    m_rate = perSecond;
}

void probe_budget::refill(mono_time now)
{
    const auto elapsed = m_lastRefill == mono_time {} ? 0.0 : std::chrono::duration<double>(now - m_lastRefill).count();
    m_lastRefill = now;
    m_tokens = std::min(m_tokens + std::max(elapsed, 0.0) * m_rate, m_rate * kBurstSeconds);
}

unsigned probe_budget::take(unsigned wanted, unsigned guaranteed, mono_time now)
{
    if (m_rate == 0) {
        return wanted;
    }
    refill(now);
    const auto allowed = std::clamp(static_cast<unsigned>(std::max(m_tokens, 0.0)), std::min(guaranteed, wanted), wanted);
    // The debt is bounded as well, so that a long burst does not stop all probes after it.
    m_tokens = std::max(m_tokens - allowed, -m_rate * kBurstSeconds);
    return allowed;
}

} // namespace sequoiawharf
