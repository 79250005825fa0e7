#include "src/shell/peer/peer_connection.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <algorithm>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;
using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kConnectTimeout {500};
constexpr std::chrono::milliseconds kPingTimeout {300};
constexpr std::chrono::milliseconds kMinBackoff {100};
constexpr unsigned kMaxBackoffDoublings = 5;

} // namespace

peer_connection::peer_connection(host_port address, std::shared_ptr<peer_traffic> traffic)
    : m_address(std::move(address))
    , m_traffic(std::move(traffic))
{
}

std::shared_ptr<peer_session> peer_connection::usableSession() const
{
    auto session = m_session.lock();
    return session && session->isUsable() ? session : nullptr;
}

asio::awaitable<std::shared_ptr<peer_session>> peer_connection::get(mono_time until, std::chrono::milliseconds pingAfter)
{
    m_lastUsed = clock::now();
    const bool sessionLive = co_await isSessionLive(pingAfter);
    if (sessionLive) {
        co_return m_session.lock();
    }
    while (m_connecting && clock::now() < until) {
        co_await m_connected.wait(until);
    }
    if (!usableSession() && !m_connecting && clock::now() >= m_nextConnect) {
        co_await connect(until);
    }
    co_return usableSession();
}

asio::awaitable<bool> peer_connection::isSessionLive(std::chrono::milliseconds pingAfter)
{
    const auto session = usableSession();
    if (!session) {
        co_return false;
    }
    if (clock::now() - session->lastReceived() < pingAfter) {
        co_return true;
    }
    const bool live = co_await session->probeLiveness(kPingTimeout);
    co_return live && session->isUsable() && session == m_session.lock();
}

asio::awaitable<void> peer_connection::connect(mono_time until)
{
    m_connecting = true;
    boost::system::error_code error;
    const asio::ip::tcp::endpoint address(asio::ip::make_address(m_address.host, error), m_address.port);
    const auto executor = co_await asio::this_coro::executor;
    boost::beast::tcp_stream stream(executor);
    stream.expires_at(std::min(until, clock::now() + kConnectTimeout));
    if (!error) {
        co_await stream.async_connect(address, asio::redirect_error(asio::use_awaitable, error));
    }
    if (error) {
        m_nextConnect = clock::now() + kMinBackoff * (1U << std::min(m_failures, kMaxBackoffDoublings));
        ++m_failures;
    } else {
        m_failures = 0;
        m_session = peer_session::start(stream.release_socket(), peer_session::side::Client, m_traffic);
    }
    m_connecting = false;
    m_connected.notify();
}

void peer_connection::close(bool graceful)
{
    const auto session = m_session.lock();
    if (session && graceful) {
        session->stop();
    } else if (session) {
        session->close();
    }
}

} // namespace sequoiawharf
