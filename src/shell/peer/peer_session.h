#pragma once

#include "src/shell/call_stream.h"
#include "src/shell/peer/async_signal.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

struct nghttp2_session;

namespace sequoiawharf
{

class peer_stream;

/// Bytes that sessions sent and received, including HTTP/2 framing. May be shared by threads.
struct peer_traffic {
    std::atomic<std::uint64_t> bytesSent {0};
    std::atomic<std::uint64_t> bytesReceived {0};
    std::atomic<std::uint64_t> silentSessions {0}; ///< Sessions that were closed because nothing arrived on them any more.
};

/// One multiplexed HTTP/2 connection between two instances, without TLS and with prior knowledge. Used on the thread of the socket.
class peer_session : public std::enable_shared_from_this<peer_session>
{
public:
    enum class side { Client, Server };

    /// Handles a request whose head was received.
    using stream_acceptor = std::function<void(std::shared_ptr<peer_stream>)>;

    /// Starts a session on a connected socket and returns it. Precondition: accept is set when the role is Server, and traffic is not null.
    static std::shared_ptr<peer_session>
    start(boost::asio::ip::tcp::socket socket, side role, std::shared_ptr<peer_traffic> traffic, stream_acceptor accept = {});

    peer_session(boost::asio::ip::tcp::socket socket, side role, std::shared_ptr<peer_traffic> traffic, stream_acceptor accept);
    ~peer_session();
    peer_session(const peer_session &) = delete;
    peer_session &operator=(const peer_session &) = delete;

    /// Opens a stream and sends the head of a request on it. Returns null when the session accepts no new streams. withBody: the caller writes and finishes
    /// the body.
    std::shared_ptr<peer_stream> open(const header_list &headers, bool withBody);

    /// Returns whether new streams may be opened.
    bool isUsable() const;

    /// Returns whether the connection was closed or lost.
    bool isClosed() const
    {
        return m_closed;
    }

    /// Returns the time at which bytes were last received from the peer, at first the time of the start.
    mono_time lastReceived() const
    {
        return m_lastReceived;
    }

    /// Returns the number of streams in progress.
    std::size_t streamCount() const
    {
        return m_streams.size();
    }

    /// Sends a ping. Closes the session and returns false when nothing is received within the timeout.
    boost::asio::awaitable<bool> probeLiveness(std::chrono::milliseconds timeout);

    /// Waits until the stream has ended and all its bytes were written to the socket, but not longer than until the given time.
    boost::asio::awaitable<void> flush(std::shared_ptr<peer_stream> stream, mono_time until);

    /// Sends GOAWAY: streams in progress continue, the peer opens no new ones, and the connection closes after the last.
    void stop();

    /// Closes the connection at once. Open streams end as Broken, or as Refused when nothing of them was sent.
    void close();

    /// Closes the connection like close(), logs that nothing arrives on it any more, and counts it.
    void closeSilent();

private:
    friend class peer_stream;
    struct callbacks;
    struct frame_handlers;

    void consume(std::int32_t id, std::size_t size);
    void respond(std::int32_t id, const header_list &headers);
    void resume(std::int32_t id, bool deferred);
    void reset(std::int32_t id, std::uint32_t code);
    std::shared_ptr<peer_stream> find(std::int32_t id) const;
    void sendSettings();
    boost::asio::awaitable<void> readLoop();
    boost::asio::awaitable<void> writeLoop();
    std::string nextBatch();
    void endWriting();
    boost::asio::awaitable<void> livenessLoop();

    boost::asio::ip::tcp::socket m_socket;
    side m_role;
    std::shared_ptr<peer_traffic> m_traffic;
    stream_acceptor m_accept;
    nghttp2_session *m_session = nullptr;
    std::map<std::int32_t, std::shared_ptr<peer_stream>> m_streams;
    async_signal m_sendReady; ///< Notified when there may be bytes to send.
    async_signal m_received; ///< Notified when bytes were received.
    async_signal m_closeSignal;
    async_signal m_flushed;
    mono_time m_lastReceived;
    mono_time m_pingSent;
    bool m_closed = false;
    bool m_writing = false;
    bool m_stopping = false;
    bool m_peerStopping = false;
};

} // namespace sequoiawharf
