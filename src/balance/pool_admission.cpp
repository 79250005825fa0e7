#include "sequoiawharf/pool_balancer.h"

#include "sequoiawharf/hedge_plan.h"
#include "src/balance/pool_state.h"

#include <algorithm>
#include <array>

// The part of pool_balancer that admits, retries and hedges calls.
namespace sequoiawharf
{

namespace
{

constexpr std::chrono::milliseconds kMinStallTimeout {100};
// Delay of a hedge, as a multiple of the unloaded latency, while too few calls have ended to estimate the 95th percentile. One of many instances may
// send only one or two calls a second to a small pool, and an endpoint in a slow phase takes four times as long as usual.
constexpr int kEarlyHedgeRatio = 4;
constexpr int kStallLatencyRatio = 4; // multiple of the 95th percentile of latencies
constexpr float kOverShareLimitPart = 0.8F; // part of the limit that callers over their share may use
constexpr std::array<double, kRouteClassCount> kQueueLimitPart {1.0, 0.75, 0.5}; // maximum number of waiting calls by route class, as a part of the limit
constexpr float kMaxHedgeLoad = 1.25F; // median load of the endpoints above which no hedges are sent
constexpr unsigned kMaxLocalAttempts = 3; // attempts of a call in its own region, unless the call sets a limit

// Returns whether a hedge would probably use a free slot instead of delaying another call.
bool hasRoomForHedge(const pool_state &state)
{
    const auto load = state.typicalLoad.load(std::memory_order_relaxed);
    return load > 0 ? load <= kMaxHedgeLoad : static_cast<float>(state.limit.inUse()) <= state.limit.equalPart();
}

admission refuse(call_reason reason, bool callerMayRetry)
{
    return {.verdict = admission::kind::Refused, .reason = reason, .callerMayRetry = callerMayRetry};
}

next_step fail(const call_record &record, call_reason reason, bool callerMayRetry)
{
    return {.step = next_step::kind::Fail, .ending = record.failureEnding(), .reason = reason, .callerMayRetry = callerMayRetry};
}

} // namespace

admission pool_balancer::admit(const call_profile &call, mono_time now) const
{
    const auto remaining = call.deadline - now;
    if (remaining <= std::chrono::nanoseconds::zero() || remaining < leastLatency()) {
        return refuse(call_reason::DeadlineTooShort, true);
    }
    auto &limit = m_state->limit;
    const bool isOverCallerShare = m_state->callers.isOverShare(call.callerHash, now);
    const auto waiting = m_state->waiting.calls();
    const bool maySkipQueue = waiting == 0 || call.priority == route_class::Urgent;
    if (maySkipQueue && limit.tryAcquire(isOverCallerShare ? kOverShareLimitPart : 1)) {
        countCall(call, now);
        return {};
    }
    if (isOverCallerShare) {
        return refuse(call_reason::CallerOverShare, false);
    }
    const auto permits = std::max(1U, limit.limit());
    if (waiting >= std::max(1.0, permits * kQueueLimitPart[static_cast<std::size_t>(call.priority)])) {
        return refuse(call_reason::Overloaded, false);
    }
    if (remaining < limit.meanLatency() * (waiting + 1) / permits + leastLatency()) {
        return refuse(call_reason::DeadlineTooShort, false);
    }
    countCall(call, now);
    return {.verdict = admission::kind::Wait};
}

void pool_balancer::countCall(const call_profile &call, mono_time now) const
{
    m_state->callers.charge(call.callerHash, now);
    m_state->budget.callStarted();
}

bool pool_balancer::drawRepeat(const call_profile &call, mono_time now) const
{
    return m_state->fleetBudget.isSet() ? m_state->fleetBudget.take(now) : m_state->budget.take(call.depth);
}

unsigned pool_balancer::attemptLimit(const call_profile &call)
{
    return call.maxAttempts > 0 ? std::min(call.maxAttempts, call_record::kMaxAttempts) : kMaxLocalAttempts;
}

bool pool_balancer::admitWaiting() const
{
    return m_state->limit.tryAcquire(1);
}

std::optional<unsigned> pool_balancer::release() const
{
    m_state->limit.release();
    return m_state->waiting.pick();
}

void pool_balancer::waitStarted(unsigned thread) const
{
    m_state->waiting.started(thread);
}

std::optional<unsigned> pool_balancer::waitEnded(unsigned thread, bool moreWaiting) const
{
    m_state->waiting.ended(thread, moreWaiting);
    if (m_state->limit.inUse() >= m_state->limit.limit()) {
        return std::nullopt;
    }
    return m_state->waiting.pick(thread);
}

std::chrono::nanoseconds pool_balancer::leastLatency() const
{
    return m_state->latencies.least();
}

std::chrono::nanoseconds pool_balancer::unloadedLatency() const
{
    return std::chrono::nanoseconds(m_state->unloadedLatencyNs.load(std::memory_order_relaxed));
}

next_step pool_balancer::afterFailure(const call_profile &call, const call_record &record, mono_time now) const
{
    if (record.outstanding() > 0) {
        return {.step = next_step::kind::Await};
    }
    const bool isCancelled = record.lastEnd() == attempt_end::Cancelled;
    if (isCancelled || record.answerStarted() || !record.maySend(call)) {
        return fail(record, record.failureReason(), !record.allRefused());
    }
    if (now + leastLatency() >= call.deadline) {
        return fail(record, call_reason::DeadlinePassed, !record.allRefused());
    }
    if (record.tried().size() >= attemptLimit(call) || !drawRepeat(call, now)) {
        auto step = fail(record, record.failureReason(), false);
        // No endpoint has received the call yet, so relaying it to another region does not add to the load.
        step.step = record.noneConnected() ? next_step::kind::Relay : step.step;
        return step;
    }
    m_state->retries.fetch_add(1, std::memory_order_relaxed);
    return {.step = next_step::kind::Retry, .ending = record.failureEnding(), .reason = record.failureReason()};
}

next_step pool_balancer::afterNoTarget(const call_profile &call, const call_record &record, mono_time now) const
{
    if (record.outstanding() > 0) {
        return {.step = next_step::kind::Await};
    }
    const auto reason = record.attempts() == 0 ? call_reason::NoTarget : record.failureReason();
    auto step = fail(record, reason, !record.allRefused());
    if (record.maySend(call) && !record.answerStarted() && now + leastLatency() < call.deadline) {
        step.step = next_step::kind::Relay;
    }
    return step;
}

std::optional<std::chrono::nanoseconds> pool_balancer::hedgeDelay(const call_profile &call, mono_time now) const
{
    if (m_state->hedgeBudget.isSet()) {
        const auto slow = m_state->latencies.slow();
        const auto delay = planHedge({.slowLatency = slow > std::chrono::nanoseconds::zero() ? slow : kEarlyHedgeRatio * unloadedLatency(),
                                      .unloadedLatency = unloadedLatency(),
                                      .timeToObjective = std::max<std::chrono::nanoseconds>(call.objective - now, {}),
                                      .timeToDeadline = call.deadline - now});
        return call.idempotent && call.replayable ? delay : std::nullopt;
    }
    const auto p95 = m_state->latencies.p95();
    const auto delay = p95 > std::chrono::nanoseconds::zero() ? p95 : kEarlyHedgeRatio * unloadedLatency();
    const bool mayHedge = call.idempotent && call.replayable && delay > std::chrono::nanoseconds::zero();
    const bool hasTime = now + delay + leastLatency() < call.deadline;
    return mayHedge && hasTime ? std::optional(delay) : std::nullopt;
}

std::chrono::nanoseconds pool_balancer::stallTimeout() const
{
    return std::max<std::chrono::nanoseconds>(kMinStallTimeout, kStallLatencyRatio * m_state->latencies.p95());
}

bool pool_balancer::admitHedge(const call_profile &call, const call_record &record, mono_time now) const
{
    const bool hasRoom = hasRoomForHedge(*m_state);
    const bool maySend
        = call.idempotent && record.maySend(call) && record.attempts() < attemptLimit(call) && !record.answerStarted() && record.outstanding() == 1;
    if (!maySend || !hasRoom || now + leastLatency() >= call.deadline) {
        return false;
    }
    const bool isWithinLimit = !m_state->hedgeBudget.isSet() || m_state->hedgeBudget.take(now);
    if (!isWithinLimit || !drawRepeat(call, now)) {
        return false;
    }
    m_state->hedges.fetch_add(1, std::memory_order_relaxed);
    return true;
}

} // namespace sequoiawharf
