#pragma once

#include "src/shell/gateway/call_engine.h"
#include "src/shell/gateway/gateway_shared.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace sequoiawharf
{

class caller_session;

/// A gateway thread with its I/O context, listening socket, call engine and caller sessions.
class gateway_thread
{
public:
    /// Both references outlive the object.
    gateway_thread(gateway_shared &shared, unsigned index, std::uint64_t seed);
    ~gateway_thread();
    gateway_thread(const gateway_thread &) = delete;
    gateway_thread &operator=(const gateway_thread &) = delete;

    /// Opens the listening socket. Other sockets of the process may listen on the same address. The error states why the address cannot be used.
    tl::expected<void, std::string> listen(const host_port &address);

    /// Returns the port that the thread listens on. Precondition: listen() succeeded.
    std::uint16_t port() const;

    /// Starts the thread. Precondition: listen() succeeded, and start() was not called before.
    void start();

    /// Runs the action on the thread. Thread safe.
    void post(std::function<void(call_handler &, boost::asio::io_context &)> action);

    /// Admits queued calls of the pool as far as slots are free. Thread safe.
    void wake(const balancer_ptr &pool);

    /// Wakes the calls that wait for the instance to become ready. Thread safe.
    void readinessChanged();

    /// Wakes the calls that wait for tokens. Thread safe.
    void tokensArrived();

    /// Bounds all calls, see call_engine::beginStop(). Thread safe.
    void beginStop(const stop_bounds &bounds);

    /// Stops accepting connections. Thread safe.
    void closeListener();

    /// Stops and joins the thread without waiting for calls in flight. Further calls have no effect. Thread safe.
    void stop();

private:
    void runThread();
    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> maintenanceLoop();
    boost::asio::awaitable<void> rejectConnection(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> serve(std::shared_ptr<caller_session> session);
    void runMaintenance();
    void reportMemory();

    gateway_shared &m_shared;
    unsigned m_index;
    call_engine m_engine; // declared before m_context: the coroutines use it until the context destroys them
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::weak_ptr<caller_session>> m_sessions;
    std::thread m_thread;
    unsigned m_calmTicks = 1000; ///< Maintenance intervals since a call waited for memory.
    bool m_isMemoryPressed = false;
};

} // namespace sequoiawharf
