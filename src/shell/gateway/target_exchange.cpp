#include "src/shell/gateway/target_exchange.h"

#include "sequoiawharf/pool_balancer.h"
#include "src/shell/gateway/call_dialect.h"
#include "src/shell/gateway/head_format.h"
#include "src/shell/gateway/header_rules.h"
#include "src/shell/gateway/request_body.h"
#include "src/shell/metrics/gateway_metrics.h"
#include "src/shell/net/clock.h"
#include "src/shell/net/http_status.h"
#include "src/shell/net/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <array>
#include <bit>
#include <cassert>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::string_view kExchangePart = "gateway";
constexpr std::size_t kReservedHeadBytes = 1024; // enough for most request heads
constexpr unsigned kMaxInterimAnswers = 16; // of one call; a target that sends more may never send the final one
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kFirstServerError = 500;
constexpr unsigned kSwitchingProtocols = 101;
constexpr std::size_t kMaxInlineBodyBytes = 16U << 10U; // larger bodies are sent beside the reading of the answer

std::string_view viewOf(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

target_exchange::target_exchange(const exchange_terms &terms, connection_pool &connections, call_watch &watch, thread_metrics &metrics)
    : m_terms(terms)
    , m_connections(connections)
    , m_watch(watch)
    , m_metrics(metrics)
{
}

void target_exchange::adopt(connection_ptr connection)
{
    m_connection = std::move(connection);
}

asio::awaitable<bool> target_exchange::begin()
{
    if (!co_await connect()) {
        co_return false;
    }
    const call_watch::scope closing(m_watch, [this] {
        m_connection->close();
    });
    if (!co_await send()) {
        co_return false;
    }
    co_return co_await readHead();
}

void target_exchange::cancel()
{
    m_isCancelled = true;
    if (m_connection) {
        m_connection->close();
    }
}

bool target_exchange::fail(attempt_end end)
{
    suspectStalledConnection();
    switch (m_watch.now()) {
    case call_watch::state::Running:
        m_outcome.end = m_isCancelled ? attempt_end::Cancelled : end;
        break;
    case call_watch::state::TimedOut:
        m_outcome.end = attempt_end::TimedOut;
        break;
    case call_watch::state::CallerGone:
    case call_watch::state::Stopping:
        m_outcome.end = attempt_end::Cancelled;
        break;
    }
    m_connection->close();
    return false;
}

// A reused connection that has received no byte for this long may be dead: a device on the path may have dropped its state for the connection.
void target_exchange::suspectStalledConnection()
{
    const bool hasNoAnswerByte = m_connection && m_outcome.requestMayHaveLeft && m_received == mono_time {};
    if (hasNoAnswerByte && !m_connection->isUnused && monoNow() - m_sent >= m_terms.stallTimeout) {
        m_connections.markSuspect(target().address, m_sent);
    }
}

bool target_exchange::failReading(const message_fault &fault)
{
    const bool isInvalid = fault.what == message_fault::kind::Malformed || fault.what == message_fault::kind::TooLarge;
    return fail(isInvalid ? attempt_end::BadAnswer : attempt_end::Lost);
}

asio::awaitable<bool> target_exchange::connect()
{
    if (m_connection) {
        m_reader.emplace(m_connection->socket, m_connection->buffer, m_terms.headerBytes);
        co_return true;
    }
    const auto now = monoNow();
    const auto executor = co_await asio::this_coro::executor;
    auto profile = m_terms.profile;
    profile.idempotent = profile.idempotent && !m_terms.requiresRecentAnswer;
    m_connection = m_connections.acquireIdle(target().address, profile, now);
    if (!m_connection) {
        m_connection = m_connections.make(target().address, executor, now);
        const call_watch::scope closing(m_watch, [this] {
            m_connection->close();
        });
        if (m_isCancelled || !co_await m_connections.open(*m_connection, target().address)) {
            co_return fail(attempt_end::ConnectFailed);
        }
        // Opening a connection takes up to half a second, in which another call may have learned that the endpoint wants no requests.
        if (!m_terms.pool.mayTakeRequests(m_terms.index, monoNow())) {
            co_return fail(attempt_end::Refused);
        }
    }
    m_connections.warmUp(target().address, m_terms.plan, executor, now);
    m_reader.emplace(m_connection->socket, m_connection->buffer, m_terms.headerBytes);
    co_return true;
}

asio::awaitable<bool> target_exchange::send()
{
    m_sent = monoNow();
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(m_terms.profile.deadline - m_sent);
    std::string text;
    text.reserve(kReservedHeadBytes);
    appendRequestHead(text, m_terms.dialect, m_terms.head, target().identity, remaining);
    m_terms.body.rewind();
    // A short body in memory is sent together with the head. Any other is sent by upload(), since the target may answer before it has read all.
    const bool isInline = m_terms.body.isHeld() && m_terms.body.held().size() <= kMaxInlineBodyBytes;
    const auto part = isInline ? m_terms.body.held() : std::string_view {};
    if (!co_await sendPart(text, part, {})) {
        co_return fail(attempt_end::Lost);
    }
    if (!isInline) {
        startUpload();
    }
    co_return true;
}

asio::awaitable<bool> target_exchange::sendPart(std::string_view framing, std::string_view part, std::string_view tail)
{
    const std::array<asio::const_buffer, 3> buffers {asio::buffer(framing), asio::buffer(part), asio::buffer(tail)};
    boost::system::error_code error;
    const auto count = co_await asio::async_write(m_connection->socket, buffers, asio::redirect_error(asio::use_awaitable, error));
    m_metrics.countBytes(byte_direction::ToTargets, count);
    // If the first write failed, the kernel accepted no byte, so none can have reached the target.
    m_outcome.requestMayHaveLeft = m_outcome.requestMayHaveLeft || count > 0;
    // A reset that follows an orderly end fails the write with broken_pipe; the end itself, and all bytes before it, have arrived then.
    m_isConnectionBroken = m_isConnectionBroken || (error && error != asio::error::broken_pipe);
    co_return !error;
}

void target_exchange::startUpload()
{
    const auto executor = m_connection->socket.get_executor();
    m_isUploading = true;
    m_uploadIsWhole = false;
    m_uploadFinished.emplace(executor, mono_time::max());
    asio::co_spawn(executor, upload(), asio::detached);
}

// Runs concurrently with the reading of the answer, which may arrive before the whole request has been sent.
asio::awaitable<void> target_exchange::upload()
{
    if (m_terms.body.isHeld()) {
        m_uploadIsWhole = co_await sendPart({}, m_terms.body.held(), {});
    } else {
        m_uploadIsWhole = co_await streamBody();
    }
    m_isUploading = false;
    m_uploadFinished->cancel();
}

// Forwards the body while the caller sends it. Returns whether it was forwarded to its end.
asio::awaitable<bool> target_exchange::streamBody()
{
    std::string piece(m_terms.body.memory().streamBufferBytes(), '\0');
    const bool isChunked = !m_terms.head.contentLength;
    while (true) {
        const auto count = co_await m_terms.body.read(piece);
        if (!count) {
            m_isCancelled = m_isCancelled || m_terms.body.memory().isEnded(); // not a fault of the endpoint
            m_connection->close();
            co_return false;
        }
        std::string framing;
        if (isChunked) {
            framing = fmt::format("{:x}\r\n", *count);
        }
        const auto part = std::string_view(piece).substr(0, *count);
        if (!co_await sendPart(framing, part, isChunked ? std::string_view("\r\n") : std::string_view {})) {
            co_return false;
        }
        if (*count == 0) {
            co_return true;
        }
    }
}

asio::awaitable<bool> target_exchange::readHead()
{
    unsigned interimAnswers = 0;
    do {
        if (interimAnswers++ > kMaxInterimAnswers) {
            co_return fail(attempt_end::BadAnswer);
        }
        m_parser.emplace();
        m_parser->skip(m_terms.head.method == "HEAD");
        const auto size = co_await m_reader->readHeader(*m_parser);
        if (!size) {
            co_return failReading(size.error());
        }
        m_metrics.countBytes(byte_direction::FromTargets, *size);
        const auto &message = m_parser->get();
        if (!isValidStatus(message.result_int()) || message.result_int() == kSwitchingProtocols || !framingFault(message, message.version()).empty()) {
            co_return fail(attempt_end::BadAnswer);
        }
    } while (m_parser->get().result_int() < kFirstFinalStatus);
    m_received = monoNow();
    if (!readSignals()) {
        co_return fail(attempt_end::BadAnswer);
    }
    co_return true;
}

// Evaluates the signals in the head of the answer. Returns false if it is not an answer to this call.
bool target_exchange::readSignals()
{
    const auto &fields = m_parser->get();
    const auto signals = m_terms.dialect.readAnswerHead(fields.result_int(), fields, m_terms.head);
    if (signals.what == target_signals::kind::Foreign) {
        return false;
    }
    m_saysNotRun = signals.what != target_signals::kind::Answer;
    m_outcome.otherTarget = signals.what == target_signals::kind::OtherTarget;
    m_outcome.end = fields.result_int() >= kFirstServerError ? attempt_end::ServerError : attempt_end::Answered;
    m_outcome.reportedLoad = signals.load;
    m_load = signals.state;
    m_outcome.targetLeaving = signals.availability.isLeaving;
    recordAvailability(signals.availability);
    return true;
}

// Recorded as soon as the head has arrived, since other calls may choose the endpoint before the body is complete.
void target_exchange::recordAvailability(const endpoint_availability &stated)
{
    m_terms.pool.recordAvailability(m_terms.index, stated, m_received);
    m_metrics.rests.fetch_add(stated.rest.count() > 0 ? 1 : 0, std::memory_order_relaxed);
    if (!stated.isRestUnreadable) {
        return;
    }
    // The first, second, fourth and so on are logged, so that one endpoint cannot fill the log.
    const auto ignored = m_metrics.unreadableRests.fetch_add(1, std::memory_order_relaxed) + 1;
    if (std::has_single_bit(ignored)) {
        logTo(log_level::Warning,
              kExchangePart,
              "Ignored a Retry-After that is no number of seconds. endpoint={} ignored={}",
              toString(target().address),
              ignored);
    }
}

const endpoint &target_exchange::target() const
{
    return m_terms.pool.at(m_terms.index).definition();
}

answer_head target_exchange::head() const
{
    answer_head result;
    result.status = m_parser->get().result_int();
    result.headers = endToEnd(m_parser->get(), m_terms.dialect);
    result.contentLength = contentLength();
    return result;
}

std::optional<std::uint64_t> target_exchange::contentLength() const
{
    const auto &fields = m_parser->get();
    const auto field = fields.find(http::field::content_length);
    return field == fields.end() ? std::nullopt : parseDecimal(viewOf(field->value()));
}

asio::awaitable<std::optional<std::size_t>> target_exchange::read(std::span<char> piece)
{
    const call_watch::scope closing(m_watch, [this] {
        m_connection->close();
    });
    const auto count = co_await m_reader->readBody(*m_parser, piece);
    m_received = monoNow();
    if (!count) {
        failReading(count.error());
        co_return std::nullopt;
    }
    // A socket reports a reset once. If a write took it, the next read sees an end of stream although the answer may be incomplete.
    if (*count == 0 && m_parser->need_eof() && m_isConnectionBroken) {
        fail(attempt_end::Lost);
        co_return std::nullopt;
    }
    m_metrics.countBytes(byte_direction::FromTargets, *count);
    m_answerIsWhole = *count == 0;
    co_return *count;
}

bool target_exchange::isReusable()
{
    return m_answerIsWhole && m_uploadIsWhole && m_parser->get().keep_alive() && !m_parser->need_eof() && m_connection->buffer.size() == 0
           && m_connection->socket.is_open();
}

asio::awaitable<void> target_exchange::end()
{
    if (!m_connection) {
        co_return;
    }
    if (m_isUploading) {
        m_connection->close();
        if (!m_terms.body.isHeld()) {
            m_terms.body.cancel();
        }
    }
    while (m_isUploading) {
        boost::system::error_code ignored;
        co_await m_uploadFinished->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (!isReusable()) {
        m_connections.discard(std::move(m_connection));
        co_return;
    }
    m_reader->shrink();
    m_connection->isUnused = false;
    m_connection->lastAnswer = m_received;
    m_connections.recordAnswer(target().address, m_connection->opened);
    m_connections.returnConnection(target().address, std::move(m_connection));
}

std::chrono::nanoseconds target_exchange::targetTime() const
{
    return m_received > m_sent ? m_received - m_sent : std::chrono::nanoseconds {0};
}

} // namespace sequoiawharf
