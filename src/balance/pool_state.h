#pragma once

#include "sequoiawharf/fleet_repeat_budget.h"
#include "src/balance/concurrency_limit.h"
#include "src/balance/fair_share.h"
#include "src/balance/latency_profile.h"
#include "src/balance/retry_budget.h"
#include "src/balance/waiting_threads.h"

#include <atomic>
#include <cstdint>

namespace sequoiawharf
{

/// What one instance knows of one pool as a whole. Shared by all threads; it outlives configuration changes as long as the pool stays.
class pool_state
{
public:
    concurrency_limit limit;
    retry_budget budget; ///< Of this instance alone; unused when fleet is set.
    fleet_repeat_budget fleetSize;
    fair_share callers;
    waiting_threads waiting;
    latency_profile latencies;

    std::atomic<std::int64_t> reviewDueNs {0}; ///< Time of the next reviewPool().
    std::atomic<bool> isInReview {false};
    std::atomic<std::uint32_t> reviews {0}; ///< Count since the start.
    std::atomic<std::int64_t> workNs {0}; ///< Moving mean of the time that a call takes at an idle endpoint; 0: unknown.
    std::atomic<std::int64_t> medianLatencyNs {0}; ///< Median of the endpoints' own latencies; 0: unknown.
    std::atomic<float> typicalLoad {0}; ///< Median of the loads that endpoints reported of late.
    std::atomic<bool> panic {false}; ///< Too few endpoints are fit: ejections are ignored.
    std::atomic<bool> mostlyCold {false}; ///< So many endpoints are ramping that the others cannot spare them.
    std::atomic<std::uint32_t> rotation {0}; ///< Next endpoint for policies that take them in turn.

    std::atomic<std::uint64_t> ejections {0}; ///< Count since the start.
    std::atomic<std::uint64_t> retries {0}; ///< Count since the start.
    std::atomic<std::uint64_t> hedges {0}; ///< Count since the start.
};

} // namespace sequoiawharf
