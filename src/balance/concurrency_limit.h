#pragma once

#include "sequoiawharf/time.h"

#include <atomic>
#include <chrono>
#include <cstdint>

namespace sequoiawharf
{

/// Adaptive limit on the concurrent calls of one instance to a pool. It finds the instance's share of the pool without knowing the calls of the other
/// instances: it grows while all permits are in use and latencies stay near the baseline, and shrinks when latencies rise or targets refuse calls.
/// Thread safe and lock-free.
class concurrency_limit
{
public:
    /// Sets the range of the limit for a pool of poolSlots slots that is shared by that number of instances. The first call also sets the limit.
    /// Thread safe.
    void setRange(std::uint32_t poolSlots, unsigned instances);

    /// Acquires a permit. Returns false when the permits in use have reached the given part (0 to 1) of the limit. Thread safe.
    bool tryAcquire(float part);

    /// Releases a permit. Precondition: tryAcquire() returned true for it. Thread safe.
    void release();

    /// Records the latency of an answer. Thread safe.
    void recordAnswer(std::chrono::nanoseconds latency, mono_time now);

    /// Records that a target refused a call because it is overloaded. Thread safe.
    void recordRefusal(mono_time now);

    /// Returns the current limit. Thread safe.
    std::uint32_t limit() const;

    /// Returns the limit that this instance would have if the pool's slots were divided equally; at least 2. Thread safe.
    float equalPart() const
    {
        return m_minLimit.load(std::memory_order_relaxed);
    }

    /// Returns the number of permits in use. Thread safe.
    std::uint32_t inUse() const
    {
        return m_inUse.load(std::memory_order_seq_cst);
    }

    /// Returns the mean latency of the latest complete window; zero before the first one. Thread safe.
    std::chrono::nanoseconds meanLatency() const
    {
        return std::chrono::nanoseconds(m_meanNs.load(std::memory_order_relaxed));
    }

private:
    void endWindow(mono_time now);
    void setLimit(float limit);

    std::atomic<std::uint32_t> m_inUse {0};
    std::atomic<float> m_limit {0};
    std::atomic<float> m_minLimit {1};
    std::atomic<float> m_maxLimit {1};
    std::atomic<bool> m_wasReached {false}; // a call was held up by the limit in this window
    std::atomic<std::int64_t> m_windowEndNs {0};
    std::atomic<std::int64_t> m_sumNs {0};
    std::atomic<std::uint32_t> m_count {0};
    std::atomic<std::int64_t> m_meanNs {0};
    std::atomic<std::int64_t> m_baselineNs {0}; // lowest recent mean latency of a window
    std::atomic<std::int64_t> m_nextShrinkNs {0};
};

} // namespace sequoiawharf
