#pragma once

#include <chrono>

namespace sequoiawharf
{

/// Monotonic time within one process. Decision code receives it as an argument and never reads a clock, so that tests control the time.
using mono_time = std::chrono::steady_clock::time_point;

/// Wall-clock time, for events and for records that other processes read.
using wall_time = std::chrono::system_clock::time_point;

} // namespace sequoiawharf
