#pragma once

#include "sequoiawharf/settings.h"
#include "sequoiawharf/time.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace sequoiawharf
{

/// This instance's part of the fleet's budget of repeats (retries and hedges) at one pool: in any window, the configured ratio of this instance's
/// calls plus an equal part of the slack. The parts of all instances add up to the fleet's limit. Thread safe and lock-free.
class fleet_repeat_budget
{
public:
    /// Sets the fleet's limits and the number of instances that share the slack. Precondition: instances > 0. Thread safe.
    void setLimits(const repeat_limits &limits, unsigned instances);

    /// Returns whether limits are set. While they are not, take() has no meaning. Thread safe.
    bool isSet() const
    {
        return m_isSet.load(std::memory_order_relaxed);
    }

    /// Counts a call to the pool, which earns the ratio of a repeat. Thread safe.
    void callStarted(mono_time now);

    /// Draws one repeat from the budget. Returns false when the current window allows none. Thread safe.
    bool take(mono_time now);

    /// Returns the number of repeats drawn in the window that ends now, for metrics and tests. Thread safe.
    std::uint32_t repeats(mono_time now) const;

private:
    static constexpr std::size_t kBuckets = 20; ///< Buckets of a window. The ring has one more, so that a sum covers any whole window.

    struct bucket {
        std::atomic<std::int64_t> number {-1}; ///< Number of the time interval that the counts belong to; -1 when unused.
        std::atomic<std::uint32_t> calls {0};
        std::atomic<std::uint32_t> repeats {0};
    };

    bucket &bucketAt(mono_time now);
    std::int64_t bucketNumberAt(mono_time now) const;
    std::uint32_t sum(std::atomic<std::uint32_t> bucket::*count, mono_time now, std::int64_t buckets) const;

    std::atomic<bool> m_isSet {false};
    std::atomic<double> m_ratio {0};
    std::atomic<double> m_slackPart {0};
    std::atomic<std::int64_t> m_bucketNs {500'000'000};
    std::array<bucket, kBuckets + 1> m_buckets;
};

} // namespace sequoiawharf
