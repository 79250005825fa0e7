#pragma once

#include "sequoiawharf/endpoint_state.h"
#include "sequoiawharf/random_source.h"

#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace sequoiawharf
{

/// The candidates of one selection, with the figures of their pool.
struct selection_candidates {
    std::span<const std::shared_ptr<endpoint_state>> endpoints;
    std::span<const std::uint32_t> eligible; ///< Indices into endpoints: distinct, in the order of sampling, never empty.
    std::uint32_t slots = 4; ///< Calls that one endpoint serves in parallel.
    unsigned instances = 1; ///< Live instances that call the same endpoints.
    float typicalLoad = 0; ///< Median of the recently reported loads of the pool's endpoints.
    std::int64_t medianLatencyNs = 0; ///< Median of the latencies of own calls by endpoint; 0 means unknown.
};

/// The way in which candidates are drawn for a policy.
struct selection_sampling {
    unsigned count = 2; ///< Maximum number of candidates.
    bool inRotation = false; ///< Round robin over the pool instead of at random.
};

/// Selects an endpoint for an attempt. Implementations are thread safe and lock-free.
class selection_policy
{
public:
    static constexpr unsigned kMaxCandidates = 16;

    virtual ~selection_policy() = default;

    /// Returns the selected element of candidates.eligible, an index into candidates.endpoints.
    virtual std::uint32_t choose(const selection_candidates &candidates, mono_time now, random_source &random) const = 0;

    /// Returns how candidates are drawn for this policy; count is from 1 to kMaxCandidates.
    virtual selection_sampling sampling() const = 0;

    /// Returns the name that selects the policy in the settings.
    virtual std::string_view name() const = 0;
};

/// Returns a new policy of that name: "round-robin", "random", "two-choices" (by own calls in flight), "two-choices-reported" (by the newest reported
/// load) or "adaptive". Returns null for any other name. Thread safe.
std::unique_ptr<selection_policy> makeSelectionPolicy(std::string_view name);

} // namespace sequoiawharf
