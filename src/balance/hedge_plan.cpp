#include "sequoiawharf/hedge_plan.h"

#include <algorithm>
#include <ratio>

namespace sequoiawharf
{

namespace
{

using std::chrono::nanoseconds;

// A call that has taken less than this multiple of the unloaded latency is most likely about to be answered. Where latencies hardly differ, hedges by a
// percentile alone would spend the limit on such calls.
constexpr auto kMinSlowRatio = std::ratio<3, 2> {};

} // namespace

std::optional<nanoseconds> planHedge(const hedge_conditions &conditions)
{
    const auto earliest = conditions.unloadedLatency * kMinSlowRatio.num / kMinSlowRatio.den;
    auto delay = conditions.slowLatency;
    if (conditions.timeToObjective > nanoseconds::zero() && conditions.unloadedLatency > nanoseconds::zero()) {
        delay = std::min(delay, conditions.timeToObjective - conditions.unloadedLatency);
    }
    delay = std::max(delay, earliest);
    const bool isKnown = delay > nanoseconds::zero();
    return isKnown && delay + conditions.unloadedLatency < conditions.timeToDeadline ? std::optional(delay) : std::nullopt;
}

} // namespace sequoiawharf
