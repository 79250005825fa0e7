#include "src/shell/gateway/call_engine.h"
#include "src/shell/gateway/call_run.h"
#include "src/shell/metrics/gateway_metrics.h"

#include <span>
#include <string>

// The part of call_run that hands a target's answer on.
namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;

constexpr std::size_t kStreamPieceBytes = 64U << 10U;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;

} // namespace

asio::awaitable<void> call_run::handOn(call_attempt &winner)
{
    m_isOver = true;
    m_watch->start();
    const call_watch::scope cancelling(*m_watch, [this] {
        m_answer.abort();
    });
    if (winner.state() == call_attempt::result::Held) {
        co_await handHeld(winner);
    } else {
        co_await handStreamed(winner);
    }
}

asio::awaitable<void> call_run::handHeld(call_attempt &winner)
{
    auto head = winner.exchange().head();
    const auto &body = winner.held();
    const bool isBodiless = m_head.method == "HEAD" || head.status == kNoContent || head.status == kNotModified;
    if (!isBodiless) {
        head.contentLength = body.size();
    }
    head.bodyFollows = true;
    auto sent = co_await m_answer.start(head);
    if (sent && !body.empty()) {
        sent = co_await m_answer.write(body);
    }
    if (sent) {
        sent = co_await m_answer.finish();
    }
    if (!sent) {
        co_return finishAsGone();
    }
    finishAs(call_ending::Answered, call_reason::None);
    const auto now = std::chrono::steady_clock::now();
    m_engine.metrics().addedTime[static_cast<std::size_t>(m_profile.priority)].add(now - m_head.received - m_targetTime, now);
}

asio::awaitable<void> call_run::handStreamed(call_attempt &winner)
{
    auto &exchange = winner.exchange();
    exchange.outcome().answerStarted = true;
    auto sent = co_await m_answer.start(exchange.head());
    if (sent && !winner.held().empty()) {
        sent = co_await m_answer.write(winner.held());
    }
    std::string piece(kStreamPieceBytes, '\0');
    while (sent) {
        const auto count = co_await exchange.read(piece);
        if (!count) {
            m_answer.abort();
            const bool isLate = m_watch->now() == call_watch::state::TimedOut;
            co_return finishAs(call_ending::Unknown, isLate ? call_reason::DeadlinePassed : call_reason::BadAnswer);
        }
        if (*count == 0) {
            sent = co_await m_answer.finish();
            break;
        }
        sent = co_await m_answer.write(std::span<const char>(piece).first(*count));
    }
    if (sent) {
        co_return finishAs(call_ending::Answered, call_reason::None);
    }
    winner.cancel();
    exchange.outcome().end = attempt_end::Cancelled;
    m_answer.abort();
    finishAsGone();
}

void call_run::finishAsGone()
{
    const bool isLate = m_watch->now() == call_watch::state::TimedOut;
    finishAs(call_ending::Unknown, isLate ? call_reason::DeadlinePassed : call_reason::CallerGone);
}

} // namespace sequoiawharf
