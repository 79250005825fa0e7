#pragma once

#include "sequoiawharf/call_queue.h"
#include "sequoiawharf/probe_choice.h"
#include "src/shell/gateway/admission_gate.h"
#include "src/shell/gateway/connection_pool.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <optional>
#include <unordered_map>

namespace sequoiawharf
{

/// The endpoint chosen for an attempt.
struct chosen_endpoint {
    probed_endpoint endpoint; ///< Its state at the choice; only the index is valid when the endpoint was not probed.
    connection_ptr connection; ///< A connection that answered a moment ago; null: the attempt takes an idle one or opens one.
};

/// How a wait in a slot_queue ended.
struct slot_wait_result {
    std::optional<chosen_endpoint> slot; ///< The slot that the call was given.
    bool isDropped = false; ///< The queue is full and the call is the last one in order, so that it must not wait again.
};

/// The calls of one gateway thread that wait for a slot of an endpoint. When a call ends, its answer reports the load of its endpoint, and the first
/// waiting call gets the freed slot together with the connection that has just answered, so that no endpoint has to be probed. Used on one thread.
class slot_queue
{
public:
    /// Precondition: connections outlives the queue.
    explicit slot_queue(connection_pool &connections);

    /// Returns the number of calls that wait for a slot in the pool.
    std::size_t waiting(const balancer_ptr &pool) const;

    /// Returns whether a call with this profile would be the first one of the pool.
    bool isFirst(const balancer_ptr &pool, const call_profile &call) const;

    /// Returns the number of slots of the pool freed per second on this thread, over the last second.
    double slotsFreedPerSecond(const balancer_ptr &pool, mono_time now);

    /// Waits for a slot until the time, until the watch ends the call, or until the call is dropped from a full queue. Does not suspend when the call is
    /// dropped at once or the watch has ended it already; a caller that waited again then would keep the thread from other work.
    boost::asio::awaitable<slot_wait_result> wait(balancer_ptr pool, call_profile call, mono_time until, call_watch &watch);

    /// Records that a call ended at the endpoint, and gives its slot to the first waiting call that may use the endpoint, if that is neither slow nor nearly
    /// full.
    void slotFreed(const balancer_ptr &pool, const probed_endpoint &freed, mono_time now);

    /// Removes the queues of pools with neither waiting calls nor recently freed slots. Called periodically.
    void tidy(mono_time now);

private:
    struct waiter {
        waiter(balancer_ptr waitedFor, const boost::asio::any_io_executor &executor, mono_time until)
            : pool(std::move(waitedFor))
            , ended(executor, until)
        {
        }

        balancer_ptr pool;
        boost::asio::steady_timer ended; ///< Expires at the end of the wait; cancelled when a slot is given, or when the call leaves the queue early.
        slot_wait_result result;
    };

    struct pool_queue {
        pool_queue();

        call_queue queue;
        std::unordered_map<std::uint64_t, waiter *> waiters;
        std::deque<mono_time> freedTimes; ///< When slots were freed, within the last second.
    };

    connection_pool &m_connections;
    std::uint64_t m_lastToken = 0;
    std::unordered_map<const pool_state *, pool_queue> m_queues;
};

} // namespace sequoiawharf
