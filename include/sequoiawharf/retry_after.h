#pragma once

#include <chrono>

namespace sequoiawharf
{

/// Returns the delay after which a caller whose call ended as not run should retry. The delay is short, random so that callers refused together do
/// not retry together, and at most a third of the remaining time, to leave most of it for the retry. remaining: time until the call's deadline; unit:
/// a random number from 0 to 1. Thread safe.
std::chrono::milliseconds retryAfter(std::chrono::nanoseconds remaining, double unit);

} // namespace sequoiawharf
