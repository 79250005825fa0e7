#include "src/shell/peer/link_pacer.h"

#include "sequoiawharf/link_budget.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sequoiawharf
{

namespace asio = boost::asio;

link_pacer::link_pacer(link_budget &budget)
    : m_budget(budget)
{
}

asio::awaitable<bool> link_pacer::admit(route_class priority, std::size_t bytes, mono_time deadline)
{
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor);
    while (true) {
        const auto now = std::chrono::steady_clock::now();
        const auto wait = m_budget.tryReserve(priority, bytes, now);
        if (wait.count() == 0) {
            break;
        }
        if (now + wait > deadline) {
            co_return false;
        }
        timer.expires_at(now + wait);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return true;
}

std::size_t link_pacer::quantum() const
{
    return m_budget.quantum();
}

} // namespace sequoiawharf
