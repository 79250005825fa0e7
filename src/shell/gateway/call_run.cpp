#include "src/shell/gateway/call_run.h"

#include "sequoiawharf/configuration_freshness.h"
#include "sequoiawharf/event.h"
#include "sequoiawharf/organisation_table.h"
#include "sequoiawharf/readiness_wait.h"
#include "sequoiawharf/retry_after.h"
#include "sequoiawharf/routing.h"
#include "src/shell/gateway/call_dialect.h"
#include "src/shell/gateway/call_engine.h"
#include "src/shell/gateway/gateway_shared.h"
#include "src/shell/gateway/probe_round.h"
#include "src/shell/gateway/quota_access.h"
#include "src/shell/metrics/gateway_metrics.h"
#include "src/shell/net/clock.h"
#include "src/shell/net/log.h"

#include <boost/asio/this_coro.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <exception>
#include <utility>

// The part of call_run before the first attempt, and the ending of calls without a target's answer; see call_attempts.cpp and call_answer.cpp for
// the others.
namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;

constexpr std::string_view kLogPart = "gateway";
constexpr unsigned kPayloadTooLarge = 413;
constexpr unsigned kRequestTimeout = 408;
constexpr call_id kAnsweredSampleInterval = 512; // one in so many answered calls records an event; all other calls do
constexpr std::chrono::milliseconds kElsewhereRetryAfter {100}; // another instance can take the call at once
// A call waits for tokens that are on their way. With a holder lost, the next one is asked within this time.
constexpr std::chrono::milliseconds kMaxTokenWait {300};
constexpr int kTokenWaitDivisor = 4; // of the time that the call has left
constexpr int kStartWaitDivisor = 2; // the same after a start, when the call knows how long it waits

} // namespace

call_run::call_run(call_engine &engine, call_head &head, body_source &body, answer_sink &answer)
    : m_engine(engine)
    , m_head(head)
    , m_source(body)
    , m_answer(answer)
    , m_memory(engine.shared().memory, head.received)
{
    m_memory.onEnd([this] {
        if (m_record.attempts() > 0 || m_record.failureEnding() != call_ending::NotRun) {
            m_answer.abort(); // part of the call may have been sent
        }
        m_source.cancel();
    });
}

call_run::~call_run()
{
    std::ranges::for_each(std::array {m_probeRound, m_hedgeProbeRound}, [](const auto &round) {
        if (round) {
            round->returnUnusedConnections();
        }
    });
    m_answer.onReceiverGone({});
}

asio::awaitable<void> call_run::run()
{
    if (!m_engine.shared().ready.load()->isReady) {
        if (auto response = co_await waitUntilReady()) {
            co_return co_await refuse(std::move(*response));
        }
    }
    if (auto response = findRoute()) {
        co_return co_await refuse(std::move(*response));
    }
    m_executor = co_await asio::this_coro::executor;
    m_watch.emplace(m_executor, m_profile.deadline);
    m_watch->stopAt(m_engine.stopBounds().answerBy);
    if (auto response = co_await holdBody()) {
        co_return co_await refuse(std::move(*response));
    }
    if (isBoundByStop() && isStopTooNear(timing())) {
        co_return co_await refuse(stopRefusal());
    }
    if (auto response = co_await takeToken()) {
        co_return co_await refuse(std::move(*response));
    }
    admission verdict;
    if (!isProbing()) {
        verdict = co_await m_engine.gate().enter(m_balancer, m_profile, *m_watch);
    }
    if (verdict.verdict == admission::kind::Refused) {
        auto response = m_watch->isRunning() ? makeRefusal(m_engine.dialect(), call_ending::NotRun, verdict.reason, verdict.callerMayRetry) : earlyEndRefusal();
        co_return co_await refuse(std::move(response));
    }
    try {
        co_await runAttempts();
    } catch (const std::exception &error) {
        // An exception such as std::bad_alloc ends this call alone; its place in the pool is released below.
        logTo(log_level::Error, kLogPart, "An exception ended a call. call={} error=\"{}\"", formatCallId(m_head.id), error.what());
        m_answer.abort();
        finish(call_ending::Unknown, call_reason::None);
    }
    if (!isProbing()) {
        m_engine.gate().leave(m_balancer);
    }
}

void call_run::stopAt(mono_time time)
{
    if (m_watch) {
        m_watch->stopAt(time);
    }
}

// Waits until the instance is ready. Returns a refusal when it does not become ready in time or the caller disconnects.
asio::awaitable<std::optional<refusal>> call_run::waitUntilReady()
{
    auto ready = m_engine.shared().ready.load();
    const auto longestWaitEnd = readinessWaitEnd(ready->unreadySince, m_head.received, m_head.callerTimeout);
    const auto waitEnd = [&] {
        return std::min(longestWaitEnd, m_engine.stopBounds().answerBy);
    };
    m_answer.onReceiverGone([this] {
        m_engine.readinessChanged().notify();
    });
    while (!ready->isReady && !m_answer.isReceiverGone() && monoNow() < waitEnd()) {
        co_await m_engine.readinessChanged().wait(waitEnd());
        ready = m_engine.shared().ready.load();
    }
    if (m_answer.isReceiverGone()) {
        co_return makeRefusal(m_engine.dialect(), call_ending::NotRun, call_reason::CallerGone);
    }
    if (ready->isReady) {
        co_return std::nullopt;
    }
    auto response = makeRefusal(m_engine.dialect(), call_ending::NotRun, call_reason::NotReady);
    response.sentence = fmt::format("this instance is not ready: {}", ready->reason);
    response.retryAfter = kElsewhereRetryAfter;
    co_return response;
}

// Returns whether endpoints of the pool are chosen by probing. Precondition: m_balancer is set.
bool call_run::isProbing() const
{
    return m_engine.shared().settings.probing.count > 0 && !m_balancer->definition().probePath.empty();
}

// Sets the route, the balancer and the profile of the call. Returns a refusal when that fails.
std::optional<refusal> call_run::findRoute()
{
    // The proof must be checked before the routing is loaded: otherwise a proof for a newer version could admit a key of an older one.
    const auto *const freshness = m_engine.shared().freshness;
    m_isConfigurationFresh = freshness == nullptr || !freshness->isOn() || freshness->admitsKeyedCalls(bootNow());
    m_routing = m_engine.shared().routings.load();
    if (!m_isConfigurationFresh && m_routing->config().version == 0) {
        return staleRefusal();
    }
    const auto path = std::string_view(m_head.path).substr(0, m_head.path.find('?'));
    m_route = m_routing->config().routes.find(m_head.host, m_head.method, path);
    if (m_route == nullptr) {
        return makeRefusal(m_engine.dialect(), call_ending::NotRun, call_reason::NoRoute);
    }
    if (auto response = identifyCaller()) {
        return response;
    }
    m_balancer = m_routing->find(choosePool(*m_route, m_engine.random().unit()));
    if (!m_balancer) {
        return makeRefusal(m_engine.dialect(), call_ending::NotRun, call_reason::NoTarget);
    }
    m_profile.centres = m_routing->centresFor(*m_route, m_organisation);
    if (m_balancer->isExcluded(m_profile)) {
        return makeRefusal(m_engine.dialect(), call_ending::NotRun, call_reason::NoTarget);
    }
    m_balancer->callStarted(m_head.received);
    m_arrived = m_head.received;
    const auto bound = std::min(m_route->deadline, m_engine.shared().settings.limits.maxDeadline);
    m_profile.deadline = m_head.received + std::min(bound, m_head.callerTimeout.value_or(bound));
    if (m_route->latencyObjective.count() > 0) {
        m_profile.objective = m_head.received + m_route->latencyObjective;
    }
    m_profile.priority = m_organisation != nullptr && m_organisation->priority ? *m_organisation->priority : m_route->priority;
    m_profile.idempotent = isIdempotent(*m_route, m_head.method);
    m_profile.depth = m_head.depth;
    m_profile.maxAttempts = m_route->maxAttempts;
    m_profile.callerHash = std::hash<caller_id> {}(m_head.caller);
    return m_head.contentLength.value_or(0) > m_route->maxBodyBytes ? std::optional(tooLargeRefusal()) : std::nullopt;
}

// Sets the organisation of the caller, where the configuration holds any, and removes the caller's credentials from the fields to forward. Returns a
// refusal when the route needs a key and no organisation holds the one that the caller presented, or when this cannot be told.
std::optional<refusal> call_run::identifyCaller()
{
    const auto &organisations = m_routing->config().organisations;
    const auto key = std::exchange(m_head.key, {});
    if (organisations.empty()) {
        return std::nullopt;
    }
    if (m_head.relayed) {
        // The instance that took the call checked the key and names the organisation.
        m_organisation = organisations.find(m_head.organisation);
        const bool isKnown = m_organisation != nullptr || m_route->isPublic;
        return isKnown ? std::nullopt : std::optional(makeRefusal(m_engine.dialect(), call_ending::NotRun, call_reason::ConfigurationStale));
    }
    std::erase_if(m_head.headers, [this](const header_field &field) {
        return m_engine.dialect().isCredentialField(field.name);
    });
    if (m_route->isPublic) {
        return std::nullopt;
    }
    if (!m_isConfigurationFresh) {
        return staleRefusal();
    }
    m_organisation = m_routing->findOrganisation(key);
    if (m_organisation == nullptr) {
        return makeRefusal(m_engine.dialect(), call_ending::NotRun, call_reason::UnknownKey);
    }
    m_head.organisation = m_organisation->name;
    return std::nullopt;
}

// Takes a token of the caller's quota, if it has one, and waits for one while the organisation is not known to be over its quota. Returns a refusal when
// there is none.
asio::awaitable<std::optional<refusal>> call_run::takeToken()
{
    auto *const quotas = m_engine.shared().quotas;
    // The instance that took a relayed call has counted it.
    m_quota = quotas == nullptr || m_organisation == nullptr || m_head.relayed ? nullptr : quotas->tokensOf(*m_organisation);
    if (!m_quota) {
        co_return std::nullopt;
    }
    m_quota->countCall();
    m_token = m_quota->take(bootNow());
    const auto now = monoNow();
    const auto left = m_profile.deadline - now;
    const auto untilGrants = std::max(quotas->grantsFrom() - bootNow(), boot_clock::duration {0});
    const bool canAwaitStart = untilGrants.count() > 0 && untilGrants + kMaxTokenWait <= left / kStartWaitDivisor;
    const auto waitEnd = now + (canAwaitStart ? untilGrants + kMaxTokenWait : std::min<std::chrono::nanoseconds>(kMaxTokenWait, left / kTokenWaitDivisor));
    if (!m_token && !m_quota->isExhausted(bootNow())) {
        m_quota->addWaiting(1);
        quotas->requestTokens();
        while (!m_token && !m_quota->isExhausted(bootNow()) && m_watch->isRunning() && monoNow() < waitEnd) {
            co_await m_engine.tokensArrived().wait(waitEnd);
            m_token = m_quota->take(bootNow());
        }
        m_quota->addWaiting(-1);
    }
    if (m_token) {
        co_return std::nullopt;
    }
    if (!m_watch->isRunning()) {
        co_return earlyEndRefusal();
    }
    m_quota->countRefusal();
    auto response = makeRefusal(m_engine.dialect(), call_ending::NotRun, call_reason::QuotaExceeded);
    response.retryAfter = std::max(retryAfterQuota(m_organisation->quota.perSecond, m_profile.deadline - monoNow(), m_engine.random().unit()),
                                   std::chrono::ceil<std::chrono::milliseconds>(quotas->grantsFrom() - bootNow()));
    co_return response;
}

// Returns the refusal for a call whose key cannot be checked, since a newer configuration may have removed or added it.
refusal call_run::staleRefusal() const
{
    auto response = makeRefusal(m_engine.dialect(), call_ending::NotRun, call_reason::ConfigurationStale);
    response.retryAfter = kElsewhereRetryAfter;
    return response;
}

refusal call_run::tooLargeRefusal() const
{
    auto response = makeRefusal(m_engine.dialect(), m_record.failureEnding(), call_reason::BadRequest);
    response.status = kPayloadTooLarge;
    response.sentence = fmt::format("the body is larger than the {} bytes that the route allows", m_route->maxBodyBytes);
    return response;
}

// Reads the beginning of the request's body into memory. Returns a refusal when that fails.
asio::awaitable<std::optional<refusal>> call_run::holdBody()
{
    m_body.emplace(m_source, m_memory, m_head.contentLength, m_route->maxBodyBytes);
    if (!m_body->isHeld()) {
        m_watch->start();
        const call_watch::scope cancelling(*m_watch, [this] {
            m_memory.stopWaiting();
            m_source.cancel();
        });
        const auto held = co_await m_body->hold(m_engine.shared().settings.limits.heldBodyBytes);
        if (!held) {
            co_return bodyRefusal();
        }
        m_arrived = monoNow();
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

// Returns the refusal for a request whose body could not be read, or nothing when no error occurred.
std::optional<refusal> call_run::bodyRefusal() const
{
    if (!m_body->fault()) {
        return std::nullopt;
    }
    auto response = makeRefusal(m_engine.dialect(), m_record.failureEnding(), call_reason::BadRequest);
    switch (*m_body->fault()) {
    case stream_error::TooLarge:
        return tooLargeRefusal();
    case stream_error::Malformed:
        response.sentence = "the body is not valid";
        break;
    case stream_error::TimedOut:
        if (m_memory.isEnded()) {
            return memoryRefusal();
        }
        response = earlyEndRefusal();
        response.status = response.reason == call_reason::DeadlinePassed ? kRequestTimeout : response.status;
        break;
    case stream_error::PeerGone:
        response = makeRefusal(m_engine.dialect(), m_record.failureEnding(), call_reason::CallerGone);
        break;
    }
    return response;
}

// Returns the refusal for a call whose deadline passed, whose caller disconnected or that was stopped with the instance.
refusal call_run::earlyEndRefusal() const
{
    if (m_watch->now() == call_watch::state::Stopping) {
        return stopRefusal();
    }
    const bool isCallerGone = m_watch->now() == call_watch::state::CallerGone;
    return makeRefusal(m_engine.dialect(), m_record.failureEnding(), isCallerGone ? call_reason::CallerGone : call_reason::DeadlinePassed);
}

// Returns the refusal for a call whose unfinished body was ended to free memory.
refusal call_run::memoryRefusal() const
{
    auto response = makeRefusal(m_engine.dialect(), m_record.failureEnding(), call_reason::Overloaded);
    response.sentence = "the body did not arrive while this instance was short of memory";
    if (response.ending == call_ending::NotRun) {
        response.retryAfter = kElsewhereRetryAfter;
    }
    return response;
}

// Returns the refusal for a call that the instance cannot serve before it stops.
refusal call_run::stopRefusal() const
{
    auto response = makeRefusal(m_engine.dialect(), m_record.failureEnding(), call_reason::Stopping);
    if (response.ending == call_ending::NotRun) {
        response.retryAfter = kElsewhereRetryAfter;
    }
    return response;
}

// Returns whether the instance stops before the call's deadline.
bool call_run::isBoundByStop() const
{
    return m_engine.stopBounds().answerBy < m_profile.deadline;
}

asio::awaitable<void> call_run::refuse(refusal response)
{
    finish(response.ending, response.reason, response.status);
    if (response.reason == call_reason::CallerGone) {
        m_answer.abort();
        co_return;
    }
    co_await sendRefusal(m_answer, response);
}

// status: of the answer that the caller got, the endpoint's when the ending is Answered and otherwise the instance's own; 0: none or not known.
void call_run::finish(call_ending ending, call_reason reason, unsigned status)
{
    m_isOver = true;
    if (m_token && ending == call_ending::NotRun) {
        m_quota->giveBack(*m_token, bootNow());
    }
    m_engine.metrics().countEnding(ending, reason);
    const bool isStopping = m_engine.stopBounds().answerBy != mono_time::max();
    if (ending != call_ending::Answered || isStopping || m_head.id % kAnsweredSampleInterval == 0) {
        record(event_kind::CallEnded, endingDetail(ending, reason, status));
    }
}

// Returns the detail of the event: the ending, and the data that it depended on, such as the configuration's version, the time left, the calls
// waiting and the rate of freed slots.
std::string call_run::endingDetail(call_ending ending, call_reason reason, unsigned status) const
{
    const auto ms = [](std::chrono::nanoseconds time) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    };
    auto text = fmt::format("ending={} reason={} status={} attempts={} took_ms={}",
                            toString(ending),
                            toString(reason),
                            status,
                            m_record.attempts(),
                            ms(std::chrono::steady_clock::now() - m_head.received));
    if (const auto &bounds = m_engine.stopBounds(); bounds.answerBy != mono_time::max()) {
        text += fmt::format(" arrived_in_stop_ms={}", ms(m_head.received - bounds.countsFrom));
    }
    if (!m_balancer) {
        return text;
    }
    text += fmt::format(" version={} route=\"{}\"", m_routing->config().version, m_route->name.str());
    if (isProbing()) {
        const auto current = timing();
        text += fmt::format(" left_ms={} work_ms={} waiting={} freed_per_s={:.0f}",
                            ms(current.deadline - current.now),
                            ms(current.unloadedLatency),
                            current.callsAhead,
                            current.slotsFreedPerSecond);
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
