#pragma once

#include "sequoiawharf/time.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace sequoiawharf
{

/// The recent use of one pool by each caller, as a count-min sketch of fixed size whose counts decay exponentially. Hash collisions may make a count
/// too high, never too low. Thread safe and lock-free.
class fair_share
{
public:
    /// Length of an epoch, after which counts are halved.
    static constexpr std::chrono::milliseconds kHalfLife {250};

    /// Counts one call of the caller. Thread safe.
    void charge(std::uint64_t callerHash, mono_time now);

    /// Returns whether the caller has recently used much more than an equal part of the calls. Never true for the only caller or for one with few
    /// calls. Thread safe.
    bool isOverShare(std::uint64_t callerHash, mono_time now);

    /// Returns the estimated number of recent callers. Thread safe.
    unsigned activeCallers() const
    {
        return m_active.load(std::memory_order_relaxed);
    }

private:
    static constexpr std::size_t kRows = 2;
    static constexpr std::size_t kColumns = 256;
    using counter = std::atomic<std::uint64_t>; // upper 32 bits: epoch; lower 32 bits: count in units of 1/kUnitsPerCall

    void refreshActive(std::uint32_t epoch);

    std::array<std::array<counter, kColumns>, kRows> m_rows {};
    counter m_total {0};
    std::atomic<std::uint32_t> m_countedEpoch {0};
    std::atomic<unsigned> m_active {0};
};

} // namespace sequoiawharf
