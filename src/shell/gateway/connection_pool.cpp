#include "src/shell/gateway/connection_pool.h"

#include "src/shell/metrics/gateway_metrics.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <netinet/tcp.h>

#include <algorithm>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kConnectTimeout {500};
constexpr int kUnacknowledgedTimeoutMs = 2000; // the kernel closes a connection whose sent bytes stay unacknowledged for this long

using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

} // namespace

connection_pool::connection_pool(thread_metrics &metrics, unsigned threads)
    : m_metrics(metrics)
    , m_threads(threads)
{
}

// Returns an equal part of the total for each thread, rounded up, and at least one connection.
std::uint32_t connection_pool::perThreadShare(std::uint32_t total) const
{
    return std::max(1U, (total + m_threads - 1) / m_threads);
}

bool connection_pool::hasRoom(const host_port &address, const connection_plan &plan) const
{
    const auto found = m_endpoints.find(address);
    return found == m_endpoints.end() || !found->second.idle.empty() || found->second.open < perThreadShare(plan.maxOpen);
}

connection_ptr connection_pool::acquireIdle(const host_port &address, const call_profile &call, mono_time now)
{
    const auto found = m_endpoints.find(address);
    if (found == m_endpoints.end()) {
        return nullptr;
    }
    auto &idle = found->second.idle;
    while (!idle.empty()) {
        const auto &newest = *idle.back();
        if (newest.lastAnswer <= found->second.suspectSince || !mayReuseConnection(call, now - newest.lastAnswer)) {
            // The call opens a new connection. The longest idle one is closed in exchange; otherwise the number of open connections could exceed
            // this thread's share without bound.
            auto oldest = std::move(idle.front());
            idle.erase(idle.begin());
            discard(std::move(oldest));
            return nullptr;
        }
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (connection->isReadyForCall()) {
            return connection;
        }
        discard(std::move(connection));
    }
    return nullptr;
}

connection_ptr connection_pool::acquireIdleForProbe(const host_port &address)
{
    const auto found = m_endpoints.find(address);
    while (found != m_endpoints.end() && !found->second.idle.empty()) {
        auto connection = std::move(found->second.idle.back());
        found->second.idle.pop_back();
        if (connection->isReadyForCall()) {
            return connection;
        }
        discard(std::move(connection));
    }
    return nullptr;
}

connection_ptr connection_pool::make(const host_port &address, const asio::any_io_executor &executor, mono_time now)
{
    return std::make_unique<target_connection>(executor, m_endpoints[address].open, now);
}

asio::awaitable<bool> connection_pool::open(target_connection &connection, const host_port &address)
{
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address.host, error);
    if (error) {
        co_return false;
    }
    const auto pending = std::make_shared<target_connection *>(&connection);
    asio::steady_timer timer(connection.socket.get_executor(), kConnectTimeout);
    timer.async_wait([pending](const boost::system::error_code &cancelled) {
        if (!cancelled && *pending != nullptr) {
            (*pending)->close();
        }
    });
    const asio::ip::tcp::endpoint endpoint(ip, address.port);
    co_await connection.socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    *pending = nullptr;
    if (error || !connection.socket.is_open()) {
        co_return false;
    }
    connection.socket.set_option(asio::ip::tcp::no_delay(true), error);
    connection.socket.set_option(user_timeout(kUnacknowledgedTimeoutMs), error);
    m_metrics.connectionsOpened.fetch_add(1, std::memory_order_relaxed);
    co_return true;
}

void connection_pool::warmUp(const host_port &address, const connection_plan &plan, const asio::any_io_executor &executor, mono_time now)
{
    auto &entry = m_endpoints[address];
    if (entry.isWarming || !entry.idle.empty() || entry.open >= perThreadShare(plan.warm)) {
        return;
    }
    entry.isWarming = true;
    asio::co_spawn(executor, openWarmConnection(address, executor, now), asio::detached);
}

asio::awaitable<void> connection_pool::openWarmConnection(host_port address, asio::any_io_executor executor, mono_time now)
{
    auto connection = make(address, executor, now);
    const bool isOpen = co_await open(*connection, address);
    auto &entry = m_endpoints[address];
    entry.isWarming = false;
    if (isOpen) {
        entry.idle.insert(entry.idle.begin(), std::move(connection));
    }
}

void connection_pool::returnConnection(const host_port &address, connection_ptr connection)
{
    if (m_isClosed) {
        return discard(std::move(connection));
    }
    m_endpoints[address].idle.push_back(std::move(connection));
}

void connection_pool::discard(connection_ptr connection)
{
    m_metrics.connectionsClosed.fetch_add(1, std::memory_order_relaxed);
    connection->close();
}

void connection_pool::markSuspect(const host_port &address, mono_time sent)
{
    auto &entry = m_endpoints[address];
    entry.suspectSince = std::max(entry.suspectSince, sent);
}

void connection_pool::recordAnswer(const host_port &address, mono_time opened)
{
    auto &entry = m_endpoints[address];
    if (entry.suspectSince == mono_time {} || opened <= entry.suspectSince) {
        return;
    }
    const auto count = std::erase_if(entry.idle, [&](const connection_ptr &connection) {
        return connection->lastAnswer <= entry.suspectSince;
    });
    m_metrics.connectionsClosed.fetch_add(count, std::memory_order_relaxed);
    entry.suspectSince = {};
}

void connection_pool::sweep(std::chrono::nanoseconds maxIdle, mono_time now)
{
    std::ranges::for_each(m_endpoints, [&](auto &entry) {
        const auto count = std::erase_if(entry.second.idle, [&](const connection_ptr &connection) {
            return now - connection->lastAnswer > maxIdle || !connection->isReadyForCall();
        });
        m_metrics.connectionsClosed.fetch_add(count, std::memory_order_relaxed);
    });
    std::erase_if(m_endpoints, [](const auto &entry) {
        return entry.second.open == 0 && !entry.second.isWarming;
    });
}

void connection_pool::close()
{
    m_isClosed = true;
    std::ranges::for_each(m_endpoints, [](auto &entry) {
        entry.second.idle.clear();
    });
}

} // namespace sequoiawharf
