#pragma once

#include "sequoiawharf/probe_choice.h"
#include "sequoiawharf/random_source.h"
#include "src/shell/gateway/admission_gate.h"
#include "src/shell/gateway/connection_pool.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <deque>
#include <memory>
#include <span>
#include <vector>

namespace sequoiawharf
{

class call_dialect;

/// Probes endpoints of one pool for their load, in parallel. The connection of a probe that was answered can then carry the call. Used on one thread;
/// must be owned by a shared_ptr, which keeps it alive until the last probe has ended.
class probe_round : public std::enable_shared_from_this<probe_round>
{
public:
    /// Precondition: connections and dialect outlive the thread's context.
    probe_round(balancer_ptr pool, connection_pool &connections, const call_dialect &dialect, const boost::asio::any_io_executor &executor);

    /// Starts probes of further endpoints, given by their indexes in the pool. Those to which no connection is available are not probed; they appear in
    /// probed(), but have no effect on the endpoint's health. May be called more than once.
    void start(std::span<const std::uint32_t> endpoints, mono_time now);

    /// Waits until all probes have ended, but at most maxWait, or waitIfHealthy once a healthy endpoint has answered, counted from the call of wait().
    boost::asio::awaitable<void> wait(std::chrono::milliseconds waitIfHealthy, std::chrono::milliseconds maxWait);

    /// Ends a pending wait() and every later one at once.
    void cancel();

    /// Marks the answers of endpoints that leave or rest by now as unhealthy: another call may have learned so since they answered.
    void dropUnavailable(mono_time now);

    /// Returns the answers so far, of healthy and unhealthy endpoints.
    std::span<const probed_endpoint> answers() const
    {
        return m_answers;
    }

    /// Returns the endpoints given to start() so far.
    std::span<const std::uint32_t> probed() const
    {
        return m_probed;
    }

    /// Returns whether probes are pending.
    bool isPending() const
    {
        return m_pending > 0;
    }

    /// Returns the connection of the answer at an index in answers(). Precondition: it was not taken before.
    connection_ptr takeConnection(std::size_t answerIndex);

    /// Gives the connections that were not taken back to the connection pool, those of pending probes when they end.
    void returnUnusedConnections();

private:
    /// One endpoint that is being probed.
    struct probe {
        std::uint32_t endpoint = 0;
        target_connection *connection = nullptr; ///< The connection in use, which is closed at the timeout; null: none.
        bool hasTimedOut = false;
    };

    boost::asio::awaitable<void> runProbe(probe &current);
    boost::asio::awaitable<std::optional<probe_end>> exchange(target_connection &connection, probe &current, probed_endpoint &answer);
    void finishProbe(const probe &current, probe_end end, const probed_endpoint &answer, connection_ptr connection);

    balancer_ptr m_pool;
    connection_pool &m_connections;
    const call_dialect &m_dialect;
    boost::asio::any_io_executor m_executor;
    std::deque<probe> m_probes;
    std::vector<std::uint32_t> m_probed;
    std::vector<probed_endpoint> m_answers;
    std::vector<connection_ptr> m_answerConnections; ///< Of the answers in m_answers, in the same order.
    boost::asio::steady_timer m_waitTimer; ///< Of wait(); cancelled when a probe ends.
    boost::asio::steady_timer m_probeTimer; ///< Ends all pending probes at their timeout, counted from the last start().
    std::size_t m_pending = 0;
    bool m_isCancelled = false;
    bool m_isFinished = false; ///< returnUnusedConnections() was called.
};

} // namespace sequoiawharf
