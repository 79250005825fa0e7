#include "sequoiawharf/probe_choice.h"

#include <algorithm>
#include <array>
#include <ranges>
#include <vector>

namespace sequoiawharf
{

namespace
{

// Share of busy slots above which a target slows down, and the factor by which it does: on a nearly full machine, calls compete for caches and memory
// bandwidth.
constexpr double kKneeShare = 0.8;
constexpr double kKneeSlowdown = 1.7;
constexpr double kColdSlowdown = 2; // of an endpoint that is still filling its caches
constexpr std::array<double, 3> kDistanceCost {0, 0.15, 1.5}; // cost of the network path, in units of the expected slowdown, by distance
constexpr std::array<double, 3> kLargeBodyCost {0, 3, 12}; // the same for a call with a large body

double costOf(const probed_endpoint &candidate, bool largeBody)
{
    const auto distanceClass = static_cast<std::size_t>(candidate.distanceClass);
    return expectedSlowdown(candidate) + (largeBody ? kLargeBodyCost[distanceClass] : kDistanceCost[distanceClass]);
}

bool isFull(const endpoint_load &load)
{
    return load.running >= load.slots;
}

} // namespace

double expectedSlowdown(const probed_endpoint &candidate)
{
    const auto &load = candidate.load;
    const auto slots = static_cast<double>(load.slots);
    const auto busyShare = std::min(1.0, (load.running + 1.0) / slots);
    const auto serviceTime = load.slowdown * (candidate.cold ? kColdSlowdown : 1) * (busyShare > kKneeShare ? kKneeSlowdown : 1);
    const auto ahead = isFull(load) ? load.running - load.slots + load.waiting + 1.0 : 0.0;
    return serviceTime * (1 + ahead / slots);
}

std::optional<std::size_t> selectProbedEndpoint(std::span<const probed_endpoint> candidates, bool largeBody)
{
    auto healthy = std::views::iota(std::size_t {0}, candidates.size()) | std::views::filter([&](std::size_t i) {
                       return candidates[i].healthy;
                   });
    const auto best = std::ranges::min_element(healthy, {}, [&](std::size_t i) {
        return costOf(candidates[i], largeBody);
    });
    return best == healthy.end() ? std::nullopt : std::optional(*best);
}

bool shouldProbeFarther(std::span<const probed_endpoint> candidates, bool largeBody)
{
    const auto best = selectProbedEndpoint(candidates, largeBody);
    if (!best) {
        return true;
    }
    return largeBody ? isFull(candidates[*best].load) && candidates[*best].load.waiting > 0 : expectedSlowdown(candidates[*best]) > kMaxUncongestedSlowdown;
}

} // namespace sequoiawharf
