#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace sequoiawharf::testing
{

/// A connection that a fake target accepted, with blocking reads and writes that time out after 10 s.
class target_peer
{
public:
    target_peer(boost::asio::ip::tcp::socket socket, std::atomic<int> &runs);

    /// Reads a whole request, counts it as run and returns it; returns an empty text if the connection ended earlier.
    std::string readRequest();

    /// Reads and returns count bytes, or fewer if the connection ends earlier.
    std::string readBytes(std::size_t count);

    /// Sends the text. Returns false if the other side has closed.
    bool send(std::string_view text);

    /// Sends a complete answer with a Content-Length field. Returns false if the other side has closed.
    bool answer(std::string_view body, std::string_view status = "200 OK", std::string_view extraFields = {});

    /// Waits until the other side closes the connection. Returns false if it did not within 10 s.
    bool waitForClose();

    /// Ends the sending direction in an orderly way; the connection stays open.
    void finishSending();

    /// Closes the connection with a reset.
    void reset();

    /// Closes the connection in an orderly way.
    void close();

private:
    boost::asio::ip::tcp::socket m_socket;
    std::string m_unread;
    std::atomic<int> &m_runs;
};

/// A target that listens on loopback and runs a script in a new thread for each connection.
class fake_target
{
public:
    /// Runs once for each connection, which is closed when the script returns.
    using script = std::function<void(target_peer &)>;

    explicit fake_target(script behaviour, const std::string &host = "127.10.1.1");
    ~fake_target();

    std::uint16_t port() const
    {
        return m_port;
    }
    /// Returns the number of whole requests received.
    int runs() const
    {
        return m_runs;
    }
    /// Returns the number of connections accepted.
    int connections() const
    {
        return m_connections;
    }

private:
    void acceptLoop();

    script m_script;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port = 0;
    std::atomic<int> m_runs {0};
    std::atomic<int> m_connections {0};
    std::vector<std::thread> m_peers;
    std::thread m_thread;
};

/// Returns the header field in which a target reports its load: calls running divided by its slots.
std::string loadField(double utilisation);

/// Returns a script that answers every request with the body.
fake_target::script alwaysAnswer(std::string body);

/// Returns a script that reads the start of a long upload, sends the text, stops reading and resets the connection 150 ms later. By then the gateway's
/// write to the target is pending, if its caller sends fast.
fake_target::script resetDuringUpload(std::string text);

/// Answers that violate HTTP in their status or a field name, and otherwise are complete.
std::vector<std::string> invalidAnswers();

} // namespace sequoiawharf::testing
