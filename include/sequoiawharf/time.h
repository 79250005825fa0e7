#pragma once

#include <chrono>

namespace sequoiawharf
{

/// Monotonic time within one process. Decision code receives it as an argument and never reads a clock, so that tests control the time.
using mono_time = std::chrono::steady_clock::time_point;

/// Clock of a machine that also counts the time in which the machine is suspended (CLOCK_BOOTTIME). The shell reads it.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock, duration>;
    static constexpr bool is_steady = true;
};

/// Time on the machine's boot clock, for leases that must also end while the machine is suspended. Not comparable between machines.
using boot_time = boot_clock::time_point;

/// Wall-clock time, for events and for records that other processes read.
using wall_time = std::chrono::system_clock::time_point;

} // namespace sequoiawharf
