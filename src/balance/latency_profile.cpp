#include "src/balance/latency_profile.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::nanoseconds kMinLatencyWindow = 10s;
constexpr std::uint32_t kMinLatencySamples = 50;
// An estimate falls by 1/256 of itself for a lower sample, and rises by a multiple of that for a higher one, so that it settles where the stated share of
// the samples lies above it.
constexpr std::int64_t kStepParts = 256;
constexpr double kP95Share = 0.05;

std::int64_t nextEstimate(std::int64_t estimate, std::int64_t sample, double shareAbove)
{
    if (estimate == 0) {
        return sample;
    }
    const auto step = std::max<std::int64_t>(1, estimate / kStepParts);
    const auto rise = static_cast<std::int64_t>(static_cast<double>(step) * (1 - shareAbove) / shareAbove);
    return sample > estimate ? estimate + rise : estimate - step;
}

} // namespace

void latency_profile::add(std::chrono::nanoseconds latency, mono_time now)
{
    const auto sample = std::max<std::int64_t>(1, latency.count());
    const auto nowNs = now.time_since_epoch().count();
    auto end = m_windowEndNs.load(std::memory_order_relaxed);
    if (nowNs >= end && m_windowEndNs.compare_exchange_strong(end, nowNs + kMinLatencyWindow.count(), std::memory_order_relaxed)) {
        m_previousLeastNs.store(m_leastNs.load(std::memory_order_relaxed), std::memory_order_relaxed);
        m_leastNs.store(sample, std::memory_order_relaxed);
    }
    const auto least = m_leastNs.load(std::memory_order_relaxed);
    if (least == 0 || sample < least) {
        m_leastNs.store(sample, std::memory_order_relaxed);
    }
    m_p95Ns.store(nextEstimate(m_p95Ns.load(std::memory_order_relaxed), sample, kP95Share), std::memory_order_relaxed);
    if (const auto share = m_slowShare.load(std::memory_order_relaxed); share > 0) {
        m_slowNs.store(nextEstimate(m_slowNs.load(std::memory_order_relaxed), sample, share), std::memory_order_relaxed);
    }
    m_samples.fetch_add(1, std::memory_order_relaxed);
}

std::chrono::nanoseconds latency_profile::least() const
{
    const auto current = m_leastNs.load(std::memory_order_relaxed);
    const auto previous = m_previousLeastNs.load(std::memory_order_relaxed);
    return std::chrono::nanoseconds(previous == 0 ? current : std::min(current, previous));
}

void latency_profile::setSlowShare(double share)
{
    if (m_slowShare.exchange(share, std::memory_order_relaxed) != share) {
        m_slowNs.store(0, std::memory_order_relaxed);
    }
}

std::chrono::nanoseconds latency_profile::slow() const
{
    return std::chrono::nanoseconds(m_samples.load(std::memory_order_relaxed) < kMinLatencySamples ? 0 : m_slowNs.load(std::memory_order_relaxed));
}

std::chrono::nanoseconds latency_profile::p95() const
{
    return std::chrono::nanoseconds(m_samples.load(std::memory_order_relaxed) < kMinLatencySamples ? 0 : m_p95Ns.load(std::memory_order_relaxed));
}

} // namespace sequoiawharf
