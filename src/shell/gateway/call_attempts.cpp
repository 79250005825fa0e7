#include "sequoiawharf/event.h"
#include "sequoiawharf/retry_after.h"
#include "src/shell/gateway/call_engine.h"
#include "src/shell/gateway/call_run.h"
#include "src/shell/gateway/gateway_shared.h"
#include "src/shell/gateway/probe_round.h"
#include "src/shell/gateway/recording_sink.h"
#include "src/shell/metrics/gateway_metrics.h"
#include "src/shell/net/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>

// The part of call_run that makes attempts, hedges and relays.
namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;

constexpr std::size_t kMaxFullEndpoints = 4; // endpoints without a free connection that one choice passes over

/// Endpoints at one distance, and how long to wait for their word: a few round trips there.
struct probe_circle {
    distance distanceClass;
    std::chrono::milliseconds patience; ///< When one of them is well already.
    std::chrono::milliseconds longest;
};

constexpr std::array<probe_circle, 3> kCircles {{
    {distance::DataCentre, std::chrono::milliseconds(6), std::chrono::milliseconds(25)},
    {distance::Region, std::chrono::milliseconds(9), std::chrono::milliseconds(40)},
    {distance::Far, std::chrono::milliseconds(100), std::chrono::milliseconds(200)},
}};
constexpr unsigned kLeastProbes = 2; // of a choice, when the budget of probes is used up
constexpr std::chrono::milliseconds kLastPatience {300}; // for a first answer when no endpoint gave one in its time

} // namespace

asio::awaitable<void> call_run::runAttempts()
{
    while (!m_isOver) {
        if (!m_watch->isRunning() || monoNow() >= m_profile.deadline) {
            co_return co_await refuse(endedEarly());
        }
        auto failed = co_await nextAttempt();
        if (failed && failed->step == next_step::kind::Relay && canRelay()) {
            failed = co_await relay();
        }
        if (!failed) {
            continue;
        }
        if (auto fault = bodyFault()) {
            co_return co_await refuse(std::move(*fault));
        }
        if (failed->step == next_step::kind::Retry) {
            m_engine.metrics().retries.fetch_add(1, std::memory_order_relaxed);
            record(event_kind::CallRetried, {});
            continue;
        }
        co_return co_await refuse(this->failed(*failed));
    }
}

// Returns the refusal for a call whose attempts led to nothing.
refusal call_run::failed(const next_step &step)
{
    if (!m_watch->isRunning()) {
        return endedEarly();
    }
    const auto reason = m_isHopeless && step.reason == call_reason::NoTarget ? call_reason::Overloaded : step.reason;
    auto decision = makeRefusal(m_engine.dialect(), m_record.failureEnding(), reason, step.callerMayRetry);
    if (decision.ending == call_ending::NotRun) {
        decision.retryAfter = retryAfter(m_profile.deadline - monoNow(), m_engine.random().unit());
    }
    return decision;
}

// Makes one attempt or relay. Returns what follows, or nothing when the call is over.
asio::awaitable<std::optional<next_step>> call_run::nextAttempt()
{
    if (!isProbing() && m_record.attempts() == 0 && m_balancer->prefersRelay(m_engine.random()) && canRelay()) {
        co_return co_await relay();
    }
    if (auto chosen = co_await pick()) {
        co_return co_await attemptAt(std::move(*chosen));
    }
    co_return m_balancer->afterNoTarget(m_profile, m_record, monoNow());
}

asio::awaitable<std::optional<chosen_endpoint>> call_run::pick()
{
    if (isProbing()) {
        co_return co_await placeOrWait();
    }
    const auto index = choose(monoNow());
    co_return index ? std::optional(chosen_endpoint {.seen = {.index = *index}, .connection = nullptr}) : std::nullopt;
}

call_timing call_run::timing() const
{
    const auto now = monoNow();
    const auto objective = m_route->latencyObjective.count() > 0 ? m_head.received + m_route->latencyObjective : m_profile.deadline;
    return {.now = now,
            .objectiveAt = std::min(objective, m_profile.deadline),
            .deadline = m_profile.deadline,
            .unloadedLatency = m_balancer->unloadedLatency(),
            .callsAhead = m_engine.slotQueue().waiting(m_balancer),
            .freedPerSecond = m_engine.slotQueue().freedPerSecond(m_balancer, now)};
}

// Finds a slot for the call: by asking endpoints, or by waiting for one that comes free.
asio::awaitable<std::optional<chosen_endpoint>> call_run::placeOrWait()
{
    m_watch->start();
    auto standing = m_profile; // among those that wait: by the objective as long as it can be kept
    standing.deadline = timing().objectiveAt;
    while (m_watch->isRunning()) {
        // Behind others there is nothing to look for: what comes free goes to them.
        std::optional<chosen_endpoint> best;
        if (m_engine.slotQueue().isFirst(m_balancer, standing)) {
            best = co_await lookAround(m_round);
        }
        const auto place = placeCall(best ? std::optional(best->seen) : std::nullopt, timing());
        if (place.decision == placement::kind::Send && best) {
            co_return best;
        }
        if (best) {
            m_engine.connections().returnConnection(m_balancer->at(best->seen.index).definition().address, std::move(best->connection));
        }
        if (place.decision != placement::kind::Wait) {
            m_isHopeless = true;
            co_return std::nullopt;
        }
        if (place.isLate) {
            standing.priority = route_class::Bulk;
            standing.deadline = m_profile.deadline;
        }
        auto slot = co_await m_engine.slotQueue().wait(m_balancer, standing, place.until, *m_watch);
        if (slot) {
            co_return slot;
        }
    }
    co_return std::nullopt;
}

// Returns a good slot for a hedge, which is of no use elsewhere.
asio::awaitable<std::optional<chosen_endpoint>> call_run::pickGoodSlot()
{
    auto best = co_await lookAround(m_hedgeRound);
    if (best && !isUncongested(best->seen)) {
        m_engine.connections().returnConnection(m_balancer->at(best->seen.index).definition().address, std::move(best->connection));
        best.reset();
    }
    co_return best;
}

// Returns the best of the endpoints that answer.
asio::awaitable<std::optional<chosen_endpoint>> call_run::lookAround(std::shared_ptr<probe_round> &round)
{
    round = std::make_shared<probe_round>(m_balancer, m_engine.connections(), m_engine.dialect(), m_executor);
    const auto asking = round;
    const bool isLarge = m_head.contentLength.value_or(UINT64_MAX) > m_engine.shared().settings.probing.wideBytes;
    {
        const call_watch::scope cancelling(*m_watch, [asking] {
            asking->cancel();
        });
        co_await askAround(*asking, isLarge);
    }
    const auto best = selectProbedEndpoint(asking->seen(), isLarge);
    std::optional<chosen_endpoint> chosen;
    if (best && m_watch->isRunning()) {
        chosen.emplace(chosen_endpoint {asking->seen()[*best], asking->takeConnection(*best)});
    }
    asking->giveBackRest();
    co_return chosen;
}

// Asks endpoints near first, and further ones when those near look slow, full or gone.
asio::awaitable<void> call_run::askAround(probe_round &round, bool isLarge)
{
    const auto &settings = m_engine.shared().settings.probing;
    for (const auto &circle : kCircles) {
        const auto best = selectProbedEndpoint(round.seen(), isLarge);
        const bool isEnough = circle.distanceClass == distance::Far ? best.has_value() : !shouldProbeFarther(round.seen(), isLarge);
        if (!round.asked().empty() && isEnough) {
            continue;
        }
        std::vector<std::uint32_t> excluded(m_record.tried().begin(), m_record.tried().end());
        std::ranges::copy(round.asked(), std::back_inserter(excluded));
        const auto now = monoNow();
        const bool isNear = circle.distanceClass == distance::DataCentre;
        const bool mustAsk = isNear || !best;
        const auto count = m_engine.probes().take(isNear ? settings.count : settings.wideCount, mustAsk ? kLeastProbes : 0, now);
        if (count == 0) {
            continue;
        }
        round.ask(m_balancer->probeCandidates(circle.distanceClass, count, excluded, now, m_engine.random()), now);
        co_await round.wait(circle.patience, circle.longest);
    }
    if (!selectProbedEndpoint(round.seen(), isLarge)) {
        co_await round.wait(kLastPatience, kLastPatience);
    }
}

// Returns an endpoint that was not tried yet and that has a connection to spare.
std::optional<std::uint32_t> call_run::choose(mono_time now)
{
    std::array<std::uint32_t, call_record::kMaxAttempts + kMaxFullEndpoints> excluded {};
    auto end = std::ranges::copy(m_record.tried(), excluded.begin()).out;
    for (std::size_t i = 0; i < kMaxFullEndpoints; ++i) {
        const auto index = m_balancer->choose(m_profile, {excluded.begin(), end}, now, m_engine.random());
        if (!index || m_engine.connections().hasRoom(m_balancer->at(*index).definition().address, m_balancer->connections(*index))) {
            return index;
        }
        *end++ = *index;
    }
    return std::nullopt;
}

void call_run::makeAttempt(std::optional<call_attempt> &place, chosen_endpoint chosen)
{
    const auto index = chosen.seen.index;
    const auto &limits = m_engine.shared().settings.limits;
    m_record.attemptStarted(index);
    m_balancer->attemptStarted(index, monoNow());
    m_engine.metrics().attempts.fetch_add(1, std::memory_order_relaxed);
    const exchange_terms terms {
        .head = m_head,
        .profile = m_profile,
        .body = *m_body,
        .target = m_balancer->at(index).definition(),
        .dialect = m_engine.dialect(),
        .plan = m_balancer->connections(index),
        .requiresRecentAnswer = m_record.attempts() > 1, // an earlier attempt failed or stalls, perhaps on a connection that is dead like its siblings
        .stallTimeout = m_balancer->stallTimeout(),
        .headerBytes = limits.headerBytes,
    };
    place.emplace(index, m_balancer->definition(), terms, limits.heldBodyBytes, m_engine.connections(), *m_watch, m_engine.metrics());
    place->exchange().adopt(std::move(chosen.connection));
    place->exchange().outcome().expectedSlowdown = isProbing() ? expectedSlowdown(chosen.seen) : 0;
}

// Makes an attempt, and a hedge beside it when it takes long.
asio::awaitable<std::optional<next_step>> call_run::attemptAt(chosen_endpoint chosen)
{
    m_winner = nullptr;
    m_hedgeGivenUp = false;
    makeAttempt(m_first, std::move(chosen));
    m_watch->start();
    setHedgeAlarm();
    const auto result = co_await m_first->run();
    m_watch->clearAlarm();
    // An error that another endpoint may not have is handed on only when the call cannot go there.
    const bool isError
        = result == call_attempt::result::Held && m_first->exchange().outcome().end == attempt_end::ServerError && isProbing() && m_profile.idempotent;
    if (result != call_attempt::result::Failed && !isError && m_winner == nullptr) {
        m_winner = &*m_first;
    }
    if (m_winner == &*m_first) {
        giveUpHedge();
    }
    const bool isStreaming = m_winner == &*m_first && result == call_attempt::result::Streaming;
    if (!isStreaming) {
        co_await conclude(*m_first);
    }
    if (m_winner != &*m_first) {
        co_await hedgeEnded();
    }
    if (m_winner != nullptr) {
        co_await handOn(*m_winner);
    }
    if (isStreaming) {
        co_await conclude(*m_first);
    }
    co_await hedgeEnded();
    if (m_hedge) {
        co_await conclude(*m_hedge);
        m_hedge.reset();
    }
    if (m_isOver) {
        co_return std::nullopt;
    }
    // A call that must not run twice is not sent again once a byte of it may have left, unless the target says that it did not run it.
    const auto &outcome = m_first->exchange().outcome();
    const bool mayHaveRun = outcome.requestMayHaveLeft && !(m_first->exchange().reportsNotRun() && outcome.end == attempt_end::Refused);
    m_profile.replayable = m_body->isReplayable() && (m_profile.idempotent || !mayHaveRun);
    const auto next = m_balancer->afterFailure(m_profile, m_record, monoNow());
    if (isError && next.step != next_step::kind::Retry) {
        co_await handOn(*m_first);
        co_return std::nullopt;
    }
    co_return next;
}

// Ends an attempt and leaves its evidence.
asio::awaitable<void> call_run::conclude(call_attempt &attempt)
{
    co_await attempt.end();
    const auto now = monoNow();
    auto &outcome = attempt.exchange().outcome();
    outcome.latency = now - attempt.started();
    m_targetTime += &attempt == &*m_first ? attempt.exchange().targetTime() : std::chrono::nanoseconds {0};
    m_record.attemptEnded(outcome);
    m_balancer->attemptEnded(attempt.index(), outcome, now);
    passSlotOn(attempt);
}

// Offers the slot of an attempt that was answered to the calls that wait.
void call_run::passSlotOn(call_attempt &attempt)
{
    const auto &load = attempt.exchange().load();
    if (!isProbing() || !load) {
        return;
    }
    const auto now = monoNow();
    probed_endpoint seen {.index = attempt.index(), .distanceClass = m_balancer->distanceOf(attempt.index()), .load = *load};
    seen.cold = m_balancer->at(attempt.index()).definition().warmupEnd > now;
    m_engine.slotQueue().freed(m_balancer, seen, now);
}

void call_run::setHedgeAlarm()
{
    const auto now = monoNow();
    if (const auto delay = m_balancer->hedgeDelay(m_profile, now)) {
        m_watch->setAlarm(now + *delay, [this] {
            startHedge();
            setStallAlarm();
        });
        return;
    }
    setStallAlarm();
}

// Has the siblings of a silent connection suspected while the call still waits.
void call_run::setStallAlarm()
{
    m_watch->setAlarm(m_first->started() + m_balancer->stallTimeout(), [this] {
        m_first->exchange().suspectStalledConnection();
    });
}

void call_run::startHedge()
{
    const auto now = monoNow();
    if (isProbing() && m_engine.slotQueue().waiting(m_balancer) > 0) {
        return; // what is free belongs to calls that have no endpoint yet
    }
    // Without probes the choice is made before the budget is drawn on: there may be no other endpoint.
    const auto index = isProbing() ? std::nullopt : choose(now);
    if ((!isProbing() && !index) || !m_balancer->admitHedge(m_profile, m_record, now)) {
        return;
    }
    if (index) {
        makeAttempt(m_hedge, {.seen = {.index = *index}, .connection = nullptr});
    }
    record(event_kind::CallHedged, {});
    m_isHedging = true;
    m_hedgeEnd.emplace(m_executor, mono_time::max());
    asio::co_spawn(m_executor, runHedge(), asio::detached);
}

asio::awaitable<void> call_run::runHedge()
{
    if (!m_hedge && !m_hedgeGivenUp) {
        auto chosen = co_await pickGoodSlot();
        if (chosen && !m_hedgeGivenUp) {
            makeAttempt(m_hedge, std::move(*chosen));
        } else if (chosen) {
            m_engine.connections().returnConnection(m_balancer->at(chosen->seen.index).definition().address, std::move(chosen->connection));
        }
    }
    auto result = call_attempt::result::Failed;
    if (m_hedge) {
        result = co_await m_hedge->run();
    }
    if (result != call_attempt::result::Failed && m_winner == nullptr) {
        m_winner = &*m_hedge;
        m_first->cancel();
    }
    m_isHedging = false;
    m_hedgeEnd->cancel();
}

// Ends the hedge, whether it is still choosing its endpoint or has sent the call.
void call_run::giveUpHedge()
{
    m_hedgeGivenUp = true;
    if (m_hedgeRound) {
        m_hedgeRound->cancel();
    }
    if (m_hedge) {
        m_hedge->cancel();
    }
}

asio::awaitable<void> call_run::hedgeEnded()
{
    while (m_isHedging) {
        boost::system::error_code ignored;
        co_await m_hedgeEnd->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

bool call_run::canRelay() const
{
    const auto *const client = m_engine.relay();
    return client != nullptr && !isProbing() && !m_head.relayed && m_body->isReplayable() && client->canRelay(m_route->pool, monoNow());
}

// Hands the call to an instance of another region. Returns what follows, or nothing when the call is over.
asio::awaitable<std::optional<next_step>> call_run::relay()
{
    m_engine.metrics().relays.fetch_add(1, std::memory_order_relaxed);
    record(event_kind::CallRelayed, {});
    m_record.relayStarted();
    m_body->rewind();
    m_watch->start();
    noted_answer noted(m_answer);
    const call_watch::scope cancelling(*m_watch, [this] {
        m_answer.abort();
    });
    const auto outcome = co_await m_engine.relay()->relay(m_route->pool, m_head, m_profile.deadline, *m_body, noted);
    if (outcome.result == relay_outcome::kind::Delivered || noted.isStarted()) {
        if (!noted.isFinished()) {
            m_answer.abort();
        }
        finishAs(noted.isFinished() ? noted.ending() : call_ending::Unknown, noted.reason());
        co_return std::nullopt;
    }
    const bool isLost = outcome.result == relay_outcome::kind::Lost;
    attempt_outcome evidence;
    evidence.end = isLost ? attempt_end::Lost : attempt_end::ConnectFailed;
    evidence.requestMayHaveLeft = isLost;
    m_record.attemptEnded(evidence);
    m_profile.replayable = m_body->isReplayable();
    const bool mayTryHere = m_record.tried().empty() && m_record.maySend(m_profile);
    co_return next_step {
        .step = mayTryHere ? next_step::kind::Retry : next_step::kind::Fail,
        .ending = m_record.failureEnding(),
        .reason = call_reason::LinkUnavailable,
    };
}

} // namespace sequoiawharf
