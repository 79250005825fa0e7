#include "src/balance/endpoint_health.h"

#include "src/base/relaxed.h"

#include <algorithm>
#include <chrono>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::nanoseconds kRamp = 10s;
constexpr double kMinRamp = 0.1;
constexpr float kFailureWeight = 0.125F;
constexpr std::chrono::nanoseconds kFreshEvidence = 10s;
constexpr float kFailingShare = 0.5F;
constexpr std::uint32_t kMinSamples = 5;
constexpr std::uint32_t kUnreachableAfter = 2; // successive attempts without a connection
constexpr std::chrono::nanoseconds kFirstEjection = 1s;
constexpr std::uint32_t kMaxEjectionDoublings = 5;
constexpr std::chrono::nanoseconds kForcedTrial = 5s;
constexpr std::int64_t kSlowTrialRatio = 3; // over the pool's median latency

bool isUnreachable(const endpoint_state &state)
{
    return state.connectFailures.load(kRelaxed) >= kUnreachableAfter;
}

void takeTrial(endpoint_state &state, const attempt_outcome &outcome, std::int64_t medianNs, mono_time now)
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
    if (state.leavingSinceNs.load(kRelaxed) != 0) {
        return fitness::Leaving;
    }
    if (const auto until = state.ejectedUntilNs.load(kRelaxed); until != 0) {
        if (nowNs >= until) {
            return fitness::Trial;
        }
        return isUnreachable(state) ? fitness::Unreachable : fitness::Ejected;
    }
    const auto ramp = state.rampStartNs.load(kRelaxed);
    return ramp != 0 && nowNs - ramp < kRamp.count() ? fitness::Ramping : fitness::Fit;
}

bool isOut(const endpoint_state &state, mono_time now)
{
    const auto fit = fitnessOf(state, now);
    return fit == fitness::Ejected || fit == fitness::Unreachable || fit == fitness::Trial;
}

double rampShare(const endpoint_state &state, mono_time now)
{
    const auto start = state.rampStartNs.load(kRelaxed);
    if (start == 0) {
        return 1;
    }
    const auto age = static_cast<double>(now.time_since_epoch().count() - start);
    return std::clamp(age / static_cast<double>(kRamp.count()), kMinRamp, 1.0);
}

bool mayTry(const endpoint_state &state, bool callMayRunTwice, mono_time now)
{
    const auto overdue = now.time_since_epoch().count() - state.ejectedUntilNs.load(kRelaxed);
    return state.inFlight.load(kRelaxed) == 0 && (callMayRunTwice || overdue > kForcedTrial.count());
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
    return state.samples.load(kRelaxed) >= kMinSamples && now.time_since_epoch().count() - state.lastEndNs.load(kRelaxed) < kFreshEvidence.count();
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
        return takeTrial(state, outcome, medianNs, now);
    }
    // Whoever is called there fails, so the cap on ejections does not apply.
    if (isUnreachable(state) && !isOut(state, now)) {
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
        if (isUnreachable(state) && !isOut(state, now)) {
            ejectEndpoint(state, now);
        }
        return;
    }
}

void recordLeaving(endpoint_state &state, mono_time now)
{
    std::int64_t never = 0;
    state.leavingSinceNs.compare_exchange_strong(never, std::max<std::int64_t>(1, now.time_since_epoch().count()), kRelaxed);
}

} // namespace sequoiawharf
