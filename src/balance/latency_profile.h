#pragma once

#include "sequoiawharf/time.h"

#include <atomic>
#include <chrono>
#include <cstdint>

namespace sequoiawharf
{

/// The recent latencies of one pool's answers: the minimum, and estimates of the 95th percentile and of the latency that a given share exceeds. Thread safe and
/// lock-free; of concurrent samples, some may be lost.
class latency_profile
{
public:
    /// Records the latency of one answer. Thread safe.
    void add(std::chrono::nanoseconds latency, mono_time now);

    /// Sets the share of the answers that take longer than slow(). Precondition: 0 <= share < 1. Thread safe.
    void setSlowShare(double share);

    /// Returns the estimate of the latency that the set share of the answers exceeds; zero before kMinLatencySamples answers, or when no share is set.
    /// Thread safe.
    std::chrono::nanoseconds slow() const;

    /// Returns the minimum latency of the last kMinLatencyWindow to twice that; zero before the first answer. Thread safe.
    std::chrono::nanoseconds least() const;

    /// Returns the estimate of the 95th percentile; zero before kMinLatencySamples answers. Thread safe.
    std::chrono::nanoseconds p95() const;

private:
    std::atomic<std::int64_t> m_windowEndNs {0};
    std::atomic<std::int64_t> m_leastNs {0};
    std::atomic<std::int64_t> m_previousLeastNs {0};
    std::atomic<std::int64_t> m_p95Ns {0};
    std::atomic<std::int64_t> m_slowNs {0};
    std::atomic<double> m_slowShare {0};
    std::atomic<std::uint32_t> m_samples {0};
};

} // namespace sequoiawharf
