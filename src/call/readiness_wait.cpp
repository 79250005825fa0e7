#include "sequoiawharf/readiness_wait.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

// A start takes a few round trips to the platform, and up to a second when a whole fleet starts on small machines.
constexpr std::chrono::milliseconds kMaxUnreadyTime {2000};
constexpr int kMaxWaitDivisor = 2; // part of the caller's timeout that the wait may use; the rest is left to run the call

} // namespace

mono_time readinessWaitEnd(mono_time unreadySince, mono_time received, std::optional<std::chrono::milliseconds> timeout)
{
    const auto end = unreadySince + kMaxUnreadyTime;
    return timeout ? std::min(end, received + *timeout / kMaxWaitDivisor) : end;
}

} // namespace sequoiawharf
