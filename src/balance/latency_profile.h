#pragma once

#include "sequoiawharf/time.h"

#include <atomic>
#include <chrono>
#include <cstdint>

namespace sequoiawharf
{

/// The recent latencies of one pool's answers: the minimum and an estimate of the 95th percentile. Thread safe and lock-free; of concurrent samples,
/// some may be lost.
class latency_profile
{
public:
    /// Records the latency of one answer. Thread safe.
    void add(std::chrono::nanoseconds latency, mono_time now);

    /// Returns the minimum latency of the last kMinLatencyWindow to twice that; zero before the first answer. Thread safe.
    std::chrono::nanoseconds least() const;

    /// Returns the estimate of the 95th percentile; zero before kMinLatencySamples answers. Thread safe.
    std::chrono::nanoseconds p95() const;

private:
    std::atomic<std::int64_t> m_windowEndNs {0};
    std::atomic<std::int64_t> m_leastNs {0};
    std::atomic<std::int64_t> m_previousLeastNs {0};
    std::atomic<std::int64_t> m_p95Ns {0};
    std::atomic<std::uint32_t> m_samples {0};
};

} // namespace sequoiawharf
