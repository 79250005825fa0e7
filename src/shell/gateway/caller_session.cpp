#include "src/shell/gateway/caller_session.h"

#include "sequoiawharf/directory.h"
#include "sequoiawharf/routing.h"
#include "src/shell/gateway/call_dialect.h"
#include "src/shell/gateway/call_engine.h"
#include "src/shell/gateway/directory_page.h"
#include "src/shell/gateway/gateway_shared.h"
#include "src/shell/gateway/header_rules.h"
#include "src/shell/gateway/refusal.h"
#include "src/shell/metrics/gateway_metrics.h"
#include "src/shell/net/clock.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::size_t kDrainBufferBytes = 8192; // small, since many connections may be ended at once under pressure
constexpr std::chrono::seconds kDrainTimeout {2};
constexpr unsigned kHeaderTooLarge = 431;
constexpr unsigned kVersion11 = 11;
constexpr std::uint64_t kMaxDepth = 1000;

std::string_view toView(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

std::string_view fieldOf(const http::fields &fields, std::string_view name)
{
    return toView(fields[boost::beast::string_view(name.data(), name.size())]);
}

refusal badRequest(const call_dialect &dialect, std::string_view why)
{
    auto reply = makeRefusal(dialect, call_ending::NotRun, call_reason::BadRequest);
    reply.sentence = why;
    return reply;
}

bool expectsContinue(const http::fields &fields)
{
    return equalsIgnoringCase(toView(fields[http::field::expect]), "100-continue");
}

std::string_view requestFault(const request_parser &parser)
{
    const auto &message = parser.get();
    const auto target = toView(message.target());
    if (const auto fault = framingFault(message, message.version()); !fault.empty()) {
        return fault;
    }
    if (const auto fault = hostFault(message, message.version()); !fault.empty()) {
        return fault;
    }
    if (!target.starts_with('/')) {
        return "the request's target does not begin with a slash";
    }
    return {};
}

// Returns the host without its port. An IPv6 address keeps its brackets.
std::string withoutPort(std::string_view text)
{
    const auto colon = text.rfind(':');
    const bool isPort = colon != std::string_view::npos && text.find(']', colon) == std::string_view::npos;
    return std::string(isPort ? text.substr(0, colon) : text);
}

std::optional<std::uint64_t> contentLengthOf(const http::fields &fields)
{
    if (fields.count(http::field::transfer_encoding) > 0) {
        return std::nullopt;
    }
    return parseDecimal(toView(fields[http::field::content_length])).value_or(0);
}

} // namespace

caller_session::caller_session(asio::ip::tcp::socket socket, call_engine &engine)
    : m_engine(engine)
    , m_connection(std::make_shared<caller_connection>(std::move(socket)))
    , m_reader(m_connection->socket, m_connection->buffer, engine.shared().settings.limits.headerBytes)
{
    boost::system::error_code error;
    m_connection->socket.set_option(asio::ip::tcp::no_delay(true), error);
    const auto remote = m_connection->socket.remote_endpoint(error);
    m_remoteAddress = error ? std::string {} : remote.address().to_string();
    m_engine.metrics().callerConnections.fetch_add(1, std::memory_order_relaxed);
}

caller_session::~caller_session()
{
    m_engine.metrics().callerConnections.fetch_sub(1, std::memory_order_relaxed);
    m_engine.shared().callerConnections.fetch_sub(1, std::memory_order_relaxed);
}

asio::awaitable<void> caller_session::run()
{
    bool keepsServing = true;
    while (keepsServing) {
        request_parser parser;
        const auto size = co_await readHead(parser);
        if (!size) {
            co_return co_await refuseRequest(size.error());
        }
        m_engine.metrics().countBytes(byte_direction::FromCallers, *size);
        const auto fault = requestFault(parser);
        if (!fault.empty()) {
            co_return co_await refuseRequest({message_fault::kind::Malformed, fault});
        }
        keepsServing = co_await serve(parser);
        m_reader.shrink();
    }
    co_await closeGracefully();
}

message_awaitable<std::size_t> caller_session::readHead(request_parser &parser)
{
    m_waitingSince = monoNow();
    m_isWaiting = true;
    auto size = co_await m_reader.readHeader(parser);
    m_isWaiting = false;
    co_return size;
}

// Returns whether the connection can carry another request.
asio::awaitable<bool> caller_session::serve(request_parser &parser)
{
    auto head = makeHead(parser);
    const bool closes = !parser.get().keep_alive();
    const answer_terms terms {m_engine.dialect(), head.id, head.label, head.method == "HEAD", parser.get().version() < kVersion11, closes};
    auto &metrics = m_engine.metrics();
    caller_body body(*m_connection, m_reader, parser, metrics, expectsContinue(parser.get()));
    caller_answer answer(m_connection, body, terms, metrics, m_engine.shared().isStopping);
    body.onComplete([&answer] {
        answer.watch();
    });
    if (isDirectoryRequest(head.path)) {
        co_await answerDirectory(head, answer);
    } else {
        co_await m_engine.handle(std::move(head), body, answer);
    }
    co_return answer.keepsConnection() && body.isComplete();
}

call_head caller_session::makeHead(const request_parser &parser)
{
    const auto &message = parser.get();
    call_head head;
    head.received = monoNow();
    auto terms = m_engine.dialect().readRequestHead(message);
    head.id = terms.id ? *terms.id : m_engine.random().next();
    head.label = std::move(terms.label);
    head.host = withoutPort(fieldOf(message, "Host"));
    head.method = std::string(toView(message.method_string()));
    head.path = std::string(toView(message.target()));
    head.headers = endToEnd(message, m_engine.dialect());
    head.caller = terms.caller.empty() ? caller_id(m_remoteAddress) : std::move(terms.caller);
    head.key = std::move(terms.key);
    if (terms.deadlineMs) {
        const auto longest = m_engine.shared().settings.limits.maxDeadline;
        head.callerTimeout = std::chrono::milliseconds(std::min<std::uint64_t>(*terms.deadlineMs, static_cast<std::uint64_t>(longest.count())));
    }
    head.depth = static_cast<unsigned>(std::min(terms.depth, kMaxDepth));
    head.contentLength = contentLengthOf(message);
    return head;
}

asio::awaitable<void> caller_session::answerDirectory(const call_head &request, caller_answer &answer)
{
    const auto homes = m_engine.shared().routings.load()->config().routes.homesOf(request.host);
    const auto found = m_engine.shared().entries.lookup(parseNear(request.path), homes, monoNow(), m_engine.random());
    const auto page = formatDirectory(found);
    answer_head head;
    head.status = found.entries.empty() ? 503 : 200;
    head.headers.push_back({"Content-Type", "application/json"});
    head.headers.push_back({"Cache-Control", "no-store"});
    head.contentLength = page.size();
    head.bodyFollows = true;
    if (co_await answer.start(head)) {
        const auto written = co_await answer.write(page);
        if (written) {
            co_await answer.finish();
        }
    }
}

asio::awaitable<void> caller_session::refuseRequest(const message_fault &fault)
{
    const bool isRefusable = fault.what == message_fault::kind::Malformed || fault.what == message_fault::kind::TooLarge;
    if (!isRefusable) {
        co_return;
    }
    request_parser none;
    caller_body body(*m_connection, m_reader, none, m_engine.metrics(), false);
    caller_answer answer(
        m_connection, body, {m_engine.dialect(), m_engine.random().next(), {}, false, false, true}, m_engine.metrics(), m_engine.shared().isStopping);
    auto reply = badRequest(m_engine.dialect(), fault.why);
    if (fault.what == message_fault::kind::TooLarge) {
        reply.status = kHeaderTooLarge;
    }
    m_engine.metrics().countEnding(reply.ending, reply.reason);
    co_await sendRefusal(answer, reply);
    co_await closeGracefully();
}

// Shuts down sending and discards further input until the caller closes or kDrainTimeout passes. Closing with unread bytes would reset the
// connection, and the caller could lose the answer.
asio::awaitable<void> caller_session::closeGracefully()
{
    auto &socket = m_connection->socket;
    boost::system::error_code error;
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    if (error) {
        co_return;
    }
    m_connection->buffer.clear();
    m_connection->buffer.shrink_to_fit();
    asio::steady_timer timer(socket.get_executor(), kDrainTimeout);
    timer.async_wait([connection = m_connection](const boost::system::error_code &cancelled) {
        if (!cancelled) {
            connection->reset();
        }
    });
    std::string ignored(kDrainBufferBytes, '\0');
    while (!error) {
        co_await socket.async_read_some(asio::buffer(ignored), asio::redirect_error(asio::use_awaitable, error));
    }
}

void caller_session::closeIdle(std::chrono::nanoseconds idleTime, mono_time now)
{
    if (m_isWaiting && now - m_waitingSince >= idleTime) {
        boost::system::error_code ignored;
        m_connection->socket.close(ignored);
    }
}

} // namespace sequoiawharf
