#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace sequoiawharf
{

/// Configures the socket so that the kernel closes a connection whose peer has vanished: by keep-alive probes when it is idle, and by the age of
/// unacknowledged bytes otherwise. Neither needs a request to the peer's program. Also disables Nagle's algorithm. Thread safe for different sockets.
void enableDeadPeerDetection(boost::asio::ip::tcp::socket &socket);

} // namespace sequoiawharf
