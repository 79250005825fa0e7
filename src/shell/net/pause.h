#pragma once

#include <boost/asio/awaitable.hpp>

#include <chrono>

namespace sequoiawharf
{

/// Waits for the given time on the executor of the calling coroutine. Returns early, without an error, when the coroutine is cancelled. Thread safe.
boost::asio::awaitable<void> pauseFor(std::chrono::nanoseconds time);

} // namespace sequoiawharf
