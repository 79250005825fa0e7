#pragma once

#include "sequoiawharf/admission.h"
#include "sequoiawharf/call_queue.h"
#include "sequoiawharf/pool_balancer.h"
#include "src/shell/gateway/call_watch.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

namespace sequoiawharf
{

using balancer_ptr = std::shared_ptr<const pool_balancer>;

/// Admits the calls of one gateway thread to their pools, and holds the admission queues of the calls that wait. Used on that thread only.
class admission_gate
{
public:
    /// Posts wake() of the gate of the thread with the given number to that thread.
    using waker = std::function<void(unsigned thread, const balancer_ptr &pool)>;

    /// thread: the number of this thread. Precondition: wakeThread is thread safe and outlives the gate.
    admission_gate(unsigned thread, const waker &wakeThread);

    /// Waits until the call is admitted or refused, and returns the verdict; Refused when the watch ends the wait. Call leave()
    /// when an admitted call ends.
    boost::asio::awaitable<admission> enter(balancer_ptr pool, const call_profile &call, call_watch &watch);

    /// Releases the place of an admitted call. Precondition: called once for each admitted call.
    void leave(const balancer_ptr &pool);

    /// Admits waiting calls of the pool while its concurrency limit has places, and refuses those whose deadline is too near.
    void wake(const balancer_ptr &pool);

    /// Removes the queues of pools for which no call waits. Called periodically.
    void tidy();

private:
    struct waiter {
        explicit waiter(const boost::asio::any_io_executor &executor)
            : ended(executor, mono_time::max())
        {
        }

        boost::asio::steady_timer ended; ///< Never expires; cancelled when the verdict is set.
        std::optional<admission> verdict;
    };

    /// The admission queue of one pool.
    struct pool_queue {
        pool_queue();

        call_queue queue;
        std::unordered_map<std::uint64_t, waiter *> waiters;
    };

    void setVerdict(pool_queue &poolQueue, const balancer_ptr &pool, std::uint64_t token, const admission &verdict);
    void waitEnded(pool_queue &poolQueue, const balancer_ptr &pool, std::uint64_t token);
    void postWake(std::optional<unsigned> thread, const balancer_ptr &pool);

    unsigned m_thread;
    const waker &m_wakeThread;
    std::uint64_t m_lastToken = 0;
    std::unordered_map<const pool_state *, pool_queue> m_queues;
};

} // namespace sequoiawharf
