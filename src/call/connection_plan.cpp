#include "sequoiawharf/connection_plan.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t kReservedPercent = 20; // of an endpoint's connections: for old and new instances that overlap during a replacement
constexpr std::chrono::nanoseconds kMaxIdleUnchecked = 250ms; // for a call that must not run twice

} // namespace

connection_plan planConnections(std::uint32_t maxConnections, unsigned instances, std::uint32_t peakInFlight)
{
    const auto shared = static_cast<std::uint32_t>(std::uint64_t {maxConnections} * (100 - kReservedPercent) / 100);
    const auto maxOpen = std::max(1U, shared / std::max(1U, instances));
    return {.maxOpen = maxOpen, .warm = std::min(maxOpen, peakInFlight + 1)};
}

bool mayReuseConnection(const call_profile &call, std::chrono::nanoseconds idleFor)
{
    return (call.idempotent && call.replayable) || idleFor <= kMaxIdleUnchecked;
}

} // namespace sequoiawharf
