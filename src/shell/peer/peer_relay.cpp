#include "src/shell/peer/peer_relay.h"

#include "src/shell/peer/peer_connection.h"
#include "src/shell/peer/peer_stream.h"
#include "src/shell/peer/relay_headers.h"
#include "src/shell/peer/relay_stream.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/this_coro.hpp>
#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <ranges>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;
using clock = std::chrono::steady_clock;
using kind = relay_outcome::kind;

constexpr std::chrono::milliseconds kProveRelayAfter {1000};
constexpr std::chrono::seconds kRelayIdleTimeout {120};
constexpr std::chrono::hours kPumpWait {1};
constexpr std::size_t kHeldBytes = 64U << 10U;
constexpr std::size_t kPieceBytes = 16U << 10U;

/// Sends the body of a call along its stream; a caller that leaves resets the stream.
asio::awaitable<void> pumpBody(std::shared_ptr<peer_stream> stream, body_source &body, write_pacer *pacer, route_class priority, mono_time until)
{
    std::vector<char> buffer(kPieceBytes);
    while (true) {
        const auto size = co_await body.read(buffer);
        if (!size) {
            stream->reset(NGHTTP2_CANCEL);
            co_return;
        }
        if (*size == 0) {
            stream->finish();
            co_return;
        }
        const auto written = co_await writePaced(*stream, pacer, priority, std::span<const char>(buffer).first(*size), until);
        if (!written) {
            co_return;
        }
    }
}

/// Runs pumpBody() beside the answer and ends it with the answer.
class body_pump
{
public:
    explicit body_pump(body_source &body)
        : m_body(body)
    {
    }

    void start(const asio::any_io_executor &executor, asio::awaitable<void> pump)
    {
        m_running = true;
        const auto done = [this](const std::exception_ptr &) {
            m_running = false;
            m_ended.notify();
        };
        asio::co_spawn(executor, std::move(pump), done);
    }

    /// Precondition: the stream has ended or was reset.
    asio::awaitable<void> stop()
    {
        if (m_running) {
            m_body.cancel();
        }
        while (m_running) {
            co_await m_ended.wait(clock::now() + kPumpWait);
        }
    }

private:
    body_source &m_body;
    async_signal m_ended;
    bool m_running = false;
};

/// Reads a small answer whole before any of it is handed on; false: it did not come whole.
asio::awaitable<bool> hold(peer_stream &stream, std::string &held, mono_time deadline)
{
    std::vector<char> buffer(kPieceBytes);
    while (true) {
        const auto size = co_await stream.read(buffer, deadline);
        if (!size) {
            co_return false;
        }
        if (*size == 0) {
            co_return true;
        }
        held.append(buffer.data(), *size);
    }
}

/// Hands on an answer as it comes. An answer that is cut short is aborted, never finished.
asio::awaitable<void> streamAnswer(peer_stream &stream, answer_sink &answer, mono_time deadline)
{
    std::vector<char> buffer(kPieceBytes);
    while (true) {
        const auto size = co_await stream.read(buffer, deadline);
        if (!size) {
            co_return answer.abort();
        }
        if (*size == 0) {
            co_await answer.finish();
            co_return;
        }
        const auto written = co_await answer.write(std::span<const char>(buffer).first(*size));
        if (!written) {
            co_return;
        }
    }
}

/// Hands on an answer that is held whole.
asio::awaitable<void> giveHeld(std::string held, answer_sink &answer)
{
    if (!held.empty()) {
        const auto written = co_await answer.write(held);
        if (!written) {
            co_return;
        }
    }
    co_await answer.finish();
}

asio::awaitable<kind> handOn(peer_stream &stream, const answer_head &head, answer_sink &answer, mono_time deadline)
{
    const bool small = head.contentLength && *head.contentLength <= kHeldBytes;
    std::string held;
    if (small) {
        const bool whole = co_await hold(stream, held, deadline);
        if (!whole) {
            co_return kind::Lost;
        }
    }
    const auto started = co_await answer.start(head);
    if (!started) {
        co_return kind::Delivered;
    }
    if (small) {
        co_await giveHeld(std::move(held), answer);
    } else {
        co_await streamAnswer(stream, answer, deadline);
    }
    co_return kind::Delivered;
}

} // namespace

peer_relay::peer_relay(parts uses, std::uint64_t seed)
    : m_parts(std::move(uses))
    , m_random(seed)
{
}

peer_relay::~peer_relay()
{
    std::ranges::for_each(m_connections | std::views::values, [](const auto &connection) {
        connection->close(false);
    });
}

bool peer_relay::canRelay(const pool_name &pool, mono_time now) const
{
    return m_parts.chooser->available(pool, now);
}

asio::awaitable<relay_outcome> peer_relay::relay(const pool_name &pool, const call_head &head, mono_time deadline, body_source &body, answer_sink &answer)
{
    const auto target = m_parts.chooser->choose(pool, clock::now(), m_random);
    if (!target || head.relayed) {
        co_return relay_outcome {kind::NotSent};
    }
    const auto stream = co_await open(*target, head, deadline);
    if (!stream) {
        co_return relay_outcome {kind::NotSent};
    }
    co_return co_await exchange(stream, *target, head, deadline, body, answer);
}

asio::awaitable<std::shared_ptr<peer_stream>> peer_relay::open(const relay_target &target, const call_head &head, mono_time deadline)
{
    const peer_identity receiver {target.instance, target.process};
    auto &slot = m_connections[receiver];
    if (!slot) {
        slot = std::make_shared<peer_connection>(target.peer, m_parts.traffic, kProveRelayAfter);
    }
    const auto connection = slot;
    const auto session = co_await connection->get(deadline);
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - clock::now());
    if (!session || left.count() <= 0) {
        co_return nullptr;
    }
    const bool withBody = !head.contentLength || *head.contentLength > 0;
    co_return session->open(toRelayRequest(head, left, m_parts.self, receiver), withBody);
}

asio::awaitable<relay_outcome> peer_relay::exchange(
    std::shared_ptr<peer_stream> stream, const relay_target &target, const call_head &head, mono_time deadline, body_source &body, answer_sink &answer)
{
    answer.onReceiverGone([stream] {
        stream->reset(NGHTTP2_CANCEL);
    });
    body_pump pump(body);
    if (!head.contentLength || *head.contentLength > 0) {
        const auto priority = m_parts.classify ? m_parts.classify(head) : route_class::Normal;
        const auto executor = co_await asio::this_coro::executor;
        pump.start(executor, pumpBody(stream, body, m_parts.pacer, priority, deadline));
    }
    auto result = kind::Lost;
    const bool headed = co_await stream->awaitHead(deadline);
    const auto answered = readRelayAnswer(stream->head(), {target.instance, target.process});
    if (headed && answered) {
        result = co_await handOn(*stream, *answered, answer, deadline);
    }
    answer.onReceiverGone({});
    stream->reset(NGHTTP2_CANCEL);
    co_await pump.stop();
    const bool unsent = result == kind::Lost && stream->state() == stream_state::Refused;
    co_return relay_outcome {unsent ? kind::NotSent : result};
}

void peer_relay::closeIdle(mono_time now)
{
    std::erase_if(m_connections, [&](const auto &entry) {
        const bool idle = now - entry.second->lastUsed() > kRelayIdleTimeout;
        if (idle) {
            entry.second->close(true);
        }
        return idle;
    });
}

void peer_relay::stop()
{
    std::ranges::for_each(m_connections | std::views::values, [](const auto &connection) {
        connection->close(true);
    });
}

} // namespace sequoiawharf
