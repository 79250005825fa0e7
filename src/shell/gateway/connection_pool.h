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

/// The connections of one gateway thread to endpoints. Used on that thread only, and outlives its connections.
class connection_pool
{
public:
    /// threads: number of pools that share what a connection_plan allows. metrics outlives the pool.
    connection_pool(thread_metrics &metrics, unsigned threads);

    /// Tells whether a call to the address can have a connection under the plan.
    bool hasRoom(const host_port &address, const connection_plan &plan) const;

    /// Returns a quiet idle connection that may carry the call, the one used last, or null. Connections found broken are closed.
    connection_ptr take(const host_port &address, const call_profile &call, mono_time now);

    /// Returns a quiet idle connection for a probe, which will prove it, or null. Connections found broken are closed.
    connection_ptr acquireIdleForProbe(const host_port &address);

    /// Returns a connection object that is not open yet, for open().
    connection_ptr make(const host_port &address, const boost::asio::any_io_executor &executor, mono_time now);

    /// Opens a connection; false: it failed. The caller may close the object meanwhile, which makes this fail.
    boost::asio::awaitable<bool> open(target_connection &connection, const host_port &address);

    /// Opens a connection ahead of need in the background, if the plan calls for one.
    void warmUp(const host_port &address, const connection_plan &plan, const boost::asio::any_io_executor &executor, mono_time now);

    /// Takes a connection back for later calls. Precondition: its last answer was whole, and nothing is left to read.
    void returnConnection(const host_port &address, connection_ptr connection);

    /// Closes a connection for good.
    void discard(connection_ptr connection);

    /// Takes note that a request sent at the time on a reused connection got no answer: something between may have lost track of the connection,
    /// and of its siblings. Those that have not answered since then are not used until an answer on a new connection tells.
    void suspect(const host_port &address, mono_time sent);

    /// Takes note of an answer on a connection. One opened after the suspicion shows that new connections work, and retires the suspects.
    void recordAnswer(const host_port &address, mono_time opened);

    /// Closes idle connections that broke or were not used for the time. Runs every second or so.
    void sweep(std::chrono::nanoseconds maxIdle, mono_time now);

    /// Closes all idle connections.
    void clear();

private:
    struct endpoint_connections {
        std::vector<connection_ptr> idle; ///< Used last: at the back.
        unsigned open = 0; ///< Idle ones and those in use.
        bool isWarming = false;
        mono_time suspectSince; ///< Connections that have not answered since are suspect; the epoch: none.
    };

    boost::asio::awaitable<void> warmOne(host_port address, boost::asio::any_io_executor executor, mono_time now);
    std::uint32_t shareOf(std::uint32_t total) const;

    thread_metrics &m_metrics;
    unsigned m_threads;
    std::unordered_map<host_port, endpoint_connections> m_endpoints;
};

} // namespace sequoiawharf
