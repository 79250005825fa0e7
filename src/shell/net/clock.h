#pragma once

#include "sequoiawharf/time.h"

#include <ctime>

namespace sequoiawharf
{

/// Returns the time of the steady clock. Decision code gets it as an argument and does not read the clock. Thread safe.
inline mono_time monoNow()
{
    return std::chrono::steady_clock::now();
}

/// Returns the time of CLOCK_BOOTTIME. Thread safe.
inline boot_time bootNow()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return boot_time(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace sequoiawharf
