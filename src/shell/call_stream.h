#pragma once

#include "sequoiawharf/call_ending.h"
#include "sequoiawharf/ids.h"
#include "sequoiawharf/placement_limits.h"
#include "sequoiawharf/time.h"

#include <boost/asio/awaitable.hpp>
#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sequoiawharf
{

/// One end-to-end header field.
struct header_field {
    std::string name;
    std::string value;
};

using header_list = std::vector<header_field>;

/// The head of a call that an instance received from a caller or from an instance of another region.
struct call_head {
    call_id id = 0;
    std::string label; ///< The caller's own identifier of the call; empty: none.
    std::string host; ///< Host of the request, without its port.
    std::string method;
    std::string path; ///< The path with its query, as received.
    header_list headers; ///< End-to-end fields only.
    caller_id caller;
    std::string key; ///< Secret that the caller presented; empty: none. Never forwarded or logged.
    organisation_name organisation; ///< Organisation that holds the key; empty: none is known.
    mono_time received;
    std::optional<std::chrono::milliseconds> callerTimeout; ///< The time limit that the caller set, counted from received.
    unsigned depth = 0; ///< Number of calls in the chain of callers above this one.
    std::optional<std::uint64_t> contentLength; ///< Unset: the length is unknown until the body's end.
    bool relayed = false; ///< The call came from another instance; it is not relayed again.
};

/// The head of an answer to the caller.
struct answer_head {
    unsigned status = 200;
    header_list headers; ///< End-to-end fields only.
    std::optional<std::uint64_t> contentLength;
    call_ending ending = call_ending::Answered;
    call_reason reason = call_reason::None;
    bool callerMayRetry = true;
    std::optional<std::chrono::milliseconds> retryAfter; ///< The delay after which the caller should retry.
    bool bodyFollows = false; ///< write() or finish() follows at once, so that head and body can be sent together.
};

/// Errors of the streams that carry the bodies of a call.
enum class stream_error { PeerGone, TooLarge, Malformed, TimedOut };

template<typename result> using stream_awaitable = boost::asio::awaitable<tl::expected<result, stream_error>>;

/// The body of a request, which can be read once. Used by one coroutine at a time, on the thread that created it.
class body_source
{
public:
    virtual ~body_source() = default;

    /// Reads up to buffer.size() bytes and returns their number; 0 at the body's end. Bytes are read only on demand, so that a slow reader causes
    /// back pressure on the sender.
    virtual stream_awaitable<std::size_t> read(std::span<char> buffer) = 0;

    /// Makes a pending read and every later one fail with TimedOut. May be called at any time, on the source's thread.
    virtual void cancel() = 0;
};

/// The receiver of a call's answer. Used by one coroutine at a time, on the thread that created it.
class answer_sink
{
public:
    virtual ~answer_sink() = default;

    /// Sends the head. Precondition: called once, before write() and finish().
    virtual stream_awaitable<std::size_t> start(const answer_head &head) = 0;

    /// Sends part of the body. Returns when the caller may reuse the memory of the bytes.
    virtual stream_awaitable<std::size_t> write(std::span<const char> bytes) = 0;

    /// Ends the answer as complete. Precondition: start() was called, and all bytes of the announced content length were written.
    virtual stream_awaitable<std::size_t> finish() = 0;

    /// Ends the answer as truncated, in a way that the receiver cannot mistake for a complete one. A pending write fails.
    virtual void abort() = 0;

    /// Returns whether the receiver has closed its connection.
    virtual bool isReceiverGone() const = 0;

    /// Sets the action to run, at most once and on the sink's thread, when the receiver closes its connection before finish(); an empty one removes it.
    virtual void onReceiverGone(std::function<void()> action) = 0;
};

/// Processes calls, and writes exactly one answer to each.
class call_handler
{
public:
    virtual ~call_handler() = default;

    /// Processes a call on the calling thread. Precondition: the source and the sink outlive the returned awaitable.
    virtual boost::asio::awaitable<void> handle(call_head head, body_source &body, answer_sink &answer) = 0;
};

/// How a relay to another region ended.
struct relay_outcome {
    enum class kind {
        Delivered, ///< The answer was sent to the sink, whatever its ending.
        NotSent, ///< No byte of the call was sent.
        Lost, ///< The connection failed after part of the call may have been sent.
    };

    kind result = kind::NotSent;
};

/// Sends calls to instances of other regions.
class relay_client
{
public:
    virtual ~relay_client() = default;

    /// Returns whether an instance of another region, in one of the allowed data centres, can accept a call of the pool now. Thread safe.
    virtual bool canRelay(const pool_name &pool, mono_time now, centre_mask allowed) const = 0;

    /// Sends the call to an instance in one of the allowed data centres and streams its answer to the sink. Replaces the action of answer.onReceiverGone(), to
    /// be notified when the caller closes its connection. Runs on the calling thread.
    virtual boost::asio::awaitable<relay_outcome>
    relay(const pool_name &pool, const call_head &head, mono_time deadline, centre_mask allowed, body_source &body, answer_sink &answer) = 0;
};

} // namespace sequoiawharf
