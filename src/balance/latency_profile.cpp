#include "src/balance/latency_profile.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::nanoseconds kMinLatencyWindow = 10s;
constexpr std::uint32_t kMinLatencySamples = 50;
// The estimate falls by 1/256 of itself for a lower sample and rises by 19/256 for a higher one, so 5 % of the samples lie above it.
constexpr std::int64_t kStepParts = 256;

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
    const auto p95 = m_p95Ns.load(std::memory_order_relaxed);
    const auto step = std::max<std::int64_t>(1, p95 / kStepParts);
    m_p95Ns.store(p95 == 0 ? sample : (sample > p95 ? p95 + 19 * step : p95 - step), std::memory_order_relaxed);
    m_samples.fetch_add(1, std::memory_order_relaxed);
}

std::chrono::nanoseconds latency_profile::least() const
{
    const auto current = m_leastNs.load(std::memory_order_relaxed);
    const auto previous = m_previousLeastNs.load(std::memory_order_relaxed);
    return std::chrono::nanoseconds(previous == 0 ? current : std::min(current, previous));
}

std::chrono::nanoseconds latency_profile::p95() const
{
    return std::chrono::nanoseconds(m_samples.load(std::memory_order_relaxed) < kMinLatencySamples ? 0 : m_p95Ns.load(std::memory_order_relaxed));
}

} // namespace sequoiawharf
