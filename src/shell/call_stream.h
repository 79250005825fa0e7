#pragma once

#include "sequoiawharf/call_ending.h"
#include "sequoiawharf/ids.h"
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

/// One header field, without hop-by-hop meaning.
struct header_field {
    std::string name;
    std::string value;
};

using header_list = std::vector<header_field>;

/// A call as it enters an instance, from a caller or from an instance of another region.
struct call_head {
    call_id id = 0;
    std::string label; ///< The caller's own name for the call; empty: none.
    std::string host; ///< Host that the request names, without a port.
    std::string method;
    std::string path; ///< With its query, as received.
    header_list headers; ///< End-to-end fields only.
    caller_id caller;
    mono_time received;
    std::optional<std::chrono::milliseconds> callerTimeout; ///< The caller's own bound, from its receipt.
    unsigned depth = 0;
    std::optional<std::uint64_t> contentLength; ///< Unset: length unknown until the body's end.
    bool relayed = false; ///< Came from another instance; it is not relayed again.
};

/// The head of an answer, towards the caller.
struct answer_head {
    unsigned status = 200;
    header_list headers; ///< End-to-end fields only.
    std::optional<std::uint64_t> contentLength;
    call_ending ending = call_ending::Answered;
    call_reason reason = call_reason::None;
    bool callerMayRetry = true;
    std::optional<std::chrono::milliseconds> retryAfter; ///< When the caller had better come back.
    bool bodyFollows = false; ///< write() or finish() follows at once, so that head and body may leave together.
};

/// Errors of the byte streams around a call.
enum class stream_error { PeerGone, TooLarge, Malformed, TimedOut };

template<typename result> using stream_awaitable = boost::asio::awaitable<tl::expected<result, stream_error>>;

/// The body of a request, read once. Used by one coroutine at a time, on the thread that created it.
class body_source
{
public:
    virtual ~body_source() = default;

    /// Reads up to buffer.size() bytes; 0 is the body's end. Reading only on demand is what gives back pressure.
    virtual stream_awaitable<std::size_t> read(std::span<char> buffer) = 0;

    /// Makes a pending read, and every later one, fail with TimedOut. Runs on the source's thread; may be called at any time.
    virtual void cancel() = 0;
};

/// Where the answer of a call goes. Used by one coroutine at a time, on the thread that created it.
class answer_sink
{
public:
    virtual ~answer_sink() = default;

    /// Sends the head. Precondition: called once, before write().
    virtual stream_awaitable<std::size_t> start(const answer_head &head) = 0;

    /// Sends part of the body; returns when the bytes are taken over.
    virtual stream_awaitable<std::size_t> write(std::span<const char> bytes) = 0;

    /// Ends the answer as whole. Precondition: start() was called and all announced bytes were written.
    virtual stream_awaitable<std::size_t> finish() = 0;

    /// Ends the answer visibly as cut: the receiver cannot take it for whole. A pending write fails.
    virtual void abort() = 0;

    /// Tells whether the receiver has gone.
    virtual bool isReceiverGone() const = 0;

    /// Sets what runs, at most once and on the sink's thread, when the receiver goes before finish(); empty takes it back.
    virtual void onReceiverGone(std::function<void()> action) = 0;
};

/// Runs a call to its end and writes exactly one answer.
class call_handler
{
public:
    virtual ~call_handler() = default;

    /// Handles a call on the calling thread. The source and sink outlive the returned awaitable.
    virtual boost::asio::awaitable<void> handle(call_head head, body_source &body, answer_sink &answer) = 0;
};

/// How a relay to another region ended.
struct relay_outcome {
    enum class kind {
        Delivered, ///< The answer, whatever its ending, went to the sink.
        NotSent, ///< No byte of the call left this instance.
        Lost, ///< The link failed after part of the call may have left.
    };

    kind result = kind::NotSent;
};

/// Carries calls to an instance of another region.
class relay_client
{
public:
    virtual ~relay_client() = default;

    /// Tells whether an instance elsewhere can take a call of the pool now. Thread safe.
    virtual bool canRelay(const pool_name &pool, mono_time now) const = 0;

    /// Sends the call and streams its answer to the sink. Sets answer.onReceiverGone() to learn that the caller left. Runs on the calling thread.
    virtual boost::asio::awaitable<relay_outcome>
    relay(const pool_name &pool, const call_head &head, mono_time deadline, body_source &body, answer_sink &answer) = 0;
};

} // namespace sequoiawharf
