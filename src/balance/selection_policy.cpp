#include "sequoiawharf/selection_policy.h"

#include "src/balance/adaptive_policy.h"
#include "src/balance/load_sample.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

class round_robin_policy final : public selection_policy
{
public:
    std::uint32_t choose(const selection_candidates &candidates, mono_time /*now*/, random_source & /*random*/) const override
    {
        return candidates.eligible.front();
    }
    selection_sampling sampling() const override
    {
        return {.count = 1, .inRotation = true};
    }
    std::string_view name() const override
    {
        return "round-robin";
    }
};

class random_policy final : public selection_policy
{
public:
    std::uint32_t choose(const selection_candidates &candidates, mono_time /*now*/, random_source & /*random*/) const override
    {
        return candidates.eligible.front();
    }
    selection_sampling sampling() const override
    {
        return {.count = 1};
    }
    std::string_view name() const override
    {
        return "random";
    }
};

// Selects the one of two random endpoints with fewer own calls in flight; the own latency breaks ties. See Mitzenmacher, "The power of two choices in
// randomized load balancing", 2001.
class two_choices_policy final : public selection_policy
{
public:
    std::uint32_t choose(const selection_candidates &candidates, mono_time /*now*/, random_source & /*random*/) const override
    {
        const auto rank = [&](std::uint32_t index) {
            const auto &state = *candidates.endpoints[index];
            return std::pair(state.inFlight.load(std::memory_order_relaxed), state.latencyNs.load(std::memory_order_relaxed));
        };
        return *std::ranges::min_element(candidates.eligible, {}, rank);
    }
    selection_sampling sampling() const override
    {
        return {.count = 2};
    }
    std::string_view name() const override
    {
        return "two-choices";
    }
};

// Selects the one of two random endpoints whose newest reported load is lower; own calls in flight break ties.
class two_choices_reported_policy final : public selection_policy
{
public:
    std::uint32_t choose(const selection_candidates &candidates, mono_time /*now*/, random_source & /*random*/) const override
    {
        const auto rank = [&](std::uint32_t index) {
            const auto &state = *candidates.endpoints[index];
            const auto answer = unpackSample(state.answerLoad.load(std::memory_order_relaxed)).value_or(load_sample {});
            const auto report = unpackSample(state.reportLoad.load(std::memory_order_relaxed)).value_or(load_sample {});
            return std::pair(report.at > answer.at ? report.load : answer.load, state.inFlight.load(std::memory_order_relaxed));
        };
        return *std::ranges::min_element(candidates.eligible, {}, rank);
    }
    selection_sampling sampling() const override
    {
        return {.count = 2};
    }
    std::string_view name() const override
    {
        return "two-choices-reported";
    }
};

} // namespace

std::unique_ptr<selection_policy> makeSelectionPolicy(std::string_view name)
{
    if (name == "round-robin") {
        return std::make_unique<round_robin_policy>();
    }
    if (name == "random") {
        return std::make_unique<random_policy>();
    }
    if (name == "two-choices") {
        return std::make_unique<two_choices_policy>();
    }
    if (name == "two-choices-reported") {
        return std::make_unique<two_choices_reported_policy>();
    }
    if (name == "adaptive") {
        return std::make_unique<adaptive_policy>();
    }
    return nullptr;
}

} // namespace sequoiawharf
