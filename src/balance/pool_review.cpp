#include "src/balance/pool_review.h"

#include "src/balance/endpoint_health.h"
#include "src/balance/evidence.h"
#include "src/balance/pool_state.h"
#include "src/base/relaxed.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <ranges>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::nanoseconds kReviewPeriod = 50ms;
constexpr std::chrono::nanoseconds kMaxLoadAge = 500ms; // of the reports in the median load
constexpr std::chrono::nanoseconds kLeavingExpiry = 10min;
constexpr std::int64_t kStragglerRatio = 4; // multiple of the pool's median latency
constexpr double kMaxEjectedShare = 0.34;
constexpr double kMaxRampingShare = 0.34;
constexpr double kPanicShare = 0.5; // share of ejected and outlying endpoints above which ejections are ignored
constexpr std::uint32_t kReviewsPerPeakStep = 20; // the peak of calls in flight falls by one every 20 reviews

/// The endpoints that one review compares, without the leaving ones.
struct review_sample {
    std::array<endpoint_state *, kReviewSample> states {};
    std::size_t count = 0;

    auto all() const
    {
        return std::span(states.data(), count);
    }
};

// Lets an endpoint that has been leaving for kLeavingExpiry have trial calls, since another process may now serve at its address.
void expireLeaving(endpoint_state &state, mono_time now)
{
    const auto since = state.leavingSinceNs.load(kRelaxed);
    if (since != 0 && now.time_since_epoch().count() - since > kLeavingExpiry.count() && !state.isLeavingInTable.load(kRelaxed)) {
        ejectEndpoint(state, now);
        state.leavingSinceNs.store(0, kRelaxed);
        state.hasSaidLeaving.store(false, kRelaxed);
    }
}

review_sample
takeSample(const pool_state &pool, std::span<const std::shared_ptr<endpoint_state>> endpoints, std::span<const std::uint32_t> members, mono_time now)
{
    review_sample sample;
    const auto stride = (members.size() + kReviewSample - 1) / kReviewSample;
    const auto first = pool.reviews.load(kRelaxed) % stride;
    for (auto i = first; i < members.size(); i += stride) {
        auto *state = endpoints[members[i]].get();
        expireLeaving(*state, now);
        if (fitnessOf(*state, now) != fitness::Leaving) {
            sample.states[sample.count++] = state;
        }
    }
    return sample;
}

// Returns the lower median of the first count values, or 0 when there are none.
template<typename value> value medianOf(std::array<value, kReviewSample> &values, std::size_t count)
{
    if (count == 0) {
        return 0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((count - 1) / 2);
    std::nth_element(values.begin(), middle, values.begin() + static_cast<std::ptrdiff_t>(count));
    return *middle;
}

std::int64_t medianLatency(const review_sample &sample, mono_time now)
{
    std::array<std::int64_t, kReviewSample> latencies {};
    std::size_t count = 0;
    std::ranges::for_each(sample.all(), [&](const endpoint_state *state) {
        const auto latency = state->latencyNs.load(kRelaxed);
        if (latency != 0 && hasFreshEvidence(*state, now)) {
            latencies[count++] = latency;
        }
    });
    return medianOf(latencies, count);
}

float medianLoad(const review_sample &sample, mono_time now)
{
    std::array<float, kReviewSample> loads {};
    std::size_t count = 0;
    std::ranges::for_each(sample.all(), [&](const endpoint_state *state) {
        const auto load = newestSample(*state);
        if (load && now - load->at < kMaxLoadAge) {
            loads[count++] = load->load;
        }
    });
    return medianOf(loads, count);
}

bool isStraggler(const endpoint_state &state, std::int64_t median, mono_time now)
{
    return median != 0 && hasFreshEvidence(state, now) && state.latencyNs.load(kRelaxed) > kStragglerRatio * median;
}

void ejectOutliers(pool_state &pool, const review_sample &sample, std::int64_t median, mono_time now)
{
    const auto isEjectedNow = [now](const endpoint_state *state) {
        return isEjected(*state, now);
    };
    const auto isOutlier = [&](const endpoint_state *state) {
        return !isEjected(*state, now) && (isFailing(*state, now) || isStraggler(*state, median, now));
    };
    const auto ejected = static_cast<std::size_t>(std::ranges::count_if(sample.all(), isEjectedNow));
    const auto outliers = static_cast<std::size_t>(std::ranges::count_if(sample.all(), isOutlier));
    const auto size = static_cast<double>(sample.count);
    pool.panic.store(static_cast<double>(ejected + outliers) > kPanicShare * size, kRelaxed);
    const auto cap = sample.count < 2 ? 0 : std::max<std::size_t>(1, static_cast<std::size_t>(kMaxEjectedShare * size));
    auto chosen = sample.all() | std::views::filter(isOutlier) | std::views::take(cap > ejected ? cap - ejected : 0);
    for (auto *state : chosen) {
        ejectEndpoint(*state, now);
        pool.ejections.fetch_add(1, kRelaxed);
    }
}

std::ptrdiff_t countRamping(const review_sample &sample, mono_time now)
{
    return std::ranges::count_if(sample.all(), [now](const endpoint_state *state) {
        return fitnessOf(*state, now) == fitness::Ramping;
    });
}

void lowerPeaks(const review_sample &sample)
{
    std::ranges::for_each(sample.all(), [](endpoint_state *state) {
        const auto peak = state->peakInFlight.load(kRelaxed);
        state->peakInFlight.store(std::max(state->inFlight.load(kRelaxed), peak > 0 ? peak - 1 : 0), kRelaxed);
    });
}

} // namespace

void reviewPool(pool_state &pool, std::span<const std::shared_ptr<endpoint_state>> endpoints, std::span<const std::uint32_t> members, mono_time now)
{
    const auto nowNs = now.time_since_epoch().count();
    if (nowNs < pool.reviewDueNs.load(kRelaxed) || members.empty() || pool.isInReview.exchange(true, std::memory_order_acquire)) {
        return;
    }
    pool.reviewDueNs.store(nowNs + kReviewPeriod.count(), kRelaxed);
    const auto sample = takeSample(pool, endpoints, members, now);
    const auto median = medianLatency(sample, now);
    pool.medianLatencyNs.store(median, kRelaxed);
    pool.typicalLoad.store(medianLoad(sample, now), kRelaxed);
    pool.isMostlyRamping.store(static_cast<double>(countRamping(sample, now)) > kMaxRampingShare * static_cast<double>(sample.count), kRelaxed);
    ejectOutliers(pool, sample, median, now);
    if (pool.reviews.fetch_add(1, kRelaxed) % kReviewsPerPeakStep == 0) {
        lowerPeaks(sample);
    }
    pool.isInReview.store(false, std::memory_order_release);
}

} // namespace sequoiawharf
