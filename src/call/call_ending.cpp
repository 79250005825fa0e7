#include "sequoiawharf/call_ending.h"

namespace sequoiawharf
{

std::string_view toString(call_ending ending)
{
    switch (ending) {
    case call_ending::Answered:
        return "answered";
    case call_ending::NotRun:
        return "not-run";
    case call_ending::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view toString(call_reason reason)
{
    switch (reason) {
    case call_reason::None:
        return "none";
    case call_reason::BadRequest:
        return "bad-request";
    case call_reason::NoRoute:
        return "no-route";
    case call_reason::NotReady:
        return "not-ready";
    case call_reason::Overloaded:
        return "overloaded";
    case call_reason::CallerOverShare:
        return "caller-over-share";
    case call_reason::DeadlineTooShort:
        return "deadline-too-short";
    case call_reason::NoTarget:
        return "no-target";
    case call_reason::TargetsResting:
        return "targets-resting";
    case call_reason::TargetRefused:
        return "target-refused";
    case call_reason::ConnectFailed:
        return "connect-failed";
    case call_reason::ConnectionLost:
        return "connection-lost";
    case call_reason::BadAnswer:
        return "bad-answer";
    case call_reason::DeadlinePassed:
        return "deadline-passed";
    case call_reason::CallerGone:
        return "caller-gone";
    case call_reason::LinkUnavailable:
        return "link-unavailable";
    case call_reason::Stopping:
        return "stopping";
    case call_reason::UnknownKey:
        return "unknown-key";
    case call_reason::ConfigurationStale:
        return "configuration-stale";
    case call_reason::QuotaExceeded:
        return "quota-exceeded";
    }
    return "none";
}

} // namespace sequoiawharf
