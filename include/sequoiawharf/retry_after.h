#pragma once

#include <chrono>

namespace sequoiawharf
{

/// Returns the delay after which a caller whose call ended as not run should retry. The delay is short, random so that callers refused together do
/// not retry together, and at most a third of the remaining time, to leave most of it for the retry. remaining: time until the call's deadline; unit:
/// a random number from 0 to 1. Thread safe.
std::chrono::milliseconds retryAfter(std::chrono::nanoseconds remaining, double unit);

/// Returns the delay after which a caller should retry whose call found all endpoints of its pool resting. The delays of callers that were refused together
/// are spread behind the end of the rest, the longer the rest the wider. untilEnd: time until the first endpoint ends its rest; unit: a random number from 0
/// to 1. Thread safe.
std::chrono::milliseconds retryAfterRest(std::chrono::nanoseconds untilEnd, double unit);

/// Returns the delay after which a caller should retry whose organisation is over its quota: about the time in which the quota allows another call, random so
/// that callers refused together do not retry together, and at most a third of the remaining time. callsPerSecond: of the quota; remaining: time until the
/// call's deadline; unit: a random number from 0 to 1. Precondition: callsPerSecond > 0. Thread safe.
std::chrono::milliseconds retryAfterQuota(double callsPerSecond, std::chrono::nanoseconds remaining, double unit);

} // namespace sequoiawharf
