#pragma once

#include "src/shell/call_stream.h"
#include "src/shell/peer/async_signal.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace sequoiawharf
{

class peer_session;

/// State of the receiving side of an HTTP/2 stream.
enum class stream_state {
    Open,
    Complete, ///< The peer ended its side, and all its bytes were received.
    Refused, ///< The peer did not process the stream (REFUSED_STREAM, or a GOAWAY below its id), or nothing of it was sent.
    Broken, ///< The stream was reset or its connection was lost.
};

/// One request and its answer on a peer_session. Used on the thread of the session; coroutines hold it by shared pointer.
/// Only reads replenish the flow-control window: a reader that stops blocks the sender, and at most one window of bytes is buffered.
class peer_stream : public std::enable_shared_from_this<peer_stream>
{
public:
    peer_stream(std::weak_ptr<peer_session> session, std::int32_t id);

    /// Returns the HTTP/2 stream identifier.
    std::int32_t id() const
    {
        return m_id;
    }

    /// Returns the headers that the peer sent, including pseudo headers; empty before any was received.
    const header_list &head() const
    {
        return m_head;
    }

    /// Returns whether the head of the peer was received completely.
    bool hasHead() const
    {
        return m_headComplete;
    }

    /// Returns the state of the receiving side.
    stream_state state() const
    {
        return m_state;
    }

    /// Returns whether any byte of this side's head may have been sent.
    bool mayHaveBeenSent() const
    {
        return m_mayHaveBeenSent;
    }

    /// Returns whether the stream was reset or its connection was lost, even if the peer had already ended its side of the stream (END_STREAM).
    bool isGone() const
    {
        return m_closed && m_closeCode != 0;
    }

    /// Sets the action that runs, at most once, when isGone() becomes true. An empty action removes it.
    void onGone(std::function<void()> action);

    /// Makes a pending read, and every later one that has no buffered bytes to return, fail with TimedOut.
    void cancelRead();

    /// Waits until the head was received or the stream ended, but not longer than until the given time. Returns whether the head was received.
    boost::asio::awaitable<bool> awaitHead(mono_time until);

    /// Reads up to buffer.size() bytes of the peer's body and returns their number, 0 at its end. Returns PeerGone when the body was cut short, TimedOut when
    /// no bytes were received before the given time.
    stream_awaitable<std::size_t> read(std::span<char> buffer, mono_time until);

    /// Sends part of this side's body. Returns when the session has taken the last byte. Returns PeerGone when the stream was closed before, TimedOut at the
    /// given time. Precondition: no other write is pending, and finish() was not called.
    stream_awaitable<std::size_t> write(std::span<const char> bytes, mono_time until);

    /// Sends the head of an answer. Precondition: this is the server side, and respond() was not called before.
    void respond(const header_list &headers);

    /// Ends this side's body after the bytes written so far.
    void finish();

    /// Waits until the stream has ended and all its bytes were written to the socket, but not longer than until the given time.
    boost::asio::awaitable<void> flush(mono_time until);

    /// Resets the stream with an HTTP/2 error code.
    void reset(std::uint32_t code);

private:
    friend class peer_session;

    void handleHeader(std::string_view name, std::string_view value);
    void handleHeadEnd();
    void handleData(std::string_view bytes);
    void handleEndStream();
    void handleClose(std::uint32_t code);
    std::ptrdiff_t fillBody(std::span<char> buffer, bool &ended);
    void resume();

    std::weak_ptr<peer_session> m_session;
    std::int32_t m_id;
    header_list m_head;
    std::size_t m_headBytes = 0;
    std::string m_receiveBuffer;
    std::size_t m_receiveOffset = 0;
    std::span<const char> m_pendingWrite;
    async_signal m_changed;
    std::function<void()> m_onGone;
    stream_state m_state = stream_state::Open;
    bool m_headComplete = false;
    bool m_mayHaveBeenSent = false;
    bool m_finishing = false;
    bool m_deferred = false;
    bool m_closed = false;
    bool m_readCancelled = false;
    std::uint32_t m_closeCode = 0;
};

/// Returns the value of the first field with the given lower-case name, or an empty view.
std::string_view findHeader(const header_list &headers, std::string_view name);

} // namespace sequoiawharf
