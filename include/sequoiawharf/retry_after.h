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

} // namespace sequoiawharf
