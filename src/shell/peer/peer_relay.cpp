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

constexpr std::chrono::milliseconds kRelayPingAfter {1000};
constexpr std::chrono::seconds kRelayIdleTimeout {120};
constexpr std::chrono::hours kPumpWait {1};
constexpr std::size_t kMaxBufferedAnswerBytes = 64U << 10U;
constexpr std::size_t kChunkBytes = 16U << 10U;

/// Sends the body of a call on its stream. Resets the stream when the body cannot be read, for example because the caller disconnected.
asio::awaitable<void> pumpBody(std::shared_ptr<peer_stream> stream, body_source &body, write_pacer *pacer, route_class priority, mono_time until)
{
    std::vector<char> buffer(kChunkBytes);
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

/// Runs pumpBody() concurrently with the answer and stops it when the answer ends.
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

    /// Cancels the read of the body and waits for the pump to end. Precondition: the stream has ended or was reset.
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

/// Reads a complete answer into memory, before any of it is forwarded. Returns false when the answer was cut short.
asio::awaitable<bool> bufferAnswer(peer_stream &stream, std::string &buffered, mono_time deadline)
{
    std::vector<char> buffer(kChunkBytes);
    while (true) {
        const auto size = co_await stream.read(buffer, deadline);
        if (!size) {
            co_return false;
        }
        if (*size == 0) {
            co_return true;
        }
        buffered.append(buffer.data(), *size);
    }
}

/// Forwards an answer as it arrives. Aborts an answer that is cut short, so that the receiver cannot take it for a complete one.
asio::awaitable<void> streamAnswer(peer_stream &stream, answer_sink &answer, mono_time deadline)
{
    std::vector<char> buffer(kChunkBytes);
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

/// Forwards an answer that was buffered completely.
asio::awaitable<void> sendBufferedAnswer(std::string buffered, answer_sink &answer)
{
    if (!buffered.empty()) {
        const auto written = co_await answer.write(buffered);
        if (!written) {
            co_return;
        }
    }
    co_await answer.finish();
}

/// Forwards an answer. A small answer of known length is buffered first, so that it counts as lost when it is cut short.
asio::awaitable<kind> forwardAnswer(peer_stream &stream, const answer_head &head, answer_sink &answer, mono_time deadline)
{
    const bool small = head.contentLength && *head.contentLength <= kMaxBufferedAnswerBytes;
    std::string buffered;
    if (small) {
        const bool complete = co_await bufferAnswer(stream, buffered, deadline);
        if (!complete) {
            co_return kind::Lost;
        }
    }
    const auto started = co_await answer.start(head);
    if (!started) {
        co_return kind::Delivered;
    }
    if (small) {
        co_await sendBufferedAnswer(std::move(buffered), answer);
    } else {
        co_await streamAnswer(stream, answer, deadline);
    }
    co_return kind::Delivered;
}

} // namespace

peer_relay::peer_relay(parts dependencies, std::uint64_t seed)
    : m_parts(std::move(dependencies))
    , m_random(seed)
{
}

peer_relay::~peer_relay()
{
    std::ranges::for_each(m_connections | std::views::values, [](const auto &connection) {
        connection->close(false);
    });
}

bool peer_relay::canRelay(const pool_name &pool, mono_time now, centre_mask allowed) const
{
    return m_parts.chooser->available(pool, now, allowed);
}

asio::awaitable<relay_outcome>
peer_relay::relay(const pool_name &pool, const call_head &head, mono_time deadline, centre_mask allowed, body_source &body, answer_sink &answer)
{
    const auto target = m_parts.chooser->choose(pool, clock::now(), m_random, allowed);
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
        slot = std::make_shared<peer_connection>(target.peer, m_parts.traffic);
    }
    const auto connection = slot;
    const auto session = co_await connection->get(deadline, kRelayPingAfter);
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - clock::now());
    if (!session || remaining.count() <= 0) {
        co_return nullptr;
    }
    const bool withBody = !head.contentLength || *head.contentLength > 0;
    co_return session->open(toRelayRequest(head, remaining, m_parts.self, receiver), withBody);
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
    const bool headReceived = co_await stream->awaitHead(deadline);
    const auto answerHead = readRelayAnswer(stream->head(), {target.instance, target.process});
    if (headReceived && answerHead) {
        result = co_await forwardAnswer(*stream, *answerHead, answer, deadline);
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
