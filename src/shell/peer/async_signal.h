#pragma once

#include "sequoiawharf/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <vector>

namespace sequoiawharf
{

/// Wakes coroutines that wait for a change of state. Used on one thread. A waiter must check its condition again after each wait().
class async_signal
{
public:
    async_signal();

    /// Wakes every coroutine that is in wait().
    void notify();

    /// Waits for the next notify(), but not longer than until the given time. Precondition: the object outlives the wait, unless the wait never
    /// resumes.
    boost::asio::awaitable<void> wait(mono_time until);

private:
    using waiter_list = std::vector<boost::asio::steady_timer *>;

    std::shared_ptr<waiter_list> m_waiters; ///< Shared, since a wait that is destroyed with its context may outlive the signal.
};

} // namespace sequoiawharf
