#include "sequoiawharf/pool_balancer.h"

#include "src/balance/pool_state.h"

#include <algorithm>
#include <array>

// The part of pool_balancer that decides whether a call may go, and whether it may go again.
namespace sequoiawharf
{

namespace
{

constexpr std::chrono::milliseconds kLeastStall {100};
// Of the usual work, while too few calls have ended to know the 95th percentile: an instance of many sees a call or two a second of a small pool,
// and an endpoint in a slow spell takes four times as long.
constexpr int kEarlyHedgeRatio = 4;
constexpr int kStallRatio = 4; // over the 95th percentile of latencies
constexpr float kOverSharePart = 0.8F; // of the limit: what callers over their share may fill
constexpr std::array<double, kRouteClassCount> kQueuePart {1.0, 0.75, 0.5}; // of the limit: how many calls may wait, by class
constexpr float kHedgeLoad = 1.25F; // typical load from which there are no hedges
constexpr unsigned kMaxLocalAttempts = 3;

// A hedge should take a slot that is free, not the place of another call.
bool hasRoomForHedge(const pool_state &state)
{
    const auto load = state.typicalLoad.load(std::memory_order_relaxed);
    return load > 0 ? load <= kHedgeLoad : static_cast<float>(state.limit.taken()) <= state.limit.equalPart();
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
    const bool isOver = m_state->callers.isOverShare(call.callerHash, now);
    const auto waiting = m_state->waiting.calls();
    const bool mayPass = waiting == 0 || call.priority == route_class::Urgent;
    if (mayPass && limit.tryTake(isOver ? kOverSharePart : 1)) {
        countCall(call, now);
        return {};
    }
    if (isOver) {
        return refuse(call_reason::CallerOverShare, false);
    }
    const auto places = std::max(1U, limit.limit());
    if (waiting >= std::max(1.0, places * kQueuePart[static_cast<std::size_t>(call.priority)])) {
        return refuse(call_reason::Overloaded, false);
    }
    if (remaining < limit.meanLatency() * (waiting + 1) / places + leastLatency()) {
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

bool pool_balancer::takeRepeat(const call_profile &call, mono_time now) const
{
    return m_state->fleetSize.isSet() ? m_state->fleetSize.take(now) : m_state->budget.take(call.depth);
}

unsigned pool_balancer::mostAttempts(const call_profile &call)
{
    return call.maxAttempts > 0 ? std::min(call.maxAttempts, call_record::kMaxAttempts) : kMaxLocalAttempts;
}

bool pool_balancer::admitWaiting() const
{
    return m_state->limit.tryTake(1);
}

std::optional<unsigned> pool_balancer::release() const
{
    m_state->limit.give();
    return m_state->waiting.pick();
}

void pool_balancer::waitStarted(unsigned thread) const
{
    m_state->waiting.started(thread);
}

std::optional<unsigned> pool_balancer::waitEnded(unsigned thread, bool moreWaiting) const
{
    m_state->waiting.ended(thread, moreWaiting);
    if (m_state->limit.taken() >= m_state->limit.limit()) {
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
    return std::chrono::nanoseconds(m_state->workNs.load(std::memory_order_relaxed));
}

next_step pool_balancer::afterFailure(const call_profile &call, const call_record &record, mono_time now) const
{
    if (record.outstanding() > 0) {
        return {.step = next_step::kind::Await};
    }
    const bool isGone = record.lastEnd() == attempt_end::Cancelled;
    if (isGone || record.answerStarted() || !record.maySend(call)) {
        return fail(record, record.failureReason(), !record.allRefused());
    }
    if (now + leastLatency() >= call.deadline) {
        return fail(record, call_reason::DeadlinePassed, !record.allRefused());
    }
    if (record.tried().size() >= mostAttempts(call) || !takeRepeat(call, now)) {
        auto step = fail(record, record.failureReason(), false);
        // Nothing was asked to run the call yet, so carrying it elsewhere does not multiply work.
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
    const auto known = m_state->latencies.p95();
    const auto delay = known > std::chrono::nanoseconds::zero() ? known : kEarlyHedgeRatio * unloadedLatency();
    const bool mayHedge = call.idempotent && call.replayable && delay > std::chrono::nanoseconds::zero();
    const bool hasTime = now + delay + leastLatency() < call.deadline;
    return mayHedge && hasTime ? std::optional(delay) : std::nullopt;
}

std::chrono::nanoseconds pool_balancer::stallTimeout() const
{
    return std::max<std::chrono::nanoseconds>(kLeastStall, kStallRatio * m_state->latencies.p95());
}

bool pool_balancer::admitHedge(const call_profile &call, const call_record &record, mono_time now) const
{
    const bool hasRoom = hasRoomForHedge(*m_state);
    const bool maySend
        = call.idempotent && record.maySend(call) && record.attempts() < mostAttempts(call) && !record.answerStarted() && record.outstanding() == 1;
    if (!maySend || !hasRoom || now + leastLatency() >= call.deadline || !takeRepeat(call, now)) {
        return false;
    }
    m_state->hedges.fetch_add(1, std::memory_order_relaxed);
    return true;
}

} // namespace sequoiawharf
