#include "src/balance/fair_share.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

constexpr std::uint32_t kUnitsPerCall = 16;
constexpr double kShareTolerance = 1.5; // a caller is over its share above this multiple of an equal part
constexpr double kShareAllowance = 4; // calls that a caller may have beyond its share before it counts as over it

std::uint32_t epochOf(mono_time now)
{
    return static_cast<std::uint32_t>(now.time_since_epoch() / fair_share::kHalfLife);
}

// Returns the count in the epoch: halved for each epoch that has passed since it was stored.
std::uint32_t countIn(std::uint64_t packed, std::uint32_t epoch)
{
    const auto count = static_cast<std::uint32_t>(packed);
    const auto age = epoch - static_cast<std::uint32_t>(packed >> 32);
    const bool isEpochPast = age > UINT32_MAX / 2; // the counter is already in a later epoch
    return isEpochPast ? count : (age < 32 ? count >> age : 0);
}

std::uint32_t laterEpoch(std::uint64_t packed, std::uint32_t epoch)
{
    const auto own = static_cast<std::uint32_t>(packed >> 32);
    return epoch - own > UINT32_MAX / 2 ? own : epoch;
}

void add(std::atomic<std::uint64_t> &counter, std::uint32_t epoch)
{
    auto old = counter.load(std::memory_order_relaxed);
    const auto added = [epoch](std::uint64_t packed) {
        return (std::uint64_t {laterEpoch(packed, epoch)} << 32) | (countIn(packed, epoch) + kUnitsPerCall);
    };
    while (!counter.compare_exchange_weak(old, added(old), std::memory_order_relaxed)) { }
}

std::size_t columnOf(std::uint64_t hash, std::size_t row, std::size_t columns)
{
    const auto mixed = (hash ^ (hash >> 29)) * (row == 0 ? 0x9e3779b97f4a7c15ULL : 0xc2b2ae3d27d4eb4fULL);
    return (mixed >> 40) % columns;
}

} // namespace

void fair_share::charge(std::uint64_t callerHash, mono_time now)
{
    const auto epoch = epochOf(now);
    add(m_rows[0][columnOf(callerHash, 0, kColumns)], epoch);
    add(m_rows[1][columnOf(callerHash, 1, kColumns)], epoch);
    add(m_total, epoch);
    refreshActive(epoch);
}

bool fair_share::isOverShare(std::uint64_t callerHash, mono_time now)
{
    const auto epoch = epochOf(now);
    const auto first = countIn(m_rows[0][columnOf(callerHash, 0, kColumns)].load(std::memory_order_relaxed), epoch);
    const auto second = countIn(m_rows[1][columnOf(callerHash, 1, kColumns)].load(std::memory_order_relaxed), epoch);
    const auto own = static_cast<double>(std::min(first, second)) / kUnitsPerCall;
    const auto total = static_cast<double>(countIn(m_total.load(std::memory_order_relaxed), epoch)) / kUnitsPerCall;
    const auto equalPart = total / std::max(1U, activeCallers());
    return activeCallers() > 1 && own > kShareAllowance + kShareTolerance * equalPart;
}

// Counts the active callers once an epoch, on the first thread that gets here.
void fair_share::refreshActive(std::uint32_t epoch)
{
    auto counted = m_countedEpoch.load(std::memory_order_relaxed);
    if (counted == epoch || !m_countedEpoch.compare_exchange_strong(counted, epoch, std::memory_order_relaxed)) {
        return;
    }
    const auto active = std::ranges::count_if(m_rows[0], [epoch](const counter &entry) {
        return countIn(entry.load(std::memory_order_relaxed), epoch) > 0;
    });
    m_active.store(static_cast<unsigned>(active), std::memory_order_relaxed);
}

} // namespace sequoiawharf
