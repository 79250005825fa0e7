#include "sequoiawharf/slot_wait.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::nanoseconds;

// Time after which a waiting call probes endpoints again; slow phases of endpoints last a few times as long.
constexpr nanoseconds kReprobeInterval = 80ms;
// Time reserved for a call to meet its objective or its deadline, in percent of the unloaded latency. Service times vary by about a third.
constexpr int kOnTimePercent = 125;
constexpr int kLatestStartPercent = 250;
// Freed slots per second from which the rate predicts the queueing delay. A lower rate, as right after a start, rests on too few samples.
constexpr double kMinReliableRate = 5;

nanoseconds percentOf(nanoseconds time, int percent)
{
    return time * percent / 100;
}

// Returns the latest time at which a call may start and still end before its deadline and the instance's stop, even if it takes longer than usual.
mono_time latestStartOf(const call_timing &timing)
{
    return std::min(timing.deadline, timing.stopAt) - percentOf(timing.unloadedLatency, kLatestStartPercent);
}

bool isFull(const probed_endpoint &candidate)
{
    return candidate.load.running >= candidate.load.slots;
}

} // namespace

bool isUncongested(const probed_endpoint &candidate)
{
    return candidate.healthy && expectedSlowdown(candidate) <= kMaxUncongestedSlowdown;
}

bool isStopTooNear(const call_timing &timing)
{
    return timing.stopAt < timing.deadline && (timing.arrived > timing.lastArrival || timing.now >= latestStartOf(timing));
}

placement placeCall(const std::optional<probed_endpoint> &best, const call_timing &timing)
{
    if (isStopTooNear(timing)) {
        return {.decision = placement::kind::Refuse};
    }
    const bool isLatencyKnown = timing.unloadedLatency > nanoseconds::zero();
    if (best && (isUncongested(*best) || (!isLatencyKnown && !isFull(*best)))) {
        return {.decision = placement::kind::Send};
    }
    const auto latestOnTimeStart = timing.objectiveAt - percentOf(timing.unloadedLatency, kOnTimePercent);
    const auto latestStart = latestStartOf(timing);
    const bool isLate = timing.now >= latestOnTimeStart;
    if (timing.now >= latestStart) {
        const bool maySend = best && !isFull(*best) && timing.now + timing.unloadedLatency < timing.deadline;
        return {.decision = maySend ? placement::kind::Send : placement::kind::Refuse, .isLate = isLate};
    }
    if (timing.slotsFreedPerSecond >= kMinReliableRate) {
        const std::chrono::duration<double> queueDelay(static_cast<double>(timing.callsAhead) / timing.slotsFreedPerSecond);
        if (timing.now + std::chrono::duration_cast<nanoseconds>(queueDelay) > latestStart) {
            return {.decision = placement::kind::Refuse, .isLate = isLate};
        }
    }
    const auto waitLimit = isLate ? latestStart : std::min(latestOnTimeStart, latestStart);
    return {.decision = placement::kind::Wait, .until = std::min(waitLimit, timing.now + kReprobeInterval), .isLate = isLate};
}

} // namespace sequoiawharf
