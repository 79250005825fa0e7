#pragma once

#include "sequoiawharf/attempt.h"
#include "sequoiawharf/endpoint_availability.h"
#include "sequoiawharf/endpoint_state.h"
#include "sequoiawharf/probe_choice.h"

#include <cstdint>

namespace sequoiawharf
{

inline constexpr std::uint32_t kTrialsForReturn = 3; ///< Successful trial calls after which an ejected endpoint returns.

/// The condition of an endpoint, which decides whether it may get calls.
enum class fitness {
    Fit,
    Ramping, ///< In slow start: it gets a growing share of calls.
    Trial, ///< Its ejection has ended; a few trial calls decide whether it returns.
    Ejected,
    Unreachable, ///< Ejected because it could not be reached.
    Resting, ///< It asked for no calls until a time that has not come.
    Leaving, ///< It is leaving, or the newest pool table does not list it.
};

/// Returns the fitness of an endpoint. Thread safe.
fitness fitnessOf(const endpoint_state &state, mono_time now);

/// Returns whether an endpoint is ejected or on trial after an ejection. Thread safe.
bool isEjected(const endpoint_state &state, mono_time now);

/// Returns the fraction of an equal part of the calls, from kMinRampShare to 1, that an endpoint in slow start gets. Thread safe.
double rampShare(const endpoint_state &state, mono_time now);

/// Returns whether the endpoint may get a request now: it is neither leaving, removed nor resting. Thread safe.
bool mayTakeRequests(const endpoint_state &state, mono_time now);

/// Returns the fraction of an equal part of the calls, from kMinReturnShare to 1, that an endpoint gets after a rest. Thread safe.
double returnShare(const endpoint_state &state, mono_time now);

/// Returns whether a call may be the trial call of an endpoint on trial. Trial calls run one at a time. Only calls that may run twice qualify until the
/// trial is overdue by kForcedTrialDelay; then any call does. Thread safe.
bool mayTakeTrialCall(const endpoint_state &state, bool callMayRunTwice, mono_time now);

/// Returns whether an attempt that ended like this counts as a failure of its endpoint. A refusal does not: it indicates load. Thread safe.
bool isFailure(attempt_end end);

/// Returns whether enough recent own attempts failed to eject the endpoint. Thread safe.
bool isFailing(const endpoint_state &state, mono_time now);

/// Returns whether there are enough recent own attempts to compare the endpoint with others. Thread safe.
bool hasFreshEvidence(const endpoint_state &state, mono_time now);

/// Records the outcome of an attempt in the endpoint's health. Ejects the endpoint when it is unreachable, and decides whether an endpoint on trial
/// returns. medianNs: median latency of the pool's endpoints in nanoseconds; 0 means unknown. Thread safe.
void recordHealth(endpoint_state &state, const attempt_outcome &outcome, std::int64_t medianNs, mono_time now);

/// Records the result of a probe in the endpoint's health. A series of kUnreachableFailures failures to reach the endpoint ejects it; a healthy result
/// ends such a series. Thread safe.
void recordProbe(endpoint_state &state, probe_end end, mono_time now);

/// Ejects the endpoint; trial calls follow. The duration doubles with each successive ejection, except for an unreachable endpoint, where a trial
/// costs little. Thread safe.
void ejectEndpoint(endpoint_state &state, mono_time now);

/// Records what an answer of the endpoint states about further calls. Of several rests the latest end holds. Thread safe.
void recordAvailability(endpoint_state &state, const endpoint_availability &stated, mono_time now);

/// Marks the endpoint as leaving, unless it is marked already. Thread safe.
void recordLeaving(endpoint_state &state, mono_time now);

} // namespace sequoiawharf
