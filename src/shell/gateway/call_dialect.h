#pragma once

#include "sequoiawharf/endpoint_availability.h"
#include "sequoiawharf/probe_choice.h"
#include "src/shell/call_stream.h"

#include <boost/beast/http/fields.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiawharf
{

/// The dialect's fields in the head of a caller's request.
struct request_metadata {
    std::optional<call_id> id; ///< Unset: the gateway generates one.
    std::string label; ///< The caller's own identifier of the call, which the answer must repeat; empty: none.
    caller_id caller;
    std::string key; ///< Secret that the caller presented; empty: none.
    std::optional<std::uint64_t> deadlineMs; ///< The time that the caller waits, counted from the receipt of the head.
    std::uint64_t depth = 0; ///< Number of calls in the chain of callers above this one.
};

/// The dialect's fields in the head of a target's answer.
struct target_signals {
    enum class kind {
        Answer, ///< The answer to the call.
        NotRun, ///< The target stated that it did not run the call.
        OtherTarget, ///< The answer came from another endpoint that has the address; it did not run the call.
        Foreign, ///< The answer does not belong to this call.
    };

    kind what = kind::Answer;
    std::optional<float> load {}; ///< Calls running on the target divided by its slots.
    std::optional<endpoint_load> state {}; ///< The target's load in detail, if reported.
    endpoint_availability availability {}; ///< What the target states about further calls.
};

/// The content of an answer to a probe.
struct probe_signals {
    bool healthy = false; ///< The endpoint reports itself healthy and is not leaving.
    std::string identity {}; ///< The identity of the endpoint that answered; empty: not reported.
    std::optional<endpoint_load> load {};
    endpoint_availability availability {}; ///< What the endpoint states about further calls.
};

/// The conventions of one deployment on top of HTTP: the header fields, statuses and probe requests by which callers, targets and the gateway exchange
/// information on calls. Implementations are stateless and thread safe.
class call_dialect
{
public:
    using fields = boost::beast::http::fields;

    virtual ~call_dialect() = default;

    /// Parses the dialect's fields of a caller's request.
    virtual request_metadata readRequestHead(const fields &head) const = 0;

    /// Returns whether a field belongs to the dialect, so that it is not forwarded with the end-to-end fields.
    virtual bool isOwnField(std::string_view name) const = 0;

    /// Returns whether a field names the caller's organisation or carries its key. Where the configuration holds organisations, such fields are not
    /// forwarded with the end-to-end fields.
    virtual bool isCredentialField(std::string_view name) const = 0;

    /// Appends the dialect's fields of a request to a target. identity: the identity of the endpoint; remaining: time until the call's deadline.
    virtual void appendRequestFields(std::string &out, const call_head &call, std::string_view identity, std::chrono::milliseconds remaining) const = 0;

    /// Parses the dialect's fields of a target's answer to the call.
    virtual target_signals readAnswerHead(unsigned status, const fields &head, const call_head &call) const = 0;

    /// Appends the dialect's fields of an answer to a caller.
    virtual void appendAnswerFields(std::string &out, const answer_head &answer, call_id id, std::string_view label) const = 0;

    /// Returns the HTTP status of the gateway's own answer to a call that ended without an answer from a target.
    virtual unsigned statusFor(call_ending ending, call_reason reason) const = 0;

    /// Appends the complete request that probes an endpoint for its load.
    virtual void appendProbe(std::string &out, const host_port &endpoint, std::string_view path) const = 0;

    /// Parses the head of an answer to a probe. Returns nothing when it is not an answer to a probe.
    virtual std::optional<probe_signals> readProbe(unsigned status, const fields &head) const = 0;
};

/// Returns the project's own dialect, which lives as long as the program; see docs/ARCHITECTURE.md for its headers. Thread safe.
const call_dialect &ownDialect();

/// Returns the default HTTP status for an ending and its reason, which dialects may change. Thread safe.
unsigned defaultStatusFor(call_ending ending, call_reason reason);

} // namespace sequoiawharf
