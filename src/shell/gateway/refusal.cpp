#include "src/shell/gateway/refusal.h"

#include "src/shell/gateway/call_dialect.h"
#include "src/shell/net/http_status.h"

namespace sequoiawharf
{

namespace
{

constexpr unsigned kBadGateway = 502;
constexpr unsigned kGatewayTimeout = 504;

std::string_view sentenceFor(call_reason reason)
{
    switch (reason) {
    case call_reason::BadRequest:
        return "the request is not valid";
    case call_reason::NoRoute:
        return "no route matches the method and the path";
    case call_reason::NotReady:
        return "this instance is not ready";
    case call_reason::Overloaded:
        return "the pool is overloaded";
    case call_reason::CallerOverShare:
        return "the caller is over its share of the pool";
    case call_reason::DeadlineTooShort:
        return "the call cannot end before its deadline";
    case call_reason::NoTarget:
        return "no target of the pool can take the call";
    case call_reason::TargetsResting:
        return "all targets of the pool have asked for a rest";
    case call_reason::TargetRefused:
        return "the target refused the call";
    case call_reason::ConnectFailed:
        return "no connection to a target could be made";
    case call_reason::ConnectionLost:
        return "the connection to the target was lost";
    case call_reason::BadAnswer:
        return "the target's answer was not valid or not whole";
    case call_reason::DeadlinePassed:
        return "the deadline passed";
    case call_reason::CallerGone:
        return "the caller has gone";
    case call_reason::LinkUnavailable:
        return "no instance of another region could be reached";
    case call_reason::Stopping:
        return "this instance is stopping";
    case call_reason::UnknownKey:
        return "the request has no key of an organisation";
    case call_reason::ConfigurationStale:
        return "the configuration of this instance may be out of date";
    case call_reason::QuotaExceeded:
        return "the organisation is over its quota";
    case call_reason::None:
        break;
    }
    return "the call failed";
}

} // namespace

unsigned defaultStatusFor(call_ending ending, call_reason reason)
{
    switch (reason) {
    case call_reason::BadRequest:
        return kBadRequest;
    case call_reason::NoRoute:
        return kNotFound;
    case call_reason::UnknownKey:
        return kUnauthorized;
    case call_reason::CallerOverShare:
    case call_reason::QuotaExceeded:
        return kTooManyRequests;
    case call_reason::DeadlinePassed:
    case call_reason::DeadlineTooShort:
        return kGatewayTimeout;
    default:
        return ending == call_ending::NotRun ? kUnavailable : kBadGateway;
    }
}

refusal makeRefusal(const call_dialect &dialect, call_ending ending, call_reason reason, bool callerMayRetry)
{
    return {dialect.statusFor(ending, reason), ending, reason, callerMayRetry, std::string(sentenceFor(reason)), {}};
}

boost::asio::awaitable<void> sendRefusal(answer_sink &answer, const refusal &reply)
{
    const auto body = reply.sentence + ".\n";
    answer_head head;
    head.status = reply.status;
    head.headers.push_back({"Content-Type", "text/plain"});
    head.contentLength = body.size();
    head.ending = reply.ending;
    head.reason = reply.reason;
    head.callerMayRetry = reply.callerMayRetry;
    head.retryAfter = reply.retryAfter;
    head.bodyFollows = true;
    if (co_await answer.start(head)) {
        const auto written = co_await answer.write(body);
        if (written) {
            co_await answer.finish();
        }
    }
}

} // namespace sequoiawharf
