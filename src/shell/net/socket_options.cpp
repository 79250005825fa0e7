#include "src/shell/net/socket_options.h"

#include <netinet/tcp.h>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;

template<int name> using tcp_option = asio::detail::socket_option::integer<IPPROTO_TCP, name>;

// A vanished peer is detected after kIdleSeconds + kProbes * kProbeSeconds, which is within the time in which a configuration must come into force.
constexpr int kIdleSeconds = 1;
constexpr int kProbeSeconds = 1;
constexpr int kProbes = 2;
constexpr int kUnacknowledgedMs = 2000; // the connection closes when sent bytes stay unacknowledged for this long

} // namespace

void enableDeadPeerDetection(asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(tcp_option<TCP_KEEPIDLE>(kIdleSeconds), ignored);
    socket.set_option(tcp_option<TCP_KEEPINTVL>(kProbeSeconds), ignored);
    socket.set_option(tcp_option<TCP_KEEPCNT>(kProbes), ignored);
    socket.set_option(tcp_option<TCP_USER_TIMEOUT>(kUnacknowledgedMs), ignored);
}

} // namespace sequoiawharf
