#include "src/shell/gateway/probe_round.h"

#include "src/shell/gateway/call_dialect.h"
#include "src/shell/net/clock.h"
#include "src/shell/net/http_status.h"
#include "src/shell/net/message_reader.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

// A probe is answered within a few round trips; without an answer for this long, the endpoint or the network path to it is down.
constexpr milliseconds kProbeTimeout {400};
constexpr std::size_t kMaxProbeHeadBytes = 8192;
constexpr std::size_t kProbeReadBytes = 1024;
constexpr std::size_t kMaxProbeBodyBytes = 16384; // a health page is short

} // namespace

probe_round::probe_round(balancer_ptr pool, connection_pool &connections, const call_dialect &dialect, const asio::any_io_executor &executor)
    : m_pool(std::move(pool))
    , m_connections(connections)
    , m_dialect(dialect)
    , m_executor(executor)
    , m_waitTimer(executor, mono_time::max())
    , m_probeTimer(executor)
{
}

void probe_round::start(std::span<const std::uint32_t> endpoints, mono_time now)
{
    m_probeTimer.expires_at(now + kProbeTimeout);
    m_probeTimer.async_wait([self = shared_from_this()](const boost::system::error_code &cancelled) {
        if (cancelled) {
            return;
        }
        std::ranges::for_each(self->m_probes, [](probe &current) {
            current.hasTimedOut = true;
            if (current.connection != nullptr) {
                current.connection->close();
            }
        });
    });
    std::ranges::for_each(endpoints, [&](std::uint32_t endpoint) {
        m_probed.push_back(endpoint);
        const auto &address = m_pool->at(endpoint).definition().address;
        if (!m_connections.hasRoom(address, m_pool->connections(endpoint))) {
            return;
        }
        auto &current = m_probes.emplace_back(probe {.endpoint = endpoint});
        ++m_pending;
        asio::co_spawn(
            m_executor,
            [self = shared_from_this(), &current]() -> asio::awaitable<void> {
                co_await self->runProbe(current);
            },
            asio::detached);
    });
}

// Sends the probe on an idle connection first, and on a new one if that turns out to be dead.
asio::awaitable<void> probe_round::runProbe(probe &current)
{
    const auto &address = m_pool->at(current.endpoint).definition().address;
    probed_endpoint answer {.index = current.endpoint, .distanceClass = m_pool->distanceOf(current.endpoint), .load = {}};
    auto connection = m_connections.acquireIdleForProbe(address);
    if (connection) {
        const auto end = co_await exchange(*connection, current, answer);
        if (end) {
            co_return finishProbe(current, *end, answer, std::move(connection));
        }
        m_connections.discard(std::move(connection));
    }
    if (current.hasTimedOut) {
        co_return finishProbe(current, probe_end::Unanswered, answer, nullptr);
    }
    connection = m_connections.make(address, m_executor, monoNow());
    current.connection = connection.get();
    const bool isOpen = co_await m_connections.open(*connection, address);
    current.connection = nullptr;
    if (!isOpen) {
        m_connections.discard(std::move(connection));
        co_return finishProbe(current, probe_end::Unreachable, answer, nullptr);
    }
    // As before a call: the endpoint may have asked for no requests while the connection was opened.
    if (!m_pool->mayTakeRequests(current.endpoint, monoNow())) {
        m_connections.discard(std::move(connection));
        co_return finishProbe(current, probe_end::Unhealthy, answer, nullptr);
    }
    const auto end = co_await exchange(*connection, current, answer);
    if (!end) {
        m_connections.discard(std::move(connection));
    }
    finishProbe(current, end.value_or(probe_end::Unanswered), answer, std::move(connection));
}

// Sends the probe on the connection and reads the answer. Returns nothing when the connection gave no valid answer.
asio::awaitable<std::optional<probe_end>> probe_round::exchange(target_connection &connection, probe &current, probed_endpoint &answer)
{
    const auto &target = m_pool->at(current.endpoint).definition();
    current.connection = &connection;
    std::string text;
    m_dialect.appendProbe(text, target.address, m_pool->definition().probePath);
    boost::system::error_code error;
    co_await asio::async_write(connection.socket, asio::buffer(text), asio::redirect_error(asio::use_awaitable, error));
    message_reader reader(connection.socket, connection.buffer, kMaxProbeHeadBytes);
    response_parser parser;
    if (error) {
        current.connection = nullptr;
        co_return std::nullopt;
    }
    const auto head = co_await reader.readHeader(parser);
    const auto signals = head && isValidStatus(parser.get().result_int()) ? m_dialect.readProbe(parser.get().result_int(), parser.get()) : std::nullopt;
    if (!signals) {
        current.connection = nullptr;
        co_return std::nullopt;
    }
    const bool isOther = !target.identity.empty() && !signals->identity.empty() && signals->identity != target.identity;
    if (!isOther) {
        m_pool->recordAvailability(current.endpoint, signals->availability, monoNow());
    }
    std::array<char, kProbeReadBytes> ignored {};
    message_awaitable<std::size_t>::value_type count = std::size_t {1};
    std::size_t bodyBytes = 0;
    while (count && *count > 0 && bodyBytes <= kMaxProbeBodyBytes) {
        count = co_await reader.readBody(parser, ignored);
        bodyBytes += count.value_or(0);
    }
    current.connection = nullptr;
    if (!count || *count > 0 || connection.buffer.size() > 0) {
        co_return std::nullopt;
    }
    if (!parser.get().keep_alive()) {
        connection.close();
    }
    connection.lastAnswer = monoNow();
    m_connections.recordAnswer(target.address, connection.opened);
    answer.healthy = signals->healthy;
    answer.cold = target.warmupEnd > connection.lastAnswer;
    answer.load = signals->load.value_or(m_pool->assumedLoad(current.endpoint));
    co_return isOther ? probe_end::OtherTarget : (signals->healthy ? probe_end::Healthy : probe_end::Unhealthy);
}

void probe_round::finishProbe(const probe &current, probe_end end, const probed_endpoint &answer, connection_ptr connection)
{
    const auto &address = m_pool->at(current.endpoint).definition().address;
    m_pool->probeEnded(current.endpoint, end, monoNow());
    --m_pending;
    if (m_pending == 0) {
        m_probeTimer.cancel();
    }
    const bool isUsable = connection && connection->socket.is_open() && (end == probe_end::Healthy || end == probe_end::Unhealthy);
    if (isUsable && m_isFinished) {
        m_connections.returnConnection(address, std::move(connection));
    } else if (isUsable) {
        m_answers.push_back(answer);
        m_answerConnections.push_back(std::move(connection));
    } else if (connection) {
        m_connections.discard(std::move(connection));
    }
    m_waitTimer.cancel();
}

asio::awaitable<void> probe_round::wait(milliseconds waitIfHealthy, milliseconds maxWait)
{
    const auto started = monoNow();
    const auto hasHealthyAnswer = [this] {
        return std::ranges::any_of(m_answers, &probed_endpoint::healthy);
    };
    while (m_pending > 0 && !m_isCancelled) {
        const auto until = started + (hasHealthyAnswer() ? waitIfHealthy : maxWait);
        if (monoNow() >= until) {
            co_return;
        }
        boost::system::error_code ignored;
        m_waitTimer.expires_at(until);
        co_await m_waitTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void probe_round::cancel()
{
    m_isCancelled = true;
    m_waitTimer.cancel();
}

void probe_round::dropUnavailable(mono_time now)
{
    std::ranges::for_each(m_answers, [&](probed_endpoint &answer) {
        answer.healthy = answer.healthy && m_pool->mayTakeRequests(answer.index, now);
    });
}

connection_ptr probe_round::takeConnection(std::size_t answerIndex)
{
    return std::move(m_answerConnections[answerIndex]);
}

void probe_round::returnUnusedConnections()
{
    m_isFinished = true;
    for (std::size_t i = 0; i < m_answerConnections.size(); ++i) {
        if (m_answerConnections[i]) {
            m_connections.returnConnection(m_pool->at(m_answers[i].index).definition().address, std::move(m_answerConnections[i]));
        }
    }
}

} // namespace sequoiawharf
