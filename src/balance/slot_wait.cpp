#include "sequoiawharf/slot_wait.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::nanoseconds;

// Between two looks around while a call waits: slow spells of endpoints last a few times as long.
constexpr nanoseconds kLookAgain = 80ms;
// Time that a call needs over its usual work to be in time all the same, in percent: work varies by about a third.
constexpr int kOnTimePercent = 125;
constexpr int kLastStartPercent = 250;
// Slots a second from which the rate tells how long a line takes; below it, and right after a start, a few samples say nothing.
constexpr double kKnownRate = 5;

nanoseconds part(nanoseconds time, int percent)
{
    return time * percent / 100;
}

bool isFull(const probed_endpoint &seen)
{
    return seen.load.running >= seen.load.slots;
}

} // namespace

bool isUncongested(const probed_endpoint &seen)
{
    return seen.healthy && expectedSlowdown(seen) <= kCalmTime;
}

placement placeCall(const std::optional<probed_endpoint> &best, const call_timing &timing)
{
    const bool isKnown = timing.unloadedLatency > nanoseconds::zero();
    if (best && (isUncongested(*best) || (!isKnown && !isFull(*best)))) {
        return {.decision = placement::kind::Send};
    }
    const auto lastOnTime = timing.objectiveAt - part(timing.unloadedLatency, kOnTimePercent);
    const auto lastStart = timing.deadline - part(timing.unloadedLatency, kLastStartPercent);
    const bool isLate = timing.now >= lastOnTime;
    if (timing.now >= lastStart) {
        const bool maySend = best && !isFull(*best) && timing.now + timing.unloadedLatency < timing.deadline;
        return {.decision = maySend ? placement::kind::Send : placement::kind::Refuse, .isLate = isLate};
    }
    if (timing.freedPerSecond >= kKnownRate) {
        const std::chrono::duration<double> needed(static_cast<double>(timing.callsAhead) / timing.freedPerSecond);
        if (timing.now + std::chrono::duration_cast<nanoseconds>(needed) > lastStart) {
            return {.decision = placement::kind::Refuse, .isLate = isLate};
        }
    }
    const auto bound = isLate ? lastStart : lastOnTime;
    return {.decision = placement::kind::Wait, .until = std::min(bound, timing.now + kLookAgain), .isLate = isLate};
}

} // namespace sequoiawharf
