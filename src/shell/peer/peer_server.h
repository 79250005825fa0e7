#pragma once

#include "src/shell/call_stream.h"
#include "src/shell/peer/peer_identity.h"
#include "src/shell/peer/peer_session.h"
#include "src/shell/peer/write_pacer.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sequoiawharf
{

/// Answers one control request. The error is the HTTP status to answer with, for example 400 for a malformed request.
using control_handler = std::function<boost::asio::awaitable<tl::expected<std::string, unsigned>>(std::string request)>;

/// Returns a handler that runs the given one on the context. The result may be called on any thread. The context outlives every use of the result.
control_handler runOn(boost::asio::io_context &context, control_handler handler);

/// Handlers and dependencies of a peer_server.
struct peer_services {
    peer_identity self;
    control_handler control; ///< Null: control requests are refused.
    call_handler *calls = nullptr; ///< Null: relayed calls are refused with REFUSED_STREAM. Outlives the server.
    write_pacer *pacer = nullptr; ///< Paces the answers of relayed calls. Null: they are not paced. Outlives the server.
    std::function<route_class(const call_head &)> classify; ///< Null: every call is Normal.
    std::shared_ptr<peer_traffic> traffic;
};

/// Serves control requests and relayed calls of other instances. Each thread has its own server, and several may listen at the same address. Used on the
/// thread of the context; the object outlives the last run of the context.
class peer_server
{
public:
    /// Precondition: services.traffic is not null.
    peer_server(boost::asio::io_context &context, peer_services services);

    /// Listens at the address. Returns why the address cannot be used as the error.
    tl::expected<void, std::string> start(const host_port &address);

    /// Closes the listening socket and sends GOAWAY on each connection. Requests in progress continue.
    void stop();

    /// Closes the listening socket and every connection at once.
    void close();

    /// Returns the number of requests in progress.
    std::size_t streamCount() const;

private:
    struct connection;

    boost::asio::awaitable<void> acceptLoop();
    void accept(const std::shared_ptr<connection> &from, std::shared_ptr<peer_stream> stream);
    void acceptRelay(connection &from, const std::shared_ptr<peer_stream> &stream);
    boost::asio::awaitable<void> serveControl(std::shared_ptr<peer_stream> stream);
    boost::asio::awaitable<void> serveRelay(std::shared_ptr<peer_stream> stream, call_head head);

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    peer_services m_services;
    std::vector<std::weak_ptr<peer_session>> m_sessions;
};

} // namespace sequoiawharf
