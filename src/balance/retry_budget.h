#pragma once

#include <algorithm>
#include <atomic>
#include <cstdint>

namespace sequoiawharf
{

/// Limits the retries and hedges of one pool to a fraction of its calls: over any window at most kCapacity plus a tenth of the window's calls.
/// Thread safe and lock-free.
class retry_budget
{
public:
    static constexpr std::int32_t kCostMilli = 1000; ///< Cost of one retry or hedge, in thousandths of a retry.
    static constexpr std::int32_t kDepositMilli = 100; ///< Deposit of each call, in thousandths of a retry.
    static constexpr std::int32_t kCapacity = 10; ///< Maximum balance, in retries.
    static constexpr unsigned kMaxDepth = 7; ///< Deeper calls are treated as calls of this depth.

    /// Adds the deposit of one call. Thread safe.
    void callStarted()
    {
        auto old = m_balanceMilli.load(std::memory_order_relaxed);
        while (old < kCapacity * kCostMilli
               && !m_balanceMilli.compare_exchange_weak(old, std::min(old + kDepositMilli, kCapacity * kCostMilli), std::memory_order_relaxed)) { }
    }

    /// Withdraws the cost of one retry or hedge by a call of that depth. Returns false, and withdraws nothing, when the balance would fall below a
    /// reserve for less deep calls, which grows with the depth. Thread safe.
    bool take(unsigned depth)
    {
        const auto reserve = static_cast<std::int32_t>(std::min(depth, kMaxDepth)) * kReservePerDepthMilli;
        auto old = m_balanceMilli.load(std::memory_order_relaxed);
        while (old >= kCostMilli + reserve) {
            if (m_balanceMilli.compare_exchange_weak(old, old - kCostMilli, std::memory_order_relaxed)) {
                return true;
            }
        }
        return false;
    }

private:
    static constexpr std::int32_t kReservePerDepthMilli = 1200;
    std::atomic<std::int32_t> m_balanceMilli {kCapacity * kCostMilli};
};

} // namespace sequoiawharf
