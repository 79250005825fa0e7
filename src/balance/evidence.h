#pragma once

#include "sequoiawharf/attempt.h"
#include "sequoiawharf/endpoint_state.h"
#include "sequoiawharf/load_report.h"
#include "src/balance/load_sample.h"

#include <cstdint>
#include <optional>

namespace sequoiawharf
{

/// Records the outcome of an attempt in the latency, load, trust and refusal backoff of its endpoint. medianNs: median latency of the pool's endpoints
/// in nanoseconds; 0 means unknown. Thread safe.
void recordEvidence(endpoint_state &state, const attempt_outcome &outcome, std::int64_t medianNs, mono_time now);

/// Records a load report about an endpoint from a probe or another instance. Thread safe.
void recordReport(endpoint_state &state, const load_report &report, mono_time now);

/// Returns the newest load that the endpoint reported, on an answer, on its load page or through another instance; nothing when there is none. Thread
/// safe.
std::optional<load_sample> newestSample(const endpoint_state &state);

/// Returns the estimated number of the other instances' calls at the endpoint: a mean of the reported load with the greatest weight and of
/// typicalOthers. The weight of a report falls with its age and rises with the trust in the endpoint. While own calls confirm the endpoint, a load from
/// probes or other instances has little weight: all instances know it and would react to it at once. Thread safe.
double expectedOthers(const endpoint_state &state, double typicalOthers, std::uint32_t slots, mono_time now);

/// Returns whether no own call has recently been able to confirm the endpoint's reported load. Thread safe.
bool isUnconfirmed(const endpoint_state &state, mono_time now);

/// Returns the expected latency of the endpoint's answers in nanoseconds: the mean of own calls, which tends to the pool's median as it ages. Thread
/// safe.
double expectedLatencyNs(const endpoint_state &state, std::int64_t medianNs, mono_time now);

} // namespace sequoiawharf
