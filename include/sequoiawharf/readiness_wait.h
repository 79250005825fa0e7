#pragma once

#include "sequoiawharf/time.h"

#include <chrono>
#include <optional>

namespace sequoiawharf
{

/// Returns the time until which a call that arrives at an instance which is not ready waits for it, instead of being refused. After a power loss of
/// the whole fleet all instances are starting, so a refused call would find none that accepts it. An instance that has been unready for long may stay
/// so, and its callers are refused at once. unreadySince: when the instance started or lost its readiness; timeout: time that the caller allows for the
/// call, if it states one. The result may lie in the past. Thread safe.
mono_time readinessWaitEnd(mono_time unreadySince, mono_time received, std::optional<std::chrono::milliseconds> timeout);

} // namespace sequoiawharf
