#pragma once

#include "sequoiawharf/ids.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace sequoiawharf
{

/// A hybrid logical clock reading (Kulkarni et al., "Logical physical clocks", 2014): wall-clock milliseconds and a counter.
struct hybrid_time {
    std::int64_t wallMs = 0;
    std::uint32_t counter = 0;

    friend auto operator<=>(const hybrid_time &, const hybrid_time &) = default;
};

/// The decisions that the time line records.
enum class event_kind {
    CallEnded,
    CallRetried,
    CallHedged,
    CallRelayed,
    CallRefused,
    EndpointEjected,
    EndpointReturned,
    EndpointLeaving,
    EndpointResting,
    LimitChanged,
    PanicModeChanged,
    ConnectionRetired,
    ConfigurationAccepted,
    ConfigurationRefused,
    MemberJoined,
    MemberSuspected,
    MemberLeaving,
    ReadinessChanged,
    SettingsChanged,
    BudgetExhausted,
    StopStarted,
    StopEnded,
};

/// Returns the kind's name in lower case with hyphens. Thread safe.
std::string_view toString(event_kind kind);

/// One recorded decision.
struct event {
    hybrid_time time; ///< Set by the sink.
    event_kind kind = event_kind::CallEnded;
    call_id call = 0; ///< 0: belongs to no call.
    std::string pool; ///< Empty: belongs to no pool.
    std::string subject; ///< What the decision concerns: an endpoint, an instance or a version.
    std::string detail; ///< Short key=value pairs.
};

/// Receives events. Implementations are thread safe and lock-free.
class event_sink
{
public:
    virtual ~event_sink() = default;

    /// Sets the time of the event and stores it; the oldest event may be dropped to make room. Thread safe.
    virtual void record(event entry) = 0;
};

} // namespace sequoiawharf
