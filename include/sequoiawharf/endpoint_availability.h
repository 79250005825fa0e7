#pragma once

#include <chrono>

namespace sequoiawharf
{

/// What an answer of an endpoint states about further calls to it.
struct endpoint_availability {
    bool isLeaving = false; ///< It accepts no new work and stops soon.
    std::chrono::milliseconds rest {0}; ///< Time for which it wants no request from this instance; 0: none stated.
    bool isRestUnreadable = false; ///< It stated a time that is no number of seconds.
};

/// Longest time for which an endpoint gets no calls because it stated so. A longer stated time counts as this.
inline constexpr std::chrono::minutes kMaxRest {10};

} // namespace sequoiawharf
