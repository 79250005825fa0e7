#include "src/balance/concurrency_limit.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;

constexpr auto kLimitWindow = 200ms;
constexpr std::uint32_t kMinWindowSamples = 50;
// The first limit is this multiple of an equal part of the slots, the maximum this multiple of all slots.
constexpr float kHeadroom = 2;
constexpr float kMinEqualParts = 1; // lower bound of the limit, in equal parts
constexpr float kMinLimit = 2;
constexpr double kShrinkLatencyRatio = 2; // mean latency over the baseline from which the limit shrinks
constexpr float kLatencyShrinkFactor = 0.9F;
constexpr float kRefusalShrinkFactor = 0.95F;
// Growth of the limit per window, in equal parts. Additive growth lets the limits of the instances converge; multiplicative growth would not.
constexpr float kGrowthPart = 0.1F;
constexpr std::int64_t kBaselineDriftParts = 512; // the baseline latency may rise by one part in 512 each window

} // namespace

void concurrency_limit::setRange(std::uint32_t poolSlots, unsigned instances)
{
    const auto slots = static_cast<float>(std::max(1U, poolSlots));
    const auto equalPart = slots / static_cast<float>(std::max(1U, instances));
    m_minLimit.store(std::max(kMinLimit, equalPart * kMinEqualParts), std::memory_order_relaxed);
    m_maxLimit.store(std::max(kMinLimit, slots * kHeadroom), std::memory_order_relaxed);
    const auto current = m_limit.load(std::memory_order_relaxed);
    setLimit(current == 0 ? equalPart * kHeadroom : current);
}

bool concurrency_limit::tryAcquire(float part)
{
    const auto bound = std::max(1U, static_cast<std::uint32_t>(static_cast<float>(limit()) * part));
    auto current = m_inUse.load(std::memory_order_seq_cst);
    while (current < bound) {
        if (m_inUse.compare_exchange_weak(current, current + 1, std::memory_order_seq_cst)) {
            return true;
        }
    }
    m_wasReached.store(true, std::memory_order_relaxed);
    return false;
}

void concurrency_limit::release()
{
    m_inUse.fetch_sub(1, std::memory_order_seq_cst);
}

void concurrency_limit::recordAnswer(std::chrono::nanoseconds latency, mono_time now)
{
    m_sumNs.fetch_add(latency.count(), std::memory_order_relaxed);
    m_count.fetch_add(1, std::memory_order_relaxed);
    endWindow(now);
}

void concurrency_limit::recordRefusal(mono_time now)
{
    const auto nowNs = now.time_since_epoch().count();
    auto after = m_nextShrinkNs.load(std::memory_order_relaxed);
    const auto next = nowNs + std::max<std::int64_t>(m_meanNs.load(std::memory_order_relaxed), std::chrono::nanoseconds(1ms).count());
    if (nowNs >= after && m_nextShrinkNs.compare_exchange_strong(after, next, std::memory_order_relaxed)) {
        setLimit(m_limit.load(std::memory_order_relaxed) * kRefusalShrinkFactor);
    }
}

std::uint32_t concurrency_limit::limit() const
{
    return static_cast<std::uint32_t>(m_limit.load(std::memory_order_relaxed));
}

void concurrency_limit::endWindow(mono_time now)
{
    const auto nowNs = now.time_since_epoch().count();
    auto end = m_windowEndNs.load(std::memory_order_relaxed);
    if (nowNs < end || m_count.load(std::memory_order_relaxed) < kMinWindowSamples
        || !m_windowEndNs.compare_exchange_strong(end, nowNs + std::chrono::nanoseconds(kLimitWindow).count(), std::memory_order_relaxed)) {
        return;
    }
    const auto count = m_count.exchange(0, std::memory_order_relaxed);
    const auto mean = m_sumNs.exchange(0, std::memory_order_relaxed) / std::max<std::int64_t>(1, count);
    const auto baseline = m_baselineNs.load(std::memory_order_relaxed);
    m_meanNs.store(mean, std::memory_order_relaxed);
    m_baselineNs.store(baseline == 0 ? mean : std::min(mean, baseline + baseline / kBaselineDriftParts), std::memory_order_relaxed);
    const bool wasReached = m_wasReached.exchange(false, std::memory_order_relaxed);
    const bool isSlow = baseline != 0 && static_cast<double>(mean) > kShrinkLatencyRatio * static_cast<double>(baseline);
    const auto limit = m_limit.load(std::memory_order_relaxed);
    if (isSlow && wasReached) {
        setLimit(limit * kLatencyShrinkFactor);
    } else if (wasReached && nowNs >= m_nextShrinkNs.load(std::memory_order_relaxed)) {
        setLimit(limit + kGrowthPart * m_minLimit.load(std::memory_order_relaxed));
    }
}

void concurrency_limit::setLimit(float limit)
{
    m_limit.store(std::clamp(limit, m_minLimit.load(std::memory_order_relaxed), m_maxLimit.load(std::memory_order_relaxed)), std::memory_order_relaxed);
}

} // namespace sequoiawharf
