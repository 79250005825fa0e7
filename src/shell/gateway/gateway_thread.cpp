#include "src/shell/gateway/gateway_thread.h"

#include "src/shell/gateway/caller_session.h"
#include "src/shell/gateway/refusal.h"
#include "src/shell/metrics/gateway_metrics.h"
#include "src/shell/net/log.h"
#include "src/shell/net/page_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;

constexpr std::string_view kThreadPart = "gateway";
constexpr std::chrono::milliseconds kMaintenanceInterval {200};
constexpr std::chrono::milliseconds kAcceptRetryDelay {20}; // after a failed accept, for example for lack of file descriptors
constexpr unsigned kCalmTicks = 10; // intervals without a wait for memory after which the pressure has ended
constexpr std::chrono::seconds kTargetIdleTimeout {30};
constexpr std::chrono::milliseconds kStoppingIdleTimeout {1000}; // idle time after which a stopping instance closes a caller's connection
constexpr std::string_view kTooManyConnections = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nContent-Length: 44\r\nConnection: close\r\n"
                                                 "Sequoiawharf-Ending: not-run\r\nSequoiawharf-Reason: overloaded\r\nSequoiawharf-Retry: no\r\n\r\n"
                                                 "this instance has too many open connections\n";

} // namespace

gateway_thread::gateway_thread(gateway_shared &shared, unsigned index, std::uint64_t seed)
    : m_shared(shared)
    , m_index(index)
    , m_engine(shared, index, seed)
    , m_context(1)
    , m_acceptor(m_context)
{
}

gateway_thread::~gateway_thread()
{
    stop();
    m_engine.connections().close(); // their sockets must not outlive the context
}

tl::expected<void, std::string> gateway_thread::listen(const host_port &address)
{
    return listenAt(m_acceptor, address);
}

std::uint16_t gateway_thread::port() const
{
    boost::system::error_code ignored;
    return m_acceptor.local_endpoint(ignored).port();
}

void gateway_thread::start()
{
    asio::co_spawn(m_context, acceptLoop(), asio::detached);
    asio::co_spawn(m_context, maintenanceLoop(), asio::detached);
    m_thread = std::thread([this] {
        runThread();
    });
}

void gateway_thread::runThread()
{
    const rcu_reader_thread reader;
    const auto work = asio::make_work_guard(m_context);
    m_context.run();
}

void gateway_thread::post(std::function<void(call_handler &, asio::io_context &)> action)
{
    asio::post(m_context, [this, action = std::move(action)] {
        action(m_engine, m_context);
    });
}

void gateway_thread::wake(const balancer_ptr &pool)
{
    asio::post(m_context, [this, pool] {
        m_engine.gate().wake(pool);
    });
}

void gateway_thread::tokensArrived()
{
    asio::post(m_context, [this] {
        m_engine.tokensArrived().notify();
    });
}

void gateway_thread::readinessChanged()
{
    asio::post(m_context, [this] {
        m_engine.readinessChanged().notify();
    });
}

void gateway_thread::beginStop(const stop_bounds &bounds)
{
    asio::post(m_context, [this, bounds] {
        m_engine.beginStop(bounds);
    });
}

void gateway_thread::closeListener()
{
    asio::post(m_context, [this] {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
    });
}

void gateway_thread::stop()
{
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

asio::awaitable<void> gateway_thread::acceptLoop()
{
    while (m_acceptor.is_open()) {
        boost::system::error_code error;
        auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error && m_acceptor.is_open()) {
            logTo(log_level::Warning, kThreadPart, "Accepting a caller's connection failed. thread={} error=\"{}\"", m_index, error.message());
            asio::steady_timer pause(m_context, kAcceptRetryDelay);
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        if (error) {
            co_return;
        }
        const auto open = m_shared.callerConnections.fetch_add(1, std::memory_order_relaxed);
        if (open >= m_shared.settings.limits.maxCallerConnections()) {
            m_shared.callerConnections.fetch_sub(1, std::memory_order_relaxed);
            asio::co_spawn(m_context, rejectConnection(std::move(socket)), asio::detached);
            continue;
        }
        auto session = std::make_shared<caller_session>(std::move(socket), m_engine);
        m_sessions.emplace_back(session);
        asio::co_spawn(m_context, serve(std::move(session)), asio::detached);
    }
}

asio::awaitable<void> gateway_thread::serve(std::shared_ptr<caller_session> session)
{
    co_await session->run();
}

asio::awaitable<void> gateway_thread::rejectConnection(asio::ip::tcp::socket socket)
{
    m_engine.metrics().countEnding(call_ending::NotRun, call_reason::Overloaded);
    boost::system::error_code ignored;
    co_await asio::async_write(socket, asio::buffer(kTooManyConnections), asio::redirect_error(asio::use_awaitable, ignored));
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

asio::awaitable<void> gateway_thread::maintenanceLoop()
{
    asio::steady_timer timer(m_context);
    while (true) {
        boost::system::error_code error;
        timer.expires_after(kMaintenanceInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        runMaintenance();
    }
}

void gateway_thread::runMaintenance()
{
    const auto now = std::chrono::steady_clock::now();
    m_engine.connections().sweep(kTargetIdleTimeout, now);
    m_engine.gate().tidy();
    m_engine.slotQueue().tidy(now);
    m_engine.setProbeRate(now);
    m_engine.relieveMemory(now);
    if (m_index == 0) {
        reportMemory();
    }
    std::erase_if(m_sessions, [](const auto &session) {
        return session.expired();
    });
    const auto idleTimeout = m_shared.settings.limits.idleTimeout;
    const auto closeAfter = m_shared.isClosingIdle.load(std::memory_order_relaxed) ? std::min(kStoppingIdleTimeout, idleTimeout) : idleTimeout;
    std::ranges::for_each(m_sessions, [&](const auto &entry) {
        if (const auto session = entry.lock()) {
            session->closeIdle(closeAfter, now);
        }
    });
}

// Publishes the memory that the calls of all threads hold, and logs when pressure begins and ends.
void gateway_thread::reportMemory()
{
    const auto &memory = m_shared.memory;
    m_engine.metrics().callMemoryBytes.store(static_cast<std::int64_t>(memory.held()), std::memory_order_relaxed);
    m_calmTicks = memory.awaited() > 0 ? 0 : m_calmTicks + 1;
    const bool isPressed = m_calmTicks < kCalmTicks;
    if (isPressed != m_isMemoryPressed) {
        m_isMemoryPressed = isPressed;
        logTo(isPressed ? log_level::Warning : log_level::Info,
              kThreadPart,
              "{} held_bytes={} limit_bytes={}",
              isPressed ? "Calls wait for memory." : "Calls no longer wait for memory.",
              memory.held(),
              memory.limit());
    }
}

} // namespace sequoiawharf
