#pragma once

#include "sequoiawharf/time.h"

namespace sequoiawharf
{

/// Returns the time of the steady clock. Decision code gets it as an argument and does not read the clock. Thread safe.
inline mono_time monoNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace sequoiawharf
