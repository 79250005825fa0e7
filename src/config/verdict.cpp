#include "sequoiawharf/configuration_state.h"

namespace sequoiawharf
{

std::string_view toString(verdict value)
{
    switch (value) {
    case verdict::Accepted:
        return "accepted";
    case verdict::Malformed:
        return "malformed";
    case verdict::InvalidTables:
        return "invalid-tables";
    case verdict::WrongBase:
        return "wrong-base";
    case verdict::StateAdopted:
        return "state-adopted";
    case verdict::StateKnown:
        return "state-known";
    case verdict::StateInvalid:
        return "state-invalid";
    }
    return "malformed";
}

std::string_view toString(readiness_reason reason)
{
    switch (reason) {
    case readiness_reason::Ready:
        return "ready";
    case readiness_reason::NoAnswer:
        return "neither the log nor another instance has given a configuration yet";
    case readiness_reason::BehindLog:
        return "the log holds records that are not read yet";
    case readiness_reason::RecordsExpired:
        return "records expired before they were read; waiting for a state record or another instance";
    case readiness_reason::PeersPending:
        return "the log is down; waiting for the answers of other instances";
    case readiness_reason::NoConfiguration:
        return "no configuration was published yet";
    }
    return "unknown";
}

} // namespace sequoiawharf
