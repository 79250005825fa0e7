#pragma once

#include "sequoiawharf/time.h"

#include <chrono>
#include <cstddef>

namespace sequoiawharf
{

/// Phases of a planned stop of an instance, in order.
enum class stop_phase {
    Serving, ///< No stop was requested.
    Announced, ///< Removed from the directory and announced to the other instances. Callers with a cached directory answer are still served.
    Draining, ///< New connections are rejected; calls in flight continue.
    Finished, ///< No calls are in flight, or the deadline has passed.
};

/// The bounds that a planned stop sets to calls. A bound that is mono_time::max() is not set.
struct stop_bounds {
    mono_time countsFrom = mono_time::max(); ///< The earliest time at which the stop may have been requested.
    mono_time lastArrival = mono_time::max(); ///< A call that arrives later is served only if its deadline is before answerBy.
    mono_time answerBy = mono_time::max(); ///< Every call must have been answered by then.
};

/// Determines the phase of a planned stop. Owns no clock. Not thread safe.
class stop_plan
{
public:
    /// lifetime: time for which callers may cache a directory answer. deadline: maximum duration of the stop.
    stop_plan(std::chrono::milliseconds lifetime, std::chrono::milliseconds deadline);

    /// Requests the stop. sentSince: the earliest time at which the request may have been made, from which the deadline counts; it is before now when the
    /// thread that receives requests was held up. A second request ends the wait for callers with cached answers and shortens a deadline of more than
    /// 10 seconds to at most 5 seconds from now.
    void request(mono_time sentSince, mono_time now);

    /// Updates and returns the phase. inFlight: calls without an answer yet, relayed ones included.
    stop_phase update(std::size_t inFlight, mono_time now);

    /// Returns the phase of the last update.
    stop_phase phase() const
    {
        return m_phase;
    }

    /// Returns the time by which every call must have been answered, so that the answers are sent before the deadline of the stop. Precondition: a stop
    /// was requested.
    mono_time answerBy() const;

    /// Returns the bounds for calls. Precondition: a stop was requested.
    stop_bounds bounds() const;

    /// Returns the number of calls that were cut off by the deadline; 0 before the phase is Finished.
    std::size_t cutCalls() const
    {
        return m_cut;
    }

private:
    std::chrono::milliseconds m_lifetime;
    std::chrono::milliseconds m_deadline;
    stop_phase m_phase = stop_phase::Serving;
    mono_time m_countsFrom;
    mono_time m_lastArrival;
    mono_time m_drainAt;
    mono_time m_cutAt;
    std::size_t m_cut = 0;
};

} // namespace sequoiawharf
