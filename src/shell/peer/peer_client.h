#pragma once

#include "sequoiawharf/ids.h"
#include "sequoiawharf/time.h"

#include <boost/asio/awaitable.hpp>
#include <tl/expected.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <string>

namespace sequoiawharf
{

class peer_connection;
struct peer_traffic;

/// Errors of a control request.
enum class peer_error {
    NotSent, ///< The peer did not process the request: there was no connection, or the stream was refused.
    Lost, ///< No complete answer was received; the peer may have processed the request.
    Refused, ///< The peer answered with a status other than 200.
};

/// Time without received bytes after which a connection must answer a ping before it is used for a request that is repeated soon anyway, such as a
/// heartbeat.
inline constexpr std::chrono::milliseconds kPingAfterIdle {30'000};

/// The same for a request whose delay would delay a configuration. Costs a round trip on a connection that carries less than a heartbeat a second.
inline constexpr std::chrono::milliseconds kPingAfterPause {1000};

/// Sends control requests to other instances over one persistent connection to each. Used on one thread; the object outlives its requests.
class peer_client
{
public:
    /// Precondition: traffic is not null.
    explicit peer_client(std::shared_ptr<peer_traffic> traffic);
    ~peer_client();
    peer_client(const peer_client &) = delete;
    peer_client &operator=(const peer_client &) = delete;

    /// Sends one request and returns the body of the answer. When nothing arrives on the connection between the request and its failure, the connection
    /// is closed, so that the next request opens a new one. pingAfter: time without received bytes after which the connection is tested by a ping, and
    /// replaced when there is no reply, before the request is sent.
    boost::asio::awaitable<tl::expected<std::string, peer_error>>
    request(host_port peer, std::string body, std::chrono::milliseconds timeout, std::chrono::milliseconds pingAfter = kPingAfterIdle);

    /// Closes connections that have been idle for two minutes, once their requests have ended.
    void closeIdle(mono_time now);

    /// Closes all connections. graceful: each one once its requests have ended.
    void close(bool graceful);

private:
    std::shared_ptr<peer_traffic> m_traffic;
    std::map<host_port, std::shared_ptr<peer_connection>> m_connections;
};

} // namespace sequoiawharf
