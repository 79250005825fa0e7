#include "src/balance/adaptive_policy.h"

#include "src/balance/evidence.h"

#include <algorithm>
#include <array>
#include <span>

namespace sequoiawharf
{

namespace
{

constexpr unsigned kAdaptiveCandidates = 12;
constexpr double kTieRatio = 1.05; // delays up to this multiple of the least one are ties; the first candidate wins
constexpr double kLatencyBand = 1.5; // of the pool's median; latencies below this multiple differ by chance
constexpr std::uint32_t kIgnoreUnconfirmedOneIn = 16; // one selection in 16 ignores reports that no own call has confirmed recently
constexpr double kBackoffCalls = 100; // calls added to an endpoint in backoff after a refusal, so that it ranks last
constexpr double kOwnCallWeight = 2; // own calls are known exactly, those of other instances only from reports that age

// Returns how many times slower than the upper end of the pool's normal latencies the endpoint is; at least 1.
double slownessOf(const endpoint_state &state, std::int64_t medianNs, mono_time now)
{
    if (medianNs == 0) {
        return 1;
    }
    return std::max(1.0, expectedLatencyNs(state, medianNs, now) / (kLatencyBand * static_cast<double>(medianNs)));
}

} // namespace

std::uint32_t adaptive_policy::choose(const selection_candidates &candidates, mono_time now, random_source &random) const
{
    const auto slots = static_cast<double>(candidates.slots);
    const auto typicalOthers = static_cast<double>(candidates.typicalLoad) * slots * (candidates.instances - 1) / candidates.instances;
    const bool ignoresUnconfirmed = random.below(kIgnoreUnconfirmedOneIn) == 0;
    const auto others = [&](const endpoint_state &state) {
        return ignoresUnconfirmed && isUnconfirmed(state, now) ? typicalOthers : expectedOthers(state, typicalOthers, candidates.slots, now);
    };
    const auto delay = [&](std::uint32_t index) {
        const auto &state = *candidates.endpoints[index];
        const bool isBackingOff = state.backoffUntilNs.load(std::memory_order_relaxed) > now.time_since_epoch().count();
        const auto own = static_cast<double>(state.inFlight.load(std::memory_order_relaxed));
        const auto calls = kOwnCallWeight * own + others(state) + (isBackingOff ? kBackoffCalls : 0);
        return slownessOf(state, candidates.medianLatencyNs, now) * (calls + 1);
    };
    std::array<double, kMaxCandidates> delays {};
    std::ranges::transform(candidates.eligible, delays.begin(), delay);
    const auto candidateDelays = std::span(delays).first(candidates.eligible.size());
    const auto bound = kTieRatio * *std::ranges::min_element(candidateDelays);
    const auto first = std::ranges::find_if(candidateDelays, [bound](double value) {
        return value <= bound;
    });
    return candidates.eligible[static_cast<std::size_t>(first - candidateDelays.begin())];
}

selection_sampling adaptive_policy::sampling() const
{
    return {.count = kAdaptiveCandidates};
}

std::string_view adaptive_policy::name() const
{
    return "adaptive";
}

} // namespace sequoiawharf
