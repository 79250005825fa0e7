#include "sequoiawharf/fleet_repeat_budget.h"

#include "src/base/relaxed.h"

#include <algorithm>
#include <numeric>

namespace sequoiawharf
{

namespace
{

// Part of the limit that this class hands out. The rest covers calls that other instances count a moment later.
constexpr double kUsablePart = 0.85;

} // namespace

void fleet_repeat_budget::setLimits(const repeat_limits &limits, unsigned instances)
{
    m_ratio.store(limits.ratio * kUsablePart, kRelaxed);
    m_slackPart.store(limits.slack * kUsablePart / instances, kRelaxed);
    m_bucketNs.store(std::chrono::nanoseconds(limits.window).count() / static_cast<std::int64_t>(kBuckets), kRelaxed);
    m_isSet.store(limits.isSet(), kRelaxed);
}

std::int64_t fleet_repeat_budget::bucketNumberAt(mono_time now) const
{
    return now.time_since_epoch().count() / m_bucketNs.load(kRelaxed);
}

fleet_repeat_budget::bucket &fleet_repeat_budget::bucketAt(mono_time now)
{
    const auto number = bucketNumberAt(now);
    auto &entry = m_buckets[static_cast<std::size_t>(number) % m_buckets.size()];
    auto held = entry.number.load(kRelaxed);
    if (held < number && entry.number.compare_exchange_strong(held, number, kRelaxed)) {
        entry.calls.store(0, kRelaxed);
        entry.repeats.store(0, kRelaxed);
    }
    return entry;
}

std::uint32_t fleet_repeat_budget::sum(std::atomic<std::uint32_t> bucket::*count, mono_time now, std::int64_t buckets) const
{
    const auto newest = bucketNumberAt(now);
    return std::accumulate(m_buckets.begin(), m_buckets.end(), 0U, [&](std::uint32_t total, const bucket &entry) {
        const auto number = entry.number.load(kRelaxed);
        return total + (number <= newest && number > newest - buckets ? (entry.*count).load(kRelaxed) : 0);
    });
}

void fleet_repeat_budget::callStarted(mono_time now)
{
    bucketAt(now).calls.fetch_add(1, kRelaxed);
}

bool fleet_repeat_budget::take(mono_time now)
{
    auto &entry = bucketAt(now);
    // Repeats are summed over one bucket more than the window has, calls over no more than the window, so the limit holds for every start of a window.
    const auto drawn = sum(&bucket::repeats, now, kBuckets + 1);
    const auto calls = sum(&bucket::calls, now, kBuckets);
    if (drawn + 1 > m_ratio.load(kRelaxed) * calls + m_slackPart.load(kRelaxed)) {
        return false;
    }
    entry.repeats.fetch_add(1, kRelaxed);
    return true;
}

std::uint32_t fleet_repeat_budget::repeats(mono_time now) const
{
    return sum(&bucket::repeats, now, kBuckets + 1);
}

} // namespace sequoiawharf
