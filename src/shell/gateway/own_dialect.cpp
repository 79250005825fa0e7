#include "src/shell/gateway/call_dialect.h"
#include "src/shell/gateway/head_format.h"
#include "src/shell/gateway/header_rules.h"
#include "src/shell/net/http_status.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

constexpr std::string_view kOwnPrefix = "Sequoiawharf-";
constexpr std::string_view kLoadHeader = "endpoint-load-metrics";
constexpr std::string_view kStateHeader = "Endpoint-State";
constexpr std::string_view kLeavingState = "leaving";
constexpr std::string_view kOrganisationHeader = "Sequoiawharf-Organisation";
constexpr std::string_view kAuthorization = "Authorization";

std::string_view fieldOf(const call_dialect::fields &fields, std::string_view name)
{
    const auto value = fields[boost::beast::string_view(name.data(), name.size())];
    return {value.data(), value.size()};
}

endpoint_availability readAvailability(unsigned status, const call_dialect::fields &head)
{
    auto stated = readRest(status, head);
    stated.isLeaving = equalsIgnoringCase(fieldOf(head, kStateHeader), kLeavingState);
    return stated;
}

class own_dialect : public call_dialect
{
public:
    request_metadata readRequestHead(const fields &head) const override
    {
        request_metadata terms;
        terms.id = parseCallId(fieldOf(head, kCallHeader));
        terms.caller = caller_id(std::string(fieldOf(head, kCallerHeader)));
        terms.key = bearerToken(fieldOf(head, kAuthorization));
        terms.deadlineMs = parseDecimal(fieldOf(head, kDeadlineHeader));
        terms.depth = parseDecimal(fieldOf(head, kDepthHeader)).value_or(0);
        return terms;
    }

    bool isOwnField(std::string_view name) const override
    {
        return name.size() > kOwnPrefix.size() && equalsIgnoringCase(name.substr(0, kOwnPrefix.size()), kOwnPrefix);
    }

    bool isCredentialField(std::string_view name) const override
    {
        return equalsIgnoringCase(name, kAuthorization);
    }

    void appendRequestFields(std::string &out, const call_head &call, std::string_view /*identity*/, std::chrono::milliseconds remaining) const override
    {
        appendField(out, kCallHeader, formatCallId(call.id));
        appendNumber(out, kDeadlineHeader, static_cast<std::uint64_t>(std::max<std::int64_t>(remaining.count(), 0)));
        appendNumber(out, kDepthHeader, call.depth + 1U);
        appendField(out, kCallerHeader, call.caller.str());
        if (!call.organisation.empty()) {
            appendField(out, kOrganisationHeader, call.organisation.str());
        }
    }

    target_signals readAnswerHead(unsigned status, const fields &head, const call_head & /*call*/) const override
    {
        return {.what = target_signals::kind::Answer, .load = parseReportedLoad(fieldOf(head, kLoadHeader)), .availability = readAvailability(status, head)};
    }

    void appendAnswerFields(std::string &out, const answer_head &answer, call_id id, std::string_view /*label*/) const override
    {
        appendField(out, kCallHeader, formatCallId(id));
        appendField(out, kEndingHeader, toString(answer.ending));
        if (answer.ending != call_ending::Answered) {
            appendField(out, kReasonHeader, toString(answer.reason));
        }
        if (!answer.callerMayRetry) {
            appendField(out, kRetryHeader, "no");
        }
    }

    unsigned statusFor(call_ending ending, call_reason reason) const override
    {
        return defaultStatusFor(ending, reason);
    }

    void appendProbe(std::string &out, const host_port &endpoint, std::string_view path) const override
    {
        out.append("GET ").append(path).append(" HTTP/1.1\r\n");
        appendField(out, "Host", toString(endpoint));
        out.append("\r\n");
    }

    std::optional<probe_signals> readProbe(unsigned status, const fields &head) const override
    {
        probe_signals signals {.availability = readAvailability(status, head)};
        signals.healthy = status == kOk && !signals.availability.isLeaving;
        if (const auto utilisation = parseReportedLoad(fieldOf(head, kLoadHeader))) {
            // The field states a fraction; it is expressed as running calls over 1000 slots to keep three decimal places.
            constexpr std::uint32_t kParts = 1000;
            signals.load = endpoint_load {.running = static_cast<std::uint32_t>(*utilisation * kParts), .slots = kParts};
        }
        return signals;
    }
};

} // namespace

const call_dialect &ownDialect()
{
    static const own_dialect dialect;
    return dialect;
}

} // namespace sequoiawharf
