#include "sequoiawharf/event.h"
#include "sequoiawharf/retry_after.h"
#include "sequoiawharf/routing.h"
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

// The part of call_run that runs attempts, hedges and relays.
namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;

constexpr std::size_t kMaxSkippedEndpoints = 4; // endpoints without a free connection that one choice may skip

/// A stage of probing: the distance of the endpoints to probe, and how long to wait for their answers, which is a few round trips at that distance.
struct probe_stage {
    distance distanceClass;
    std::chrono::milliseconds waitIfHealthy; ///< When a healthy endpoint has answered.
    std::chrono::milliseconds maxWait; ///< When no healthy endpoint has answered.
};

constexpr std::array<probe_stage, 3> kProbeStages {{
    {distance::DataCentre, std::chrono::milliseconds(6), std::chrono::milliseconds(25)},
    {distance::Region, std::chrono::milliseconds(9), std::chrono::milliseconds(40)},
    {distance::Far, std::chrono::milliseconds(100), std::chrono::milliseconds(200)},
}};
constexpr unsigned kMinProbes = 2; // per choice, even when the probe budget is used up
constexpr std::chrono::milliseconds kLastMaxWait {300}; // for a first usable answer when all stages ended without one

} // namespace

asio::awaitable<void> call_run::runAttempts()
{
    while (!m_isOver) {
        if (!m_watch->isRunning() || monoNow() >= m_profile.deadline) {
            co_return co_await refuse(earlyEndRefusal());
        }
        if (isBoundByStop() && isStopTooNear(timing())) {
            co_return co_await refuse(stopRefusal());
        }
        auto next = co_await nextAttempt();
        if (next && next->step == next_step::kind::Relay && canRelay()) {
            next = co_await relay();
        }
        if (!next) {
            continue;
        }
        if (auto response = bodyRefusal()) {
            co_return co_await refuse(std::move(*response));
        }
        if (next->step == next_step::kind::Retry) {
            m_engine.metrics().retries.fetch_add(1, std::memory_order_relaxed);
            record(event_kind::CallRetried, {});
            continue;
        }
        co_return co_await refuse(refusalFor(*next));
    }
}

// Returns the refusal for a call whose attempts gave no answer to forward.
refusal call_run::refusalFor(const next_step &step)
{
    if (!m_watch->isRunning()) {
        return earlyEndRefusal();
    }
    const auto now = monoNow();
    if (step.reason == call_reason::NoTarget && m_hasNoSlotInTime && isBoundByStop()) {
        return stopRefusal();
    }
    const auto restEnd = m_balancer->firstRestEnd(now, m_profile);
    auto reason = step.reason;
    if (reason == call_reason::NoTarget && restEnd) {
        reason = call_reason::TargetsResting;
    } else if (reason == call_reason::NoTarget && m_hasNoSlotInTime) {
        reason = call_reason::Overloaded;
    }
    auto response = makeRefusal(m_engine.dialect(), m_record.failureEnding(), reason, step.callerMayRetry);
    if (response.ending == call_ending::NotRun) {
        const auto unit = m_engine.random().unit();
        response.retryAfter = restEnd ? retryAfterRest(*restEnd - now, unit) : retryAfter(m_profile.deadline - now, unit);
    }
    return response;
}

// Makes one attempt or relay. Returns the next step, or nothing when the call has ended.
asio::awaitable<std::optional<next_step>> call_run::nextAttempt()
{
    if (!isProbing() && m_record.attempts() == 0 && m_balancer->prefersRelay(m_engine.random()) && canRelay()) {
        co_return co_await relay();
    }
    if (auto chosen = co_await pickEndpoint()) {
        co_return co_await attemptAt(std::move(*chosen));
    }
    co_return m_balancer->afterNoTarget(m_profile, m_record, monoNow());
}

asio::awaitable<std::optional<chosen_endpoint>> call_run::pickEndpoint()
{
    if (isProbing()) {
        co_return co_await acquireSlot();
    }
    const auto index = chooseUnprobed(monoNow());
    co_return index ? std::optional(chosen_endpoint {.endpoint = {.index = *index}, .connection = nullptr}) : std::nullopt;
}

call_timing call_run::timing() const
{
    const auto now = monoNow();
    const auto objective = m_route->latencyObjective.count() > 0 ? m_head.received + m_route->latencyObjective : m_profile.deadline;
    return {.now = now,
            .objectiveAt = std::min(objective, m_profile.deadline),
            .deadline = m_profile.deadline,
            .stopAt = m_engine.stopBounds().answerBy,
            .arrived = m_arrived,
            .lastArrival = m_engine.stopBounds().lastArrival,
            .unloadedLatency = m_balancer->unloadedLatency(),
            .callsAhead = m_engine.slotQueue().waiting(m_balancer),
            .slotsFreedPerSecond = m_engine.slotQueue().slotsFreedPerSecond(m_balancer, now)};
}

// Returns an endpoint with a slot for the call, found by probing or freed by another call while this one waited. Returns nothing when no slot can
// be had in time, or when the call ended early.
asio::awaitable<std::optional<chosen_endpoint>> call_run::acquireSlot()
{
    m_watch->start();
    auto queueProfile = m_profile; // queued by the latency objective instead of the deadline, as long as the objective can be met
    queueProfile.deadline = timing().objectiveAt;
    queueProfile.centres = m_balancer->servingCentres(m_profile);
    while (m_watch->isRunning()) {
        useNewestBalancer();
        if (m_balancer->isExcluded(m_profile)) {
            co_return std::nullopt; // no endpoint may become free for the call
        }
        // A slot that becomes free goes to the first call in the queue, so the calls behind it do not probe.
        std::optional<chosen_endpoint> best;
        if (m_engine.slotQueue().isFirst(m_balancer, queueProfile)) {
            best = co_await probeEndpoints(m_probeRound);
        }
        // Endpoints that rest are not probed, and a call that waits for them would only be late.
        if (!best && m_balancer->firstRestEnd(monoNow(), m_profile)) {
            co_return std::nullopt;
        }
        const auto callPlacement = placeCall(best ? std::optional(best->endpoint) : std::nullopt, timing());
        if (callPlacement.decision == placement::kind::Send && best) {
            co_return best;
        }
        if (best) {
            m_engine.connections().returnConnection(m_balancer->at(best->endpoint.index).definition().address, std::move(best->connection));
        }
        if (callPlacement.decision != placement::kind::Wait) {
            m_hasNoSlotInTime = true;
            co_return std::nullopt;
        }
        if (callPlacement.isLate) {
            // The call cannot meet its objective, so it queues behind those that can.
            queueProfile.priority = route_class::Bulk;
            queueProfile.deadline = m_profile.deadline;
        }
        auto wait = co_await m_engine.slotQueue().wait(m_balancer, queueProfile, callPlacement.until, *m_watch);
        if (wait.slot) {
            co_return std::move(wait.slot);
        }
        if (wait.isDropped) {
            m_hasNoSlotInTime = true;
            co_return std::nullopt;
        }
    }
    co_return std::nullopt;
}

// Lets a call that has not been sent choose among the endpoints that are known now. Later, its attempts are numbered by its balancer's endpoints.
void call_run::useNewestBalancer()
{
    if (m_record.attempts() > 0) {
        return;
    }
    const auto newest = m_engine.shared().routings.load()->find(m_balancer->definition().name);
    if (newest && !newest->definition().probePath.empty()) {
        m_balancer = newest;
    }
}

// Returns an endpoint for a hedge that is neither slow nor nearly full, or nothing: a hedge to another endpoint would be of no use.
asio::awaitable<std::optional<chosen_endpoint>> call_run::pickHedgeSlot()
{
    auto best = co_await probeEndpoints(m_hedgeProbeRound);
    if (best && !isUncongested(best->endpoint)) {
        m_engine.connections().returnConnection(m_balancer->at(best->endpoint.index).definition().address, std::move(best->connection));
        best.reset();
    }
    co_return best;
}

// Probes endpoints. Returns the best one of those that answered, with the connection of its answer, or nothing.
asio::awaitable<std::optional<chosen_endpoint>> call_run::probeEndpoints(std::shared_ptr<probe_round> &round)
{
    round = std::make_shared<probe_round>(m_balancer, m_engine.connections(), m_engine.dialect(), m_executor);
    const auto currentRound = round;
    const bool isLarge = m_head.contentLength.value_or(UINT64_MAX) > m_engine.shared().settings.probing.wideBytes;
    {
        const call_watch::scope cancelling(*m_watch, [currentRound] {
            currentRound->cancel();
        });
        co_await probeByDistance(*currentRound, isLarge);
    }
    currentRound->dropUnavailable(monoNow());
    const auto best = selectProbedEndpoint(currentRound->answers(), isLarge);
    std::optional<chosen_endpoint> chosen;
    if (best && m_watch->isRunning()) {
        chosen.emplace(chosen_endpoint {currentRound->answers()[*best], currentRound->takeConnection(*best)});
    }
    currentRound->returnUnusedConnections();
    co_return chosen;
}

// Probes near endpoints first, and farther ones when the nearer ones are slow, full or do not answer.
asio::awaitable<void> call_run::probeByDistance(probe_round &round, bool isLarge)
{
    const auto &settings = m_engine.shared().settings.probing;
    for (const auto &stage : kProbeStages) {
        const auto best = selectProbedEndpoint(round.answers(), isLarge);
        const bool isEnough = stage.distanceClass == distance::Far ? best.has_value() : !shouldProbeFarther(round.answers(), isLarge);
        if (!round.probed().empty() && isEnough) {
            continue;
        }
        if (m_balancer->allowedCentres(m_profile) != kAllCentres && !m_balancer->hasEndpointsAt(stage.distanceClass, m_profile)) {
            continue;
        }
        std::vector<std::uint32_t> excluded(m_record.tried().begin(), m_record.tried().end());
        std::ranges::copy(round.probed(), std::back_inserter(excluded));
        const auto now = monoNow();
        const bool isNear = stage.distanceClass == distance::DataCentre;
        const bool mustProbe = isNear || !best;
        const auto count = m_engine.probes().take(isNear ? settings.count : settings.wideCount, mustProbe ? kMinProbes : 0, now);
        if (count == 0) {
            continue;
        }
        round.start(m_balancer->probeCandidates(m_profile, stage.distanceClass, count, excluded, now, m_engine.random()), now);
        co_await round.wait(stage.waitIfHealthy, stage.maxWait);
    }
    if (!selectProbedEndpoint(round.answers(), isLarge)) {
        co_await round.wait(kLastMaxWait, kLastMaxWait);
    }
}

// Chooses an endpoint without probes. Returns one that was not tried yet and to which a connection is available, or nothing.
std::optional<std::uint32_t> call_run::chooseUnprobed(mono_time now)
{
    std::array<std::uint32_t, call_record::kMaxAttempts + kMaxSkippedEndpoints> excluded {};
    auto end = std::ranges::copy(m_record.tried(), excluded.begin()).out;
    for (std::size_t i = 0; i < kMaxSkippedEndpoints; ++i) {
        const auto index = m_balancer->choose(m_profile, {excluded.begin(), end}, now, m_engine.random());
        if (!index || m_engine.connections().hasRoom(m_balancer->at(*index).definition().address, m_balancer->connections(*index))) {
            return index;
        }
        *end++ = *index;
    }
    return std::nullopt;
}

void call_run::createAttempt(std::optional<call_attempt> &attempt, chosen_endpoint chosen)
{
    const auto index = chosen.endpoint.index;
    const auto &limits = m_engine.shared().settings.limits;
    m_record.attemptStarted(index);
    m_balancer->attemptStarted(index, monoNow());
    m_engine.metrics().attempts.fetch_add(1, std::memory_order_relaxed);
    const exchange_terms terms {
        .head = m_head,
        .profile = m_profile,
        .body = *m_body,
        .pool = *m_balancer,
        .index = index,
        .dialect = m_engine.dialect(),
        .plan = m_balancer->connections(index),
        // An earlier attempt failed or stalled, perhaps on a dead connection; the other idle connections may be dead too.
        .requiresRecentAnswer = m_record.attempts() > 1,
        .stallTimeout = m_balancer->stallTimeout(),
        .headerBytes = limits.headerBytes,
    };
    attempt.emplace(index, m_balancer->definition(), terms, limits.heldBodyBytes, m_engine.connections(), *m_watch, m_engine.metrics());
    attempt->exchange().adopt(std::move(chosen.connection));
    attempt->exchange().outcome().expectedSlowdown = isProbing() ? expectedSlowdown(chosen.endpoint) : 0;
}

// Runs an attempt at the endpoint, and a hedge in parallel if it takes long. Returns the next step, or nothing when the call has ended.
asio::awaitable<std::optional<next_step>> call_run::attemptAt(chosen_endpoint chosen)
{
    m_winner = nullptr;
    m_isHedgeCancelled = false;
    createAttempt(m_first, std::move(chosen));
    m_watch->start();
    setHedgeAlarm();
    const auto result = co_await m_first->run();
    m_watch->clearAlarm();
    // Another endpoint may answer without the error, so the error is forwarded only when the call cannot be sent to one.
    const bool isError
        = result == call_attempt::result::Held && m_first->exchange().outcome().end == attempt_end::ServerError && isProbing() && m_profile.idempotent;
    if (result != call_attempt::result::Failed && !isError && m_winner == nullptr) {
        m_winner = &*m_first;
    }
    if (m_winner == &*m_first) {
        cancelHedge();
    }
    const bool isStreaming = m_winner == &*m_first && result == call_attempt::result::Streaming;
    if (!isStreaming) {
        co_await finishAttempt(*m_first);
    }
    if (m_winner != &*m_first) {
        co_await waitForHedge();
    }
    if (m_winner != nullptr) {
        co_await forwardAnswer(*m_winner);
    }
    if (isStreaming) {
        co_await finishAttempt(*m_first);
    }
    co_await waitForHedge();
    if (m_hedge) {
        co_await finishAttempt(*m_hedge);
        m_hedge.reset();
    }
    if (m_isOver) {
        co_return std::nullopt;
    }
    // A call that is not idempotent is not sent again once part of it may have been sent, unless the target stated that it did not run it.
    const auto &outcome = m_first->exchange().outcome();
    const bool mayHaveRun = outcome.requestMayHaveLeft && !(m_first->exchange().reportsNotRun() && outcome.end == attempt_end::Refused);
    m_profile.replayable = m_body->isReplayable() && (m_profile.idempotent || !mayHaveRun);
    const auto next = nextStepAfterFailure();
    if (isError && (next.step != next_step::kind::Retry || !m_watch->isRunning())) {
        co_await forwardAnswer(*m_first);
        co_return std::nullopt;
    }
    co_return next;
}

// Decides the next step. A call that may have run counts towards its organisation's quota once more when it is sent again.
next_step call_run::nextStepAfterFailure()
{
    const bool isCountedAgain = m_quota && m_profile.replayable && m_record.failureEnding() != call_ending::NotRun;
    const auto token = isCountedAgain ? m_quota->take(bootNow()) : std::nullopt;
    m_profile.replayable = m_profile.replayable && (!isCountedAgain || token);
    const auto next = m_balancer->afterFailure(m_profile, m_record, monoNow());
    if (token && next.step != next_step::kind::Retry) {
        m_quota->giveBack(*token, bootNow());
    }
    return next;
}

// Ends an attempt and records its outcome.
asio::awaitable<void> call_run::finishAttempt(call_attempt &attempt)
{
    co_await attempt.end();
    const auto now = monoNow();
    auto &outcome = attempt.exchange().outcome();
    outcome.latency = now - attempt.started();
    m_targetTime += &attempt == &*m_first ? attempt.exchange().targetTime() : std::chrono::nanoseconds {0};
    m_record.attemptEnded(outcome);
    m_balancer->attemptEnded(attempt.index(), outcome, now);
    offerFreedSlot(attempt);
}

// Offers the slot of an ended attempt to waiting calls, if the endpoint has answered.
void call_run::offerFreedSlot(call_attempt &attempt)
{
    const auto end = attempt.exchange().outcome().end;
    const auto hasAnswered = end == attempt_end::Answered || end == attempt_end::ServerError;
    const auto &load = attempt.exchange().load();
    if (!isProbing() || (!load && !hasAnswered)) {
        return;
    }
    const auto now = monoNow();
    probed_endpoint freed {
        .index = attempt.index(), .distanceClass = m_balancer->distanceOf(attempt.index()), .load = load ? *load : m_balancer->assumedLoad(attempt.index())};
    freed.cold = m_balancer->at(attempt.index()).definition().warmupEnd > now;
    freed.healthy = m_balancer->mayTakeRequests(attempt.index(), now);
    m_engine.slotQueue().slotFreed(m_balancer, freed, now);
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

// Sets the time at which a reused connection without any answer makes the endpoint's idle connections suspect, while the call still waits.
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
        return; // free slots go to the waiting calls, which have no endpoint yet
    }
    // Without probes, the endpoint is chosen before the retry budget is charged, since there may be no other endpoint.
    const auto index = isProbing() ? std::nullopt : chooseUnprobed(now);
    if (!isProbing() && !index) {
        return;
    }
    // A hedge runs at a second endpoint and counts towards the quota like another call.
    const auto token = m_quota ? m_quota->take(bootNow()) : std::nullopt;
    if (m_quota && !token) {
        return;
    }
    if (!m_balancer->admitHedge(m_profile, m_record, now)) {
        if (token) {
            m_quota->giveBack(*token, bootNow());
        }
        return;
    }
    if (index) {
        createAttempt(m_hedge, {.endpoint = {.index = *index}, .connection = nullptr});
    }
    record(event_kind::CallHedged, {});
    m_isHedging = true;
    m_hedgeEnd.emplace(m_executor, mono_time::max());
    asio::co_spawn(m_executor, runHedge(), asio::detached);
}

asio::awaitable<void> call_run::runHedge()
{
    if (!m_hedge && !m_isHedgeCancelled) {
        auto chosen = co_await pickHedgeSlot();
        if (chosen && !m_isHedgeCancelled) {
            createAttempt(m_hedge, std::move(*chosen));
        } else if (chosen) {
            m_engine.connections().returnConnection(m_balancer->at(chosen->endpoint.index).definition().address, std::move(chosen->connection));
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

// Cancels the hedge, whether it is still choosing its endpoint or has sent the call.
void call_run::cancelHedge()
{
    m_isHedgeCancelled = true;
    if (m_hedgeProbeRound) {
        m_hedgeProbeRound->cancel();
    }
    if (m_hedge) {
        m_hedge->cancel();
    }
}

// Returns when runHedge() has ended; at once when there is no hedge.
asio::awaitable<void> call_run::waitForHedge()
{
    while (m_isHedging) {
        boost::system::error_code ignored;
        co_await m_hedgeEnd->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

bool call_run::canRelay() const
{
    const auto *const client = m_engine.relay();
    return client != nullptr && !isProbing() && !m_head.relayed && m_body->isReplayable()
           && client->canRelay(m_balancer->definition().name, monoNow(), m_balancer->allowedCentres(m_profile));
}

// Sends the call through an instance of another region. Returns the next step, or nothing when the call has ended.
asio::awaitable<std::optional<next_step>> call_run::relay()
{
    m_engine.metrics().relays.fetch_add(1, std::memory_order_relaxed);
    record(event_kind::CallRelayed, {});
    m_record.relayStarted();
    m_body->rewind();
    m_watch->start();
    recording_sink recorder(m_answer);
    const call_watch::scope cancelling(*m_watch, [&] {
        if (m_watch->now() == call_watch::state::CallerGone || recorder.isStarted()) {
            m_answer.abort();
        } else {
            recorder.cancelSender();
        }
    });
    const auto outcome
        = co_await m_engine.relay()->relay(m_balancer->definition().name, m_head, m_profile.deadline, m_balancer->allowedCentres(m_profile), *m_body, recorder);
    if (outcome.result == relay_outcome::kind::Delivered || recorder.isStarted()) {
        if (!recorder.isFinished()) {
            m_answer.abort();
        }
        finish(recorder.isFinished() ? recorder.ending() : call_ending::Unknown, recorder.reason());
        co_return std::nullopt;
    }
    const bool isLost = outcome.result == relay_outcome::kind::Lost;
    attempt_outcome failedRelay;
    failedRelay.end = isLost ? attempt_end::Lost : attempt_end::ConnectFailed;
    failedRelay.requestMayHaveLeft = isLost;
    m_record.attemptEnded(failedRelay);
    m_profile.replayable = m_body->isReplayable();
    const bool mayRetryLocally = m_record.tried().empty() && m_record.maySend(m_profile);
    co_return next_step {
        .step = mayRetryLocally ? next_step::kind::Retry : next_step::kind::Fail,
        .ending = m_record.failureEnding(),
        .reason = call_reason::LinkUnavailable,
    };
}

} // namespace sequoiawharf
