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

/// The endpoint of an attempt.
struct chosen_endpoint {
    probed_endpoint seen; ///< As it was when it was chosen; only the index counts when nobody asked it.
    connection_ptr connection; ///< Proven a moment ago; null: the attempt finds or opens one.
};

/// The calls of one gateway thread that wait for a slot. A call that ends tells how its endpoint is now, and the first of those that wait takes
/// the slot that came free, on the connection that has just answered: no endpoint needs to be asked. Used on one thread.
class slot_line
{
public:
    /// connections outlives the line.
    explicit slot_line(connection_pool &connections);

    /// Returns the number of calls that wait for the pool.
    std::size_t waiting(const balancer_ptr &pool) const;

    /// Tells whether no call of the pool stands before one of the profile.
    bool isFirst(const balancer_ptr &pool, const call_profile &call) const;

    /// Returns how many slots of the pool came free here in the last second.
    double freedPerSecond(const balancer_ptr &pool, mono_time now);

    /// Waits for a slot until the time, or until the watch ends. Nothing: none came.
    boost::asio::awaitable<std::optional<chosen_endpoint>> wait(balancer_ptr pool, call_profile call, mono_time until, call_watch &watch);

    /// Takes note that a call ended at the endpoint, and hands the slot on if it is a good one.
    void freed(const balancer_ptr &pool, const probed_endpoint &seen, mono_time now);

    /// Forgets pools of which nothing is known any more. Runs every second or so.
    void tidy(mono_time now);

private:
    struct waiter {
        waiter(balancer_ptr waitedFor, const boost::asio::any_io_executor &executor, mono_time until)
            : pool(std::move(waitedFor))
            , ended(executor, until)
        {
        }

        balancer_ptr pool;
        boost::asio::steady_timer ended; ///< Cancelled when a slot was handed over.
        std::optional<chosen_endpoint> slot;
    };

    struct line {
        line();

        call_queue queue;
        std::unordered_map<std::uint64_t, waiter *> waiters;
        std::deque<mono_time> freed; ///< When slots came free, within the last second.
    };

    connection_pool &m_connections;
    std::uint64_t m_lastToken = 0;
    std::unordered_map<const pool_state *, line> m_lines;
};

} // namespace sequoiawharf
