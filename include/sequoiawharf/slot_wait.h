#pragma once

#include "sequoiawharf/probe_choice.h"
#include "sequoiawharf/time.h"

#include <chrono>
#include <optional>

namespace sequoiawharf
{

/// What a decision to wait depends on besides the endpoints.
struct call_timing {
    mono_time now {};
    mono_time objectiveAt {}; ///< An answer is worth most until then.
    mono_time deadline {};
    std::chrono::nanoseconds unloadedLatency {0}; ///< Time that a call of the pool takes at an idle endpoint; 0: not known yet.
    std::size_t callsAhead = 0; ///< Calls of the pool that wait here already.
    double freedPerSecond = 0; ///< Slots of the pool that came free here of late; 0: not known.
};

/// Where a call goes now.
struct placement {
    enum class kind {
        Send, ///< To the best endpoint seen.
        Wait, ///< For a slot at an endpoint that is neither slow nor nearly full.
        Refuse, ///< It cannot end in time.
    };

    kind decision = kind::Send;
    mono_time until {}; ///< Of a wait: then the call is placed anew.
    bool isLate = false; ///< It misses its objective whatever happens, and stands behind those that do not.
};

/// Tells whether a call sent there now neither meets a slow endpoint nor slows the calls that run there. Thread safe.
bool isUncongested(const probed_endpoint &seen);

/// Decides where a call goes, given the best endpoint that was seen, if any. An endpoint that is nearly full serves all its calls slower, so under
/// load it is better for everybody to wait for a good slot, as long as the objective or the deadline can be kept. Thread safe.
placement placeCall(const std::optional<probed_endpoint> &best, const call_timing &timing);

} // namespace sequoiawharf
