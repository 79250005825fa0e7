#include "src/shell/gateway/probe_round.h"

#include "src/shell/gateway/call_dialect.h"
#include "src/shell/net/clock.h"
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

// A probe is answered in a few round trips; without a word for so long the endpoint or the way to it is down.
constexpr milliseconds kProbeTimeout {400};
constexpr std::size_t kProbeHeadBytes = 8192;
constexpr std::size_t kProbeBodyBytes = 1024;

} // namespace

probe_round::probe_round(balancer_ptr pool, connection_pool &connections, const call_dialect &dialect, const asio::any_io_executor &executor)
    : m_pool(std::move(pool))
    , m_connections(connections)
    , m_dialect(dialect)
    , m_executor(executor)
    , m_change(executor, mono_time::max())
    , m_expiry(executor)
{
}

void probe_round::ask(std::span<const std::uint32_t> endpoints, mono_time now)
{
    m_expiry.expires_at(now + kProbeTimeout);
    m_expiry.async_wait([self = shared_from_this()](const boost::system::error_code &cancelled) {
        if (cancelled) {
            return;
        }
        std::ranges::for_each(self->m_seats, [](seat &place) {
            place.hasTimedOut = true;
            if (place.open != nullptr) {
                place.open->close();
            }
        });
    });
    std::ranges::for_each(endpoints, [&](std::uint32_t endpoint) {
        m_asked.push_back(endpoint);
        const auto &address = m_pool->at(endpoint).definition().address;
        if (!m_connections.hasRoom(address, m_pool->connections(endpoint))) {
            return;
        }
        auto &place = m_seats.emplace_back(seat {.endpoint = endpoint});
        ++m_pending;
        asio::co_spawn(
            m_executor,
            [self = shared_from_this(), &place]() -> asio::awaitable<void> {
                co_await self->askOne(place);
            },
            asio::detached);
    });
}

// Asks on a kept connection first; when that turns out dead, on a new one.
asio::awaitable<void> probe_round::askOne(seat &place)
{
    const auto &address = m_pool->at(place.endpoint).definition().address;
    probed_endpoint answer {.index = place.endpoint, .distanceClass = m_pool->distanceOf(place.endpoint), .load = {}};
    auto connection = m_connections.acquireIdleForProbe(address);
    if (connection) {
        const auto end = co_await exchange(*connection, place, answer);
        if (end) {
            co_return settle(place, *end, answer, std::move(connection));
        }
        m_connections.discard(std::move(connection));
    }
    if (place.hasTimedOut) {
        co_return settle(place, probe_end::Unanswered, answer, nullptr);
    }
    connection = m_connections.make(address, m_executor, monoNow());
    place.open = connection.get();
    const bool isOpen = co_await m_connections.open(*connection, address);
    place.open = nullptr;
    if (!isOpen) {
        m_connections.discard(std::move(connection));
        co_return settle(place, probe_end::Unreachable, answer, nullptr);
    }
    const auto end = co_await exchange(*connection, place, answer);
    if (!end) {
        m_connections.discard(std::move(connection));
    }
    settle(place, end.value_or(probe_end::Unanswered), answer, std::move(connection));
}

// Returns nothing when the connection gave no proper answer.
asio::awaitable<std::optional<probe_end>> probe_round::exchange(target_connection &connection, seat &place, probed_endpoint &answer)
{
    const auto &target = m_pool->at(place.endpoint).definition();
    place.open = &connection;
    std::string text;
    m_dialect.appendProbe(text, target.address, m_pool->definition().probePath);
    boost::system::error_code error;
    co_await asio::async_write(connection.socket, asio::buffer(text), asio::redirect_error(asio::use_awaitable, error));
    message_reader reader(connection.socket, connection.buffer, kProbeHeadBytes);
    response_parser parser;
    if (error) {
        place.open = nullptr;
        co_return std::nullopt;
    }
    const auto head = co_await reader.readHeader(parser);
    const auto signals = head ? m_dialect.readProbe(parser.get().result_int(), parser.get()) : std::nullopt;
    if (!signals) {
        place.open = nullptr;
        co_return std::nullopt;
    }
    std::array<char, kProbeBodyBytes> ignored {};
    message_awaitable<std::size_t>::value_type count = std::size_t {1};
    while (count && *count > 0) {
        count = co_await reader.readBody(parser, ignored);
    }
    place.open = nullptr;
    if (!count || connection.buffer.size() > 0) {
        co_return std::nullopt;
    }
    if (!parser.get().keep_alive()) {
        connection.close();
    }
    connection.lastAnswer = monoNow();
    m_connections.recordAnswer(target.address, connection.opened);
    answer.healthy = signals->healthy;
    answer.cold = target.warmupEnd > connection.lastAnswer;
    answer.load = signals->load.value_or(
        endpoint_load {.running = m_pool->at(place.endpoint).inFlight.load(std::memory_order_relaxed), .slots = std::max(1U, m_pool->definition().slots)});
    const bool isOther = !target.identity.empty() && !signals->identity.empty() && signals->identity != target.identity;
    co_return isOther ? probe_end::OtherTarget : (signals->healthy ? probe_end::Healthy : probe_end::Unhealthy);
}

void probe_round::settle(const seat &place, probe_end end, const probed_endpoint &answer, connection_ptr connection)
{
    const auto &address = m_pool->at(place.endpoint).definition().address;
    m_pool->probeEnded(place.endpoint, end, monoNow());
    --m_pending;
    if (m_pending == 0) {
        m_expiry.cancel();
    }
    const bool isUsable = connection && connection->socket.is_open() && (end == probe_end::Healthy || end == probe_end::Unhealthy);
    if (isUsable && m_isReleased) {
        m_connections.returnConnection(address, std::move(connection));
    } else if (isUsable) {
        m_seen.push_back(answer);
        m_proven.push_back(std::move(connection));
    } else if (connection) {
        m_connections.discard(std::move(connection));
    }
    m_change.cancel();
}

asio::awaitable<void> probe_round::wait(milliseconds patience, milliseconds longest)
{
    const auto started = monoNow();
    const auto isWell = [this] {
        return std::ranges::any_of(m_seen, &probed_endpoint::healthy);
    };
    while (m_pending > 0 && !m_isCancelled) {
        const auto until = started + (isWell() ? patience : longest);
        if (monoNow() >= until) {
            co_return;
        }
        boost::system::error_code ignored;
        m_change.expires_at(until);
        co_await m_change.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void probe_round::cancel()
{
    m_isCancelled = true;
    m_change.cancel();
}

connection_ptr probe_round::takeConnection(std::size_t position)
{
    return std::move(m_proven[position]);
}

void probe_round::giveBackRest()
{
    m_isReleased = true;
    for (std::size_t i = 0; i < m_proven.size(); ++i) {
        if (m_proven[i]) {
            m_connections.returnConnection(m_pool->at(m_seen[i].index).definition().address, std::move(m_proven[i]));
        }
    }
}

} // namespace sequoiawharf
