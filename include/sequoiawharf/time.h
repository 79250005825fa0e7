#pragma once

#include <chrono>

namespace sequoiawharf
{

/// Monotonic time within one process. Decision code receives it as an argument and never reads a clock, so that tests control the time.
using mono_time = std::chrono::steady_clock::time_point;

/// Wall-clock time, for events and for records that other processes read.
using wall_time = std::chrono::system_clock::time_point;

/// Tag of the machine's clock that also advances while the machine is suspended (CLOCK_BOOTTIME). Other than the steady clock, it measures an age across a
/// suspend.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
};
using boot_time = boot_clock::time_point;

} // namespace sequoiawharf
