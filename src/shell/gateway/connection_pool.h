#pragma once

#include "sequoiawharf/attempt.h"
#include "sequoiawharf/connection_plan.h"
#include "sequoiawharf/ids.h"
#include "src/shell/gateway/target_connection.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <memory>
#include <unordered_map>
#include <vector>

namespace sequoiawharf
{

struct thread_metrics;

using connection_ptr = std::unique_ptr<target_connection>;

/// Pools the connections of one gateway thread to endpoints. Used on that thread only. The pool outlives its connections.
class connection_pool
{
public:
    /// threads: number of pools among which the limits of a connection_plan are divided. metrics outlives the pool.
    connection_pool(thread_metrics &metrics, unsigned threads);

    /// Returns whether a call to the address can get a connection under the plan: an idle one, or a new one within the plan's limit.
    bool hasRoom(const host_port &address, const connection_plan &plan) const;

    /// Returns the most recently used idle connection if it may carry the call, or null. Closes connections found broken, and the longest idle one
    /// when the call needs a new connection.
    connection_ptr acquireIdle(const host_port &address, const call_profile &call, mono_time now);

    /// Returns the most recently used idle connection for a probe, or null. A suspect one may be returned too, since the probe shows whether it works.
    /// Closes connections found broken.
    connection_ptr acquireIdleForProbe(const host_port &address);

    /// Creates a connection object that is not open yet, for open().
    connection_ptr make(const host_port &address, const boost::asio::any_io_executor &executor, mono_time now);

    /// Opens the connection and returns whether that succeeded. Closing the object in the meantime makes this fail.
    boost::asio::awaitable<bool> open(target_connection &connection, const host_port &address);

    /// Opens a connection in the background ahead of need, if the endpoint has no idle connection and fewer open ones than plan.warm.
    void warmUp(const host_port &address, const connection_plan &plan, const boost::asio::any_io_executor &executor, mono_time now);

    /// Returns a connection to the pool for later calls. Precondition: its last answer was complete, and nothing is left to read.
    void returnConnection(const host_port &address, connection_ptr connection);

    /// Closes a connection that will not be reused.
    void discard(connection_ptr connection);

    /// Marks connections to the address suspect after a request sent at the time on a reused connection got no answer: a device on the path may have
    /// dropped its state for this connection and the others. Connections that have not answered since then carry no calls until an answer on a new
    /// connection arrives.
    void markSuspect(const host_port &address, mono_time sent);

    /// Records an answer on a connection opened at the time. If it was opened after the suspicion arose, new connections work, so the suspect idle
    /// connections are closed.
    void recordAnswer(const host_port &address, mono_time opened);

    /// Closes idle connections that are broken or have not answered for longer than maxIdle, and removes the records of addresses without connections.
    /// Called periodically.
    void sweep(std::chrono::nanoseconds maxIdle, mono_time now);

    /// Closes all idle connections, and from now on each connection that is returned. Called before the context of the connections is destroyed: calls that
    /// end with it return theirs.
    void close();

private:
    struct endpoint_connections {
        std::vector<connection_ptr> idle; ///< Ordered by last use; the most recently used is at the back.
        unsigned open = 0; ///< Number of connections, idle and in use.
        bool isWarming = false; ///< A background connection attempt is running.
        mono_time suspectSince; ///< Connections that have not answered since this time are suspect; the epoch means none.
    };

    boost::asio::awaitable<void> openWarmConnection(host_port address, boost::asio::any_io_executor executor, mono_time now);
    std::uint32_t perThreadShare(std::uint32_t total) const;

    thread_metrics &m_metrics;
    unsigned m_threads;
    bool m_isClosed = false;
    std::unordered_map<host_port, endpoint_connections> m_endpoints;
};

} // namespace sequoiawharf
