#include "src/balance/evidence.h"

#include "src/balance/endpoint_health.h"
#include "src/balance/load_sample.h"
#include "src/base/relaxed.h"

#include <algorithm>
#include <chrono>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::nanoseconds;

constexpr int kLatencyWeightShift = 3; // a new sample has a weight of 1/8
// Bounds a sample to this multiple of the mean: one slow sample, as after a pause of this process, must not make a straggler.
constexpr std::int64_t kMaxSampleRatio = 8;
constexpr nanoseconds kLoadHalfAge = 30ms; // age at which a report has half its weight
constexpr nanoseconds kLatencyHalfAge = 2s; // age at which the own mean latency has half its weight
constexpr nanoseconds kMaxComparedAge = 1s; // older reports are not compared with own calls
constexpr nanoseconds kMinLeavingTime = 30s; // a leaving endpoint may return when its load page says so after this time
constexpr nanoseconds kMinRefusalBackoff = 2ms;
constexpr std::uint32_t kMaxRefusalBackoffDoublings = 6;
constexpr nanoseconds kMaxConfirmationAge = 500ms;
// Factor for a report while own calls confirm the endpoint: all instances have the same report and would react to it at once.
constexpr double kConfirmedReportWeight = 0.1;
constexpr float kIdleLoad = 0.5F;
constexpr float kFullLoad = 1.5F;
constexpr float kFailingLoad = 2; // load assumed for an endpoint that reports itself as failing
constexpr float kMaxCredibleLoad = 3; // higher reported loads count as this
constexpr float kTrustLoss = 0.9F;
constexpr float kTrustGain = 0.02F;
constexpr std::int64_t kNotIdleLatencyRatio = 2; // an endpoint with a latency above this multiple of the median is not idle

double weightOf(nanoseconds age, nanoseconds halfAge)
{
    const auto bounded = static_cast<double>(std::max(age, nanoseconds::zero()).count());
    const auto half = static_cast<double>(halfAge.count());
    return half / (half + bounded);
}

void addLatency(endpoint_state &state, nanoseconds latency)
{
    const auto old = state.latencyNs.load(kRelaxed);
    const auto longest = old == 0 ? INT64_MAX : kMaxSampleRatio * old;
    const auto sample = std::clamp<std::int64_t>(latency.count(), 1, std::max<std::int64_t>(1, longest));
    state.latencyNs.store(old == 0 ? sample : old + ((sample - old) >> kLatencyWeightShift), kRelaxed);
}

void recordLatency(endpoint_state &state, const attempt_outcome &outcome)
{
    const bool isCutShort = outcome.end == attempt_end::Cancelled || outcome.end == attempt_end::TimedOut;
    const bool isLowerBound = isCutShort && outcome.latency.count() > state.latencyNs.load(kRelaxed);
    if (outcome.end == attempt_end::Answered || isLowerBound) {
        addLatency(state, outcome.latency);
    }
}

// Compares the endpoint's newest reported load with the result of an own attempt and adjusts the trust in its reports.
void updateTrust(endpoint_state &state, attempt_end end, std::int64_t medianNs, mono_time now)
{
    const auto latest = newestSample(state);
    if (!latest || now - latest->at > kMaxComparedAge || medianNs == 0) {
        return;
    }
    const auto latency = state.latencyNs.load(kRelaxed);
    const bool reportsIdle = latest->load <= kIdleLoad;
    const bool isFalselyIdle = reportsIdle && (end == attempt_end::Refused || latency > kNotIdleLatencyRatio * medianNs);
    const bool isFalselyFull = latest->load >= kFullLoad && end == attempt_end::Answered && latency <= medianNs;
    const auto trust = state.trust.load(kRelaxed);
    state.trust.store(isFalselyIdle || isFalselyFull ? trust * kTrustLoss : trust + (1 - trust) * kTrustGain, kRelaxed);
}

} // namespace

void recordEvidence(endpoint_state &state, const attempt_outcome &outcome, std::int64_t medianNs, mono_time now)
{
    recordLatency(state, outcome);
    state.lastAttemptEndNs.store(now.time_since_epoch().count(), kRelaxed);
    if (outcome.end == attempt_end::Answered || outcome.end == attempt_end::Refused) {
        updateTrust(state, outcome.end, medianNs, now);
    }
    if (outcome.end == attempt_end::Refused) {
        const auto doublings = std::min(state.consecutiveRefusals.fetch_add(1, kRelaxed), kMaxRefusalBackoffDoublings);
        const auto backoff = std::max(kMinRefusalBackoff, nanoseconds(medianNs / 2)) * (1 << doublings);
        state.backoffUntilNs.store((now + backoff).time_since_epoch().count(), kRelaxed);
    }
    if (outcome.end == attempt_end::Answered) {
        state.consecutiveRefusals.store(0, kRelaxed);
    }
    if (outcome.reportedLoad) {
        state.answerLoad.store(packSample({*outcome.reportedLoad, state.inFlight.load(kRelaxed), now}), kRelaxed);
    }
}

void recordReport(endpoint_state &state, const load_report &report, mono_time now)
{
    const auto reportedAt = now - std::max(report.age, nanoseconds::zero());
    const auto reportedNs = reportedAt.time_since_epoch().count();
    if (report.state == reported_state::Leaving) {
        const bool isFromBeforeReturn = reportedNs < state.rampStartNs.load(kRelaxed);
        return isFromBeforeReturn ? void() : recordLeaving(state, now);
    }
    const auto leavingNs = state.leavingSinceNs.load(kRelaxed);
    if (leavingNs != 0 && report.source == report_source::Probe && reportedNs - leavingNs > kMinLeavingTime.count()) {
        state.rampStartNs.store(now.time_since_epoch().count(), kRelaxed);
        state.leavingSinceNs.store(0, kRelaxed);
        state.hasSaidLeaving.store(false, kRelaxed);
    }
    if (report.state == reported_state::Starting && state.rampStartNs.load(kRelaxed) == 0) {
        state.rampStartNs.store(std::max<std::int64_t>(1, reportedNs), kRelaxed);
    }
    const auto load = report.state == reported_state::Failing ? std::optional(kFailingLoad) : report.load;
    const auto known = unpackSample(state.reportLoad.load(kRelaxed));
    if (load && (!known || known->at < reportedAt)) {
        state.reportLoad.store(packSample({*load, state.inFlight.load(kRelaxed), reportedAt}), kRelaxed);
    }
}

std::optional<load_sample> newestSample(const endpoint_state &state)
{
    const auto answer = unpackSample(state.answerLoad.load(kRelaxed));
    const auto report = unpackSample(state.reportLoad.load(kRelaxed));
    if (!answer || !report) {
        return answer ? answer : report;
    }
    return report->at > answer->at ? report : answer;
}

double expectedOthers(const endpoint_state &state, double typicalOthers, std::uint32_t slots, mono_time now)
{
    const auto answer = unpackSample(state.answerLoad.load(kRelaxed));
    const auto report = unpackSample(state.reportLoad.load(kRelaxed));
    const auto answerWeight = answer ? weightOf(now - answer->at, kLoadHalfAge) : 0;
    const auto reportWeight = report ? weightOf(now - report->at, kLoadHalfAge) * (isUnconfirmed(state, now) ? 1 : kConfirmedReportWeight) : 0;
    if (!answer && !report) {
        return typicalOthers;
    }
    const auto &sample = answerWeight >= reportWeight ? *answer : *report;
    const auto weight = std::max(answerWeight, reportWeight) * static_cast<double>(state.trust.load(kRelaxed));
    const auto others = std::max(0.0, static_cast<double>(std::min(sample.load, kMaxCredibleLoad)) * slots - sample.ownCalls);
    return weight * others + (1 - weight) * typicalOthers;
}

bool isUnconfirmed(const endpoint_state &state, mono_time now)
{
    const auto lastNs = std::max(state.lastAttemptEndNs.load(kRelaxed), state.firstSeen().time_since_epoch().count());
    return state.inFlight.load(kRelaxed) == 0 && now.time_since_epoch().count() - lastNs > kMaxConfirmationAge.count();
}

double expectedLatencyNs(const endpoint_state &state, std::int64_t medianNs, mono_time now)
{
    const auto ownNs = state.latencyNs.load(kRelaxed);
    const auto median = static_cast<double>(std::max<std::int64_t>(1, medianNs));
    if (ownNs == 0) {
        return median;
    }
    const auto weight = weightOf(now - mono_time(nanoseconds(state.lastAttemptEndNs.load(kRelaxed))), kLatencyHalfAge);
    return medianNs == 0 ? static_cast<double>(ownNs) : weight * static_cast<double>(ownNs) + (1 - weight) * median;
}

} // namespace sequoiawharf
