#include "src/shell/gateway/call_engine.h"
#include "src/shell/gateway/call_run.h"
#include "src/shell/metrics/gateway_metrics.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <span>
#include <string>

// The part of call_run that forwards a target's answer to the caller.
namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;

constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;
constexpr std::chrono::seconds kLateDeliveryTime {1}; // after the call's time is up, for a caller that reads slowly

/// Aborts an answer that its caller has not taken by a time. Used on one thread.
class delivery_limit
{
public:
    /// Precondition: the answer outlives the object.
    explicit delivery_limit(answer_sink &answer)
        : m_answer(answer)
    {
    }
    ~delivery_limit()
    {
        if (m_timed) {
            *m_timed = nullptr;
        }
    }
    delivery_limit(const delivery_limit &) = delete;
    delivery_limit &operator=(const delivery_limit &) = delete;

    /// Sets the time, counted from now. Precondition: called once.
    void start(const asio::any_io_executor &executor, std::chrono::nanoseconds time)
    {
        m_timed = std::make_shared<answer_sink *>(&m_answer);
        m_timer.emplace(executor, time);
        m_timer->async_wait([answer = m_timed](const boost::system::error_code &cancelled) {
            if (!cancelled && *answer != nullptr) {
                (*answer)->abort();
            }
        });
    }

private:
    answer_sink &m_answer;
    std::shared_ptr<answer_sink *> m_timed; ///< The answer for the timer's handler, which may run later; holds null when the object is gone.
    std::optional<asio::steady_timer> m_timer;
};

} // namespace

asio::awaitable<void> call_run::forwardAnswer(call_attempt &winner)
{
    m_isOver = true;
    m_watch->start();
    // A complete answer is delivered also when the call's time is up, as it may be when a hedge was waited for.
    const bool isComplete = winner.state() == call_attempt::result::Held;
    delivery_limit limit(m_answer);
    const call_watch::scope cancelling(*m_watch, [&] {
        if (isComplete && m_watch->now() != call_watch::state::CallerGone) {
            limit.start(m_executor, kLateDeliveryTime);
        } else {
            m_answer.abort();
        }
    });
    if (isComplete) {
        co_await forwardHeld(winner);
    } else {
        co_await forwardStream(winner);
    }
}

// Sends an answer that is in memory as a whole.
asio::awaitable<void> call_run::forwardHeld(call_attempt &winner)
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
        co_return finishUndelivered();
    }
    finish(call_ending::Answered, call_reason::None, head.status);
    const auto now = std::chrono::steady_clock::now();
    m_engine.metrics().addedTime[static_cast<std::size_t>(m_profile.priority)].add(now - m_head.received - m_targetTime, now);
}

// Sends the part of an answer that is in memory, then the rest as it arrives.
asio::awaitable<void> call_run::forwardStream(call_attempt &winner)
{
    auto &exchange = winner.exchange();
    exchange.outcome().answerStarted = true;
    auto sent = co_await m_answer.start(exchange.head());
    if (sent && !winner.held().empty()) {
        sent = co_await m_answer.write(winner.held());
    }
    std::string buffer(m_memory.streamBufferBytes(), '\0');
    while (sent) {
        const auto count = co_await exchange.read(buffer);
        if (!count) {
            m_answer.abort();
            co_return finish(call_ending::Unknown, cutReason(call_reason::BadAnswer), exchange.head().status);
        }
        if (*count == 0) {
            sent = co_await m_answer.finish();
            break;
        }
        sent = co_await m_answer.write(std::span<const char>(buffer).first(*count));
    }
    if (sent) {
        co_return finish(call_ending::Answered, call_reason::None, exchange.head().status);
    }
    winner.cancel();
    exchange.outcome().end = attempt_end::Cancelled;
    m_answer.abort();
    finishUndelivered();
}

// Returns why an answer was not delivered whole: the end of the call's time or of the instance, or else the given reason.
call_reason call_run::cutReason(call_reason otherwise) const
{
    switch (m_watch->now()) {
    case call_watch::state::TimedOut:
        return call_reason::DeadlinePassed;
    case call_watch::state::Stopping:
        return call_reason::Stopping;
    case call_watch::state::Running:
    case call_watch::state::CallerGone:
        break;
    }
    return otherwise;
}

// Ends a call whose answer could not be sent to the caller.
void call_run::finishUndelivered()
{
    finish(call_ending::Unknown, cutReason(call_reason::CallerGone));
}

} // namespace sequoiawharf
