#include "sequoiawharf/event.h"

namespace sequoiawharf
{

std::string_view toString(event_kind kind)
{
    switch (kind) {
    case event_kind::CallEnded:
        return "call-ended";
    case event_kind::CallRetried:
        return "call-retried";
    case event_kind::CallHedged:
        return "call-hedged";
    case event_kind::CallRelayed:
        return "call-relayed";
    case event_kind::CallRefused:
        return "call-refused";
    case event_kind::EndpointEjected:
        return "endpoint-ejected";
    case event_kind::EndpointReturned:
        return "endpoint-returned";
    case event_kind::EndpointLeaving:
        return "endpoint-leaving";
    case event_kind::EndpointResting:
        return "endpoint-resting";
    case event_kind::LimitChanged:
        return "limit-changed";
    case event_kind::PanicModeChanged:
        return "panic-mode-changed";
    case event_kind::ConnectionRetired:
        return "connection-retired";
    case event_kind::ConfigurationAccepted:
        return "configuration-accepted";
    case event_kind::ConfigurationRefused:
        return "configuration-refused";
    case event_kind::MemberJoined:
        return "member-joined";
    case event_kind::MemberSuspected:
        return "member-suspected";
    case event_kind::MemberLeaving:
        return "member-leaving";
    case event_kind::ReadinessChanged:
        return "readiness-changed";
    case event_kind::SettingsChanged:
        return "settings-changed";
    case event_kind::BudgetExhausted:
        return "budget-exhausted";
    case event_kind::StopStarted:
        return "stop-started";
    case event_kind::StopEnded:
        return "stop-ended";
    }
    return "unknown";
}

} // namespace sequoiawharf
