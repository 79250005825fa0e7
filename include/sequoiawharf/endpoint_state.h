#pragma once

#include "sequoiawharf/pool_table.h"
#include "sequoiawharf/time.h"

#include <atomic>
#include <cstdint>

namespace sequoiawharf
{

/// The load, latency and health of one endpoint as one instance observes them. Shared by all threads: each member is a separate atomic, so a reader
/// may see an update of one member before that of another. The state outlives configuration changes as long as its endpoint stays in the pool.
/// Times are nanoseconds of mono_time; 0 means never.
class alignas(64) endpoint_state
{
public:
    endpoint_state(endpoint definition, mono_time now)
        : m_definition(std::move(definition))
        , m_firstSeen(now)
    {
    }

    const endpoint &definition() const
    {
        return m_definition;
    }
    mono_time firstSeen() const
    {
        return m_firstSeen;
    }

    // The members that each choice of an endpoint reads come first, so that they share one or two cache lines.
    std::atomic<std::int64_t> leavingSinceNs {0}; ///< Time at which this instance learned that the endpoint is leaving.
    std::atomic<bool> isRemoved {false}; ///< The newest pool table does not list the endpoint. Earlier balancers that calls still use see it here.
    std::atomic<std::int64_t> ejectedUntilNs {0}; ///< End of the ejection; trial calls follow it until the endpoint returns.
    std::atomic<std::int64_t> rampStartNs {0}; ///< Start of the slow start.
    std::atomic<std::int64_t> restUntilNs {0}; ///< End of the newest rest that the endpoint asked for; stays set afterwards.
    std::atomic<std::uint32_t> inFlight {0}; ///< Own calls in flight at the endpoint.
    std::atomic<float> trust {1}; ///< How far the loads that the endpoint reported agreed with the results of own calls, from 0 to 1.
    std::atomic<std::uint64_t> answerLoad {0}; ///< Packed load_sample: newest load reported on an answer.
    std::atomic<std::uint64_t> reportLoad {0}; ///< Packed load_sample: newest load from a probe or a shared report.
    std::atomic<std::int64_t> latencyNs {0}; ///< Moving average of the latencies of own calls; 0 before the first answer.
    std::atomic<std::int64_t> lastAttemptEndNs {0}; ///< Time at which the latest own attempt ended.

    std::atomic<std::int64_t> backoffUntilNs {0}; ///< End of the backoff after a refused call; until then the endpoint counts as full.
    std::atomic<bool> isLeavingInTable {false}; ///< The pool table marks the endpoint as leaving.
    std::atomic<bool> hasSaidLeaving {false}; ///< An answer of the endpoint itself stated that it is leaving.
    std::atomic<std::uint32_t> consecutiveRefusals {0}; ///< Refusals since the last answer.
    std::atomic<std::uint32_t> peakInFlight {0}; ///< Recent peak of own calls in flight; decays with the pool reviews.
    std::atomic<std::uint32_t> samples {0}; ///< Own attempts since the last ejection that were answered or failed.
    std::atomic<float> failureShare {0}; ///< Moving average of the share of own attempts that failed, from 0 to 1.
    std::atomic<std::uint32_t> connectFailures {0}; ///< Successive attempts and probes that could not reach the endpoint.
    std::atomic<std::uint32_t> ejections {0}; ///< Ejections since the endpoint last returned.
    std::atomic<std::uint32_t> trialsLeft {0}; ///< Successful trial calls still needed before the endpoint returns.

private:
    endpoint m_definition;
    mono_time m_firstSeen;
};

} // namespace sequoiawharf
