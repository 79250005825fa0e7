#include "src/shell/gateway/call_run.h"

#include "sequoiawharf/event.h"
#include "sequoiawharf/routing.h"
#include "src/shell/gateway/call_engine.h"
#include "src/shell/gateway/gateway_shared.h"
#include "src/shell/gateway/probe_round.h"
#include "src/shell/metrics/gateway_metrics.h"
#include "src/shell/net/log.h"

#include <boost/asio/this_coro.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <exception>

// The part of call_run before its first attempt, and its ending without a target's answer; see call_attempts.cpp and call_answer.cpp.
namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;

constexpr std::string_view kLogPart = "gateway";
constexpr unsigned kPayloadTooLarge = 413;
constexpr unsigned kRequestTimeout = 408;
constexpr call_id kSampledAnswers = 512; // of the calls that were answered, one in so many leaves a line
constexpr std::chrono::milliseconds kNotReadyRetry {100}; // another instance can take the call at once

} // namespace

call_run::call_run(call_engine &engine, call_head &head, body_source &body, answer_sink &answer)
    : m_engine(engine)
    , m_head(head)
    , m_source(body)
    , m_answer(answer)
{
}

call_run::~call_run()
{
    std::ranges::for_each(std::array {m_round, m_hedgeRound}, [](const auto &round) {
        if (round) {
            round->giveBackRest();
        }
    });
    m_answer.onReceiverGone({});
}

asio::awaitable<void> call_run::toEnd()
{
    const auto ready = m_engine.shared().ready.load();
    if (!ready->isReady) {
        auto what = makeRefusal(m_engine.dialect(), call_ending::NotRun, call_reason::NotReady);
        what.sentence = fmt::format("this instance is not ready: {}", ready->why);
        what.retryAfter = kNotReadyRetry;
        co_return co_await refuse(std::move(what));
    }
    if (auto fault = findRoute()) {
        co_return co_await refuse(std::move(*fault));
    }
    m_executor = co_await asio::this_coro::executor;
    m_watch.emplace(m_executor, m_profile.deadline);
    if (auto fault = co_await holdBody()) {
        co_return co_await refuse(std::move(*fault));
    }
    admission verdict;
    if (!isProbing()) {
        verdict = co_await m_engine.gate().enter(m_balancer, m_profile, *m_watch);
    }
    if (verdict.verdict == admission::kind::Refused) {
        auto what = m_watch->isRunning() ? makeRefusal(m_engine.dialect(), call_ending::NotRun, verdict.reason, verdict.callerMayRetry) : endedEarly();
        co_return co_await refuse(std::move(what));
    }
    try {
        co_await runAttempts();
    } catch (const std::exception &error) {
        // Such as a lack of memory: it ends the call, and the pool's place is still given back.
        logTo(log_level::Error, kLogPart, "A call failed inside. call={} error=\"{}\"", formatCallId(m_head.id), error.what());
        m_answer.abort();
        finishAs(call_ending::Unknown, call_reason::None);
    }
    if (!isProbing()) {
        m_engine.gate().leave(m_balancer);
    }
}

bool call_run::isProbing() const
{
    return m_engine.shared().settings.probing.count > 0 && !m_balancer->definition().probePath.empty();
}

std::optional<refusal> call_run::findRoute()
{
    m_routing = m_engine.shared().routings.load();
    const auto path = std::string_view(m_head.path).substr(0, m_head.path.find('?'));
    m_route = m_routing->config().routes.find(m_head.host, m_head.method, path);
    if (m_route == nullptr) {
        return makeRefusal(m_engine.dialect(), call_ending::NotRun, call_reason::NoRoute);
    }
    m_balancer = m_routing->find(choosePool(*m_route, m_engine.random().unit()));
    if (!m_balancer) {
        return makeRefusal(m_engine.dialect(), call_ending::NotRun, call_reason::NoTarget);
    }
    m_balancer->callStarted(m_head.received);
    const auto bound = std::min(m_route->deadline, m_engine.shared().settings.limits.maxDeadline);
    m_profile.deadline = m_head.received + std::min(bound, m_head.callerTimeout.value_or(bound));
    m_profile.priority = m_route->priority;
    m_profile.idempotent = isIdempotent(*m_route, m_head.method);
    m_profile.depth = m_head.depth;
    m_profile.maxAttempts = m_route->maxAttempts;
    m_profile.callerHash = std::hash<caller_id> {}(m_head.caller);
    return m_head.contentLength.value_or(0) > m_route->maxBodyBytes ? std::optional(tooLarge()) : std::nullopt;
}

refusal call_run::tooLarge() const
{
    auto what = makeRefusal(m_engine.dialect(), m_record.failureEnding(), call_reason::BadRequest);
    what.status = kPayloadTooLarge;
    what.sentence = fmt::format("the body is larger than the {} bytes that the route allows", m_route->maxBodyBytes);
    return what;
}

asio::awaitable<std::optional<refusal>> call_run::holdBody()
{
    m_body.emplace(m_source, m_head.contentLength, m_route->maxBodyBytes);
    if (!m_body->isHeld()) {
        m_watch->start();
        const call_watch::scope cancelling(*m_watch, [this] {
            m_source.cancel();
        });
        const auto held = co_await m_body->hold(m_engine.shared().settings.limits.heldBodyBytes);
        if (!held) {
            co_return bodyFault();
        }
    }
    if (m_body->isHeld()) {
        m_head.contentLength = m_body->held().size();
    }
    m_profile.replayable = m_body->isHeld();
    m_answer.onReceiverGone([this] {
        m_watch->callerGone();
    });
    co_return std::nullopt;
}

// Returns the refusal that a broken body of the request calls for.
std::optional<refusal> call_run::bodyFault() const
{
    if (!m_body->fault()) {
        return std::nullopt;
    }
    auto what = makeRefusal(m_engine.dialect(), m_record.failureEnding(), call_reason::BadRequest);
    switch (*m_body->fault()) {
    case stream_error::TooLarge:
        return tooLarge();
    case stream_error::Malformed:
        what.sentence = "the body is not valid";
        break;
    case stream_error::TimedOut:
        what = endedEarly();
        what.status = kRequestTimeout;
        break;
    case stream_error::PeerGone:
        what = makeRefusal(m_engine.dialect(), m_record.failureEnding(), call_reason::CallerGone);
        break;
    }
    return what;
}

refusal call_run::endedEarly() const
{
    const bool isGone = m_watch->now() == call_watch::state::CallerGone;
    return makeRefusal(m_engine.dialect(), m_record.failureEnding(), isGone ? call_reason::CallerGone : call_reason::DeadlinePassed);
}

asio::awaitable<void> call_run::refuse(refusal what)
{
    finishAs(what.ending, what.reason);
    if (what.reason == call_reason::CallerGone) {
        m_answer.abort();
        co_return;
    }
    co_await sendRefusal(m_answer, what);
}

void call_run::finishAs(call_ending ending, call_reason reason)
{
    m_isOver = true;
    m_engine.metrics().countEnding(ending, reason);
    if (ending != call_ending::Answered || m_head.id % kSampledAnswers == 0) {
        record(event_kind::CallEnded, endingDetail(ending, reason));
    }
}

// Names what decided the ending: the configuration's version, the wait, and how much came free here.
std::string call_run::endingDetail(call_ending ending, call_reason reason) const
{
    const auto ms = [](std::chrono::nanoseconds time) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    };
    auto text = fmt::format("ending={} reason={} attempts={} took_ms={}",
                            toString(ending),
                            toString(reason),
                            m_record.attempts(),
                            ms(std::chrono::steady_clock::now() - m_head.received));
    if (!m_balancer) {
        return text;
    }
    text += fmt::format(" version={} route=\"{}\"", m_routing->config().version, m_route->name.str());
    if (isProbing()) {
        const auto facts = timing();
        text += fmt::format(" left_ms={} work_ms={} waiting={} freed_per_s={:.0f}",
                            ms(facts.deadline - facts.now),
                            ms(facts.unloadedLatency),
                            facts.callsAhead,
                            facts.freedPerSecond);
    }
    return text;
}

void call_run::record(event_kind kind, std::string detail) const
{
    event entry;
    entry.kind = kind;
    entry.call = m_head.id;
    entry.pool = m_route == nullptr ? std::string {} : m_route->pool.str();
    if (!m_record.tried().empty()) {
        entry.subject = toString(m_balancer->at(m_record.tried().back()).definition().address);
    }
    entry.detail = std::move(detail);
    m_engine.shared().events.record(std::move(entry));
}

} // namespace sequoiawharf
