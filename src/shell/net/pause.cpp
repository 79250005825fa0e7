#include "src/shell/net/pause.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sequoiawharf
{

namespace asio = boost::asio;

asio::awaitable<void> pauseFor(std::chrono::nanoseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace sequoiawharf
