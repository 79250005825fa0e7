#include "src/shell/peer/async_signal.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;

/// Registers a timer in the list of waiters and removes it on destruction, also when the coroutine that waits is destroyed.
class waiter_entry
{
public:
    waiter_entry(std::shared_ptr<std::vector<asio::steady_timer *>> waiters, asio::steady_timer *timer)
        : m_waiters(std::move(waiters))
        , m_timer(timer)
    {
        m_waiters->push_back(timer);
    }
    ~waiter_entry()
    {
        std::erase(*m_waiters, m_timer);
    }
    waiter_entry(const waiter_entry &) = delete;
    waiter_entry &operator=(const waiter_entry &) = delete;

private:
    std::shared_ptr<std::vector<asio::steady_timer *>> m_waiters;
    asio::steady_timer *m_timer;
};

} // namespace

async_signal::async_signal()
    : m_waiters(std::make_shared<waiter_list>())
{
}

void async_signal::notify()
{
    std::ranges::for_each(*m_waiters, [](asio::steady_timer *timer) {
        timer->cancel();
    });
}

asio::awaitable<void> async_signal::wait(mono_time until)
{
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor, until);
    const waiter_entry entry(m_waiters, &timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace sequoiawharf
