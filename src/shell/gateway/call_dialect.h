#pragma once

#include "sequoiawharf/probe_choice.h"
#include "src/shell/call_stream.h"

#include <boost/beast/http/fields.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiawharf
{

/// What the head of a caller's request says besides its end-to-end fields.
struct request_metadata {
    std::optional<call_id> id; ///< Unset: the gateway draws one.
    std::string label; ///< The caller's own name for the call, which its answer must bear; empty: none.
    caller_id caller;
    std::optional<std::uint64_t> deadlineMs; ///< Time that the caller waits, from the receipt of the head.
    std::uint64_t depth = 0; ///< Number of calls above this one.
};

/// What the head of a target's answer says of the call and of the target.
struct target_signals {
    enum class kind {
        Answer, ///< The answer to the call.
        NotRun, ///< The target says that it did not run the call.
        OtherTarget, ///< Another endpoint has the address; it did not run the call.
        Foreign, ///< Not an answer to this call.
    };

    kind what = kind::Answer;
    std::optional<float> load {}; ///< Calls on the target over its slots.
    std::optional<endpoint_load> state {}; ///< The target's load in full, if it tells.
    bool leaving = false;
};

/// What the answer to a probe says.
struct probe_signals {
    bool healthy = false;
    std::string identity {}; ///< Of the endpoint that answered; empty: it does not say.
    std::optional<endpoint_load> load {};
};

/// The names and forms by which callers and targets of one deployment speak of calls: everything of HTTP that is not HTTP's own. Implementations
/// are thread safe, and keep no state between calls.
class call_dialect
{
public:
    using fields = boost::beast::http::fields;

    virtual ~call_dialect() = default;

    /// Reads the head of a caller's request.
    virtual request_metadata readRequestHead(const fields &head) const = 0;

    /// Tells whether a field belongs to the dialect and is not passed on with the end-to-end fields.
    virtual bool isOwnField(std::string_view name) const = 0;

    /// Appends the dialect's fields of a request to a target. identity: the endpoint's own name; remaining: until the call's deadline.
    virtual void appendRequestFields(std::string &out, const call_head &call, std::string_view identity, std::chrono::milliseconds remaining) const = 0;

    /// Reads the head of an answer to the call.
    virtual target_signals readAnswerHead(unsigned status, const fields &head, const call_head &call) const = 0;

    /// Appends the dialect's fields of an answer to a caller.
    virtual void appendAnswerFields(std::string &out, const answer_head &answer, call_id id, std::string_view label) const = 0;

    /// Returns the status by which the gateway tells that a call ended without a target's answer.
    virtual unsigned statusFor(call_ending ending, call_reason reason) const = 0;

    /// Appends the whole request that asks an endpoint for its state.
    virtual void appendProbe(std::string &out, const host_port &endpoint, std::string_view path) const = 0;

    /// Reads the answer to a probe; nothing when it is an answer to something else.
    virtual std::optional<probe_signals> readProbe(unsigned status, const fields &head) const = 0;
};

/// Returns the project's own dialect; see docs/ARCHITECTURE.md for its headers. It lives as long as the program.
const call_dialect &ownDialect();

/// Returns the status that an ending and its reason have in plain HTTP. Thread safe.
unsigned defaultStatusFor(call_ending ending, call_reason reason);

} // namespace sequoiawharf
