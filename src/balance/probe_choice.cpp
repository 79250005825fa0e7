#include "sequoiawharf/probe_choice.h"

#include <algorithm>
#include <array>
#include <ranges>
#include <vector>

namespace sequoiawharf
{

namespace
{

// Share of busy slots from which targets slow down, and by how much: a machine that is nearly full shares its caches and memory bandwidth.
constexpr double kKneeShare = 0.8;
constexpr double kKneeSlowdown = 1.7;
constexpr double kColdSlowdown = 2; // of an endpoint that fills its caches
constexpr std::array<double, 3> kDistanceCost {0, 0.15, 1.5}; // expected time that the way and its bytes weigh, by distance
constexpr std::array<double, 3> kLargeBodyCost {0, 3, 12};

double costOf(const probed_endpoint &seen, bool largeBody)
{
    const auto distanceClass = static_cast<std::size_t>(seen.distanceClass);
    return expectedSlowdown(seen) + (largeBody ? kLargeBodyCost[distanceClass] : kDistanceCost[distanceClass]);
}

bool isFull(const endpoint_load &load)
{
    return load.running >= load.slots;
}

} // namespace

double expectedSlowdown(const probed_endpoint &seen)
{
    const auto &load = seen.load;
    const auto slots = static_cast<double>(load.slots);
    const auto busyShare = std::min(1.0, (load.running + 1.0) / slots);
    const auto own = load.slowdown * (seen.cold ? kColdSlowdown : 1) * (busyShare > kKneeShare ? kKneeSlowdown : 1);
    const auto ahead = isFull(load) ? load.running - load.slots + load.waiting + 1.0 : 0.0;
    return own * (1 + ahead / slots);
}

std::optional<std::size_t> selectProbedEndpoint(std::span<const probed_endpoint> seen, bool largeBody)
{
    auto healthy = std::views::iota(std::size_t {0}, seen.size()) | std::views::filter([&](std::size_t i) {
                       return seen[i].healthy;
                   });
    const auto best = std::ranges::min_element(healthy, {}, [&](std::size_t i) {
        return costOf(seen[i], largeBody);
    });
    return best == healthy.end() ? std::nullopt : std::optional(*best);
}

bool shouldProbeFarther(std::span<const probed_endpoint> seen, bool largeBody)
{
    const auto best = selectProbedEndpoint(seen, largeBody);
    if (!best) {
        return true;
    }
    return largeBody ? isFull(seen[*best].load) && seen[*best].load.waiting > 0 : expectedSlowdown(seen[*best]) > kCalmTime;
}

} // namespace sequoiawharf
