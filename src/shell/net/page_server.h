#pragma once

#include "sequoiawharf/ids.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <tl/expected.hpp>

#include <functional>
#include <map>
#include <string>

namespace sequoiawharf
{

/// A complete request for a page.
struct page_request {
    std::string method;
    std::string path; ///< Without the query.
    std::map<std::string, std::string> query; ///< Decoded.
    std::string body;
};

/// A complete answer to a page request.
struct page_answer {
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::map<std::string, std::string> headers {}; ///< Further fields of the head, by name.
    bool dropConnection = false; ///< Closes the connection without an answer, to simulate a failing service.
};

/// HTTP server for small pages of the control plane, such as metrics, status and the controls of simulated services. A malformed request is answered with
/// 400. Runs on one io_context. Not thread safe.
class page_server
{
public:
    using handler = std::function<boost::asio::awaitable<page_answer>(const page_request &)>;

    explicit page_server(boost::asio::io_context &context);

    /// Registers the handler of a path. It runs on the context's thread. Precondition: start() was not called yet.
    void add(std::string path, handler page);

    /// Registers the handler of all paths without one of their own. Precondition: start() was not called yet.
    void addDefault(handler page);

    /// Starts to accept connections at the address. Returns an error message when the address cannot be used.
    tl::expected<void, std::string> start(const host_port &address);

    /// Returns the port of the listening socket. Precondition: start() succeeded.
    std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

    /// Closes the listening socket. Open connections are still served.
    void stop();

private:
    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<page_answer> answer(const page_request &request);

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::map<std::string, handler> m_pages;
    handler m_default;
};

/// Opens a listening socket whose address other sockets may share (SO_REUSEPORT). Returns an error message when the address cannot be used.
tl::expected<void, std::string> listenAt(boost::asio::ip::tcp::acceptor &acceptor, const host_port &address);

} // namespace sequoiawharf
