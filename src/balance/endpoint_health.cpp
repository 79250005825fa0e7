#include "src/balance/endpoint_health.h"

#include "src/base/relaxed.h"

#include <algorithm>
#include <chrono>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::nanoseconds kRampDuration = 10s; // of slow start
constexpr double kMinRampShare = 0.1;
constexpr float kFailureWeight = 0.125F;
constexpr std::chrono::nanoseconds kFreshEvidence = 10s;
constexpr float kFailingShare = 0.5F; // of own attempts
constexpr std::uint32_t kMinSamples = 5;
constexpr std::uint32_t kUnreachableFailures = 2; // successive attempts or probes that could not reach the endpoint
constexpr std::chrono::nanoseconds kFirstEjection = 1s;
constexpr std::uint32_t kMaxEjectionDoublings = 5;
constexpr std::chrono::nanoseconds kForcedTrialDelay = 5s;
constexpr std::int64_t kSlowTrialRatio = 3; // multiple of the pool's median latency
constexpr std::chrono::nanoseconds kReturnDuration = 2s; // over which an endpoint takes on its part of the calls after a rest
constexpr double kMinReturnShare = 0.1;

bool isUnreachable(const endpoint_state &state)
{
    return state.connectFailures.load(kRelaxed) >= kUnreachableFailures;
}

void recordTrial(endpoint_state &state, const attempt_outcome &outcome, std::int64_t medianNs, mono_time now)
{
    const bool isSlow = medianNs != 0 && outcome.latency.count() > kSlowTrialRatio * medianNs;
    if (isFailure(outcome.end) || isSlow) {
        return ejectEndpoint(state, now);
    }
    if (outcome.end != attempt_end::Answered) {
        return;
    }
    const auto left = state.trialsLeft.load(kRelaxed);
    state.trialsLeft.store(left > 0 ? left - 1 : 0, kRelaxed);
    if (left <= 1) {
        state.failureShare.store(0, kRelaxed);
        state.ejections.store(0, kRelaxed);
        state.rampStartNs.store(now.time_since_epoch().count(), kRelaxed);
        state.ejectedUntilNs.store(0, kRelaxed);
    }
}

} // namespace

fitness fitnessOf(const endpoint_state &state, mono_time now)
{
    const auto nowNs = now.time_since_epoch().count();
    if (state.leavingSinceNs.load(kRelaxed) != 0 || state.isRemoved.load(kRelaxed)) {
        return fitness::Leaving;
    }
    if (nowNs < state.restUntilNs.load(kRelaxed)) {
        return fitness::Resting;
    }
    if (const auto until = state.ejectedUntilNs.load(kRelaxed); until != 0) {
        if (nowNs >= until) {
            return fitness::Trial;
        }
        return isUnreachable(state) ? fitness::Unreachable : fitness::Ejected;
    }
    const auto ramp = state.rampStartNs.load(kRelaxed);
    return ramp != 0 && nowNs - ramp < kRampDuration.count() ? fitness::Ramping : fitness::Fit;
}

bool isEjected(const endpoint_state &state, mono_time now)
{
    const auto fit = fitnessOf(state, now);
    return fit == fitness::Ejected || fit == fitness::Unreachable || fit == fitness::Trial;
}

bool mayTakeRequests(const endpoint_state &state, mono_time now)
{
    const auto fit = fitnessOf(state, now);
    return fit != fitness::Leaving && fit != fitness::Resting;
}

double returnShare(const endpoint_state &state, mono_time now)
{
    const auto restEnd = state.restUntilNs.load(kRelaxed);
    const auto age = static_cast<double>(now.time_since_epoch().count() - restEnd);
    return restEnd == 0 ? 1 : std::clamp(age / static_cast<double>(kReturnDuration.count()), kMinReturnShare, 1.0);
}

double rampShare(const endpoint_state &state, mono_time now)
{
    const auto start = state.rampStartNs.load(kRelaxed);
    if (start == 0) {
        return 1;
    }
    const auto age = static_cast<double>(now.time_since_epoch().count() - start);
    return std::clamp(age / static_cast<double>(kRampDuration.count()), kMinRampShare, 1.0);
}

bool mayTakeTrialCall(const endpoint_state &state, bool callMayRunTwice, mono_time now)
{
    const auto overdue = now.time_since_epoch().count() - state.ejectedUntilNs.load(kRelaxed);
    return state.inFlight.load(kRelaxed) == 0 && (callMayRunTwice || overdue > kForcedTrialDelay.count());
}

bool isFailure(attempt_end end)
{
    switch (end) {
    case attempt_end::ServerError:
    case attempt_end::ConnectFailed:
    case attempt_end::Lost:
    case attempt_end::BadAnswer:
    case attempt_end::TimedOut:
        return true;
    case attempt_end::Answered:
    case attempt_end::Refused:
    case attempt_end::Cancelled:
        return false;
    }
    return false;
}

bool hasFreshEvidence(const endpoint_state &state, mono_time now)
{
    return state.samples.load(kRelaxed) >= kMinSamples && now.time_since_epoch().count() - state.lastAttemptEndNs.load(kRelaxed) < kFreshEvidence.count();
}

bool isFailing(const endpoint_state &state, mono_time now)
{
    return hasFreshEvidence(state, now) && state.failureShare.load(kRelaxed) >= kFailingShare;
}

void ejectEndpoint(endpoint_state &state, mono_time now)
{
    const auto times = isUnreachable(state) ? 0 : state.ejections.fetch_add(1, kRelaxed);
    const auto duration = kFirstEjection * (std::int64_t {1} << std::min(times, kMaxEjectionDoublings));
    state.trialsLeft.store(kTrialsForReturn, kRelaxed);
    state.samples.store(0, kRelaxed);
    state.latencyNs.store(0, kRelaxed);
    state.ejectedUntilNs.store((now + duration).time_since_epoch().count(), kRelaxed);
}

void recordHealth(endpoint_state &state, const attempt_outcome &outcome, std::int64_t medianNs, mono_time now)
{
    if (outcome.targetLeaving || outcome.otherTarget) {
        recordLeaving(state, now);
    }
    const bool isFailed = isFailure(outcome.end);
    if (!isFailed && outcome.end != attempt_end::Answered) {
        return;
    }
    const auto share = state.failureShare.load(kRelaxed);
    state.failureShare.store(share + (static_cast<float>(isFailed) - share) * kFailureWeight, kRelaxed);
    state.samples.fetch_add(1, kRelaxed);
    if (outcome.end == attempt_end::ConnectFailed) {
        state.connectFailures.fetch_add(1, kRelaxed);
    } else {
        state.connectFailures.store(0, kRelaxed);
    }
    if (fitnessOf(state, now) == fitness::Trial) {
        return recordTrial(state, outcome, medianNs, now);
    }
    // Every call to an unreachable endpoint would fail, so the cap on the share of ejected endpoints does not apply.
    if (isUnreachable(state) && !isEjected(state, now)) {
        ejectEndpoint(state, now);
    }
}

void recordProbe(endpoint_state &state, probe_end end, mono_time now)
{
    switch (end) {
    case probe_end::Healthy:
        state.connectFailures.store(0, kRelaxed);
        return;
    case probe_end::Unhealthy:
        return;
    case probe_end::OtherTarget:
        return recordLeaving(state, now);
    case probe_end::Unreachable:
    case probe_end::Unanswered:
        state.connectFailures.fetch_add(1, kRelaxed);
        if (isUnreachable(state) && !isEjected(state, now)) {
            ejectEndpoint(state, now);
        }
        return;
    }
}

void recordAvailability(endpoint_state &state, const endpoint_availability &stated, mono_time now)
{
    if (stated.isLeaving) {
        state.hasSaidLeaving.store(true, kRelaxed);
        recordLeaving(state, now);
    }
    if (stated.rest <= std::chrono::milliseconds::zero()) {
        return;
    }
    const auto end = (now + std::min<std::chrono::nanoseconds>(stated.rest, kMaxRest)).time_since_epoch().count();
    auto known = state.restUntilNs.load(kRelaxed);
    while (known < end && !state.restUntilNs.compare_exchange_weak(known, end, kRelaxed)) { }
}

void recordLeaving(endpoint_state &state, mono_time now)
{
    std::int64_t never = 0;
    state.leavingSinceNs.compare_exchange_strong(never, std::max<std::int64_t>(1, now.time_since_epoch().count()), kRelaxed);
}

} // namespace sequoiawharf
