#include "sequoiawharf/retry_after.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

using std::chrono::milliseconds;

// A slow period or a full queue of an endpoint lasts about this long, so an earlier retry would be refused again.
constexpr milliseconds kMinDelay {50};
constexpr milliseconds kMaxDelay {350};
// Callers follow a delay of up to this fraction (one third) of their remaining time.
constexpr int kMaxDelayDivisor = 3;

} // namespace

milliseconds retryAfter(std::chrono::nanoseconds remaining, double unit)
{
    const auto acceptedDelay = std::chrono::duration_cast<milliseconds>(remaining) / kMaxDelayDivisor;
    const auto maxDelay = std::clamp(acceptedDelay, milliseconds(1), kMaxDelay);
    const auto minDelay = std::min(kMinDelay, maxDelay);
    return minDelay + milliseconds(static_cast<std::int64_t>(unit * static_cast<double>((maxDelay - minDelay).count())));
}

milliseconds retryAfterRest(std::chrono::nanoseconds untilEnd, double unit)
{
    const auto rest = std::max(milliseconds(1), std::chrono::ceil<milliseconds>(untilEnd));
    const auto spread = std::max(kMaxDelay, rest / 2);
    return rest + milliseconds(static_cast<std::int64_t>(unit * static_cast<double>(spread.count())));
}

milliseconds retryAfterQuota(double callsPerSecond, std::chrono::nanoseconds remaining, double unit)
{
    constexpr milliseconds kMinQuotaDelay {500}; // the callers that were refused before are in the way of an earlier retry
    constexpr double kMaxSeconds = 5;
    const milliseconds untilNext(static_cast<std::int64_t>(1000 * std::min(1 / callsPerSecond, kMaxSeconds)));
    const auto spread = std::max(kMinQuotaDelay, untilNext);
    const auto delay = spread / 2 + milliseconds(static_cast<std::int64_t>(unit * static_cast<double>(spread.count())));
    return std::max(milliseconds(1), std::min(delay, std::chrono::duration_cast<milliseconds>(remaining) / kMaxDelayDivisor));
}

} // namespace sequoiawharf
