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

/// The state of one pool as a whole at one instance. Shared by all threads. It outlives configuration changes as long as the pool exists.
class pool_state
{
public:
    concurrency_limit limit;
    retry_budget budget; ///< Budget of this instance alone; unused when fleetBudget is set.
    fleet_repeat_budget fleetBudget;
    fleet_repeat_budget hedgeBudget; ///< Limits hedges besides the other budgets, while it is set.
    fair_share callers;
    waiting_threads waiting;
    latency_profile latencies;

    std::atomic<std::int64_t> reviewDueNs {0}; ///< Time at which the next reviewPool() is due.
    std::atomic<bool> isInReview {false}; ///< A thread is in reviewPool().
    std::atomic<std::uint32_t> reviews {0}; ///< Count since the start.
    std::atomic<std::int64_t> unloadedLatencyNs {0}; ///< Moving average of the latency of a call at an idle endpoint; 0 means unknown.
    std::atomic<std::int64_t> medianLatencyNs {0}; ///< Median of the latencies of own calls by endpoint; 0 means unknown.
    std::atomic<float> typicalLoad {0}; ///< Median of the loads that endpoints reported recently.
    std::atomic<bool> panic {false}; ///< Too few endpoints are healthy, so ejections are ignored.
    std::atomic<bool> isMostlyRamping {false}; ///< So many endpoints are in slow start that the others cannot carry the load; they get calls like the others.
    std::atomic<std::uint32_t> rotation {0}; ///< Position of the next endpoint for policies that sample in rotation.

    std::atomic<std::uint64_t> ejections {0}; ///< Count since the start.
    std::atomic<std::uint64_t> retries {0}; ///< Count since the start.
    std::atomic<std::uint64_t> hedges {0}; ///< Count since the start.
};

} // namespace sequoiawharf
