#pragma once

#include "sequoiawharf/placement_limits.h"
#include "sequoiawharf/selection_policy.h"
#include "src/balance/endpoint_health.h"

#include <array>
#include <cstdint>
#include <memory>
#include <span>

namespace sequoiawharf
{

/// The conditions that the endpoints of a sample satisfy.
struct sampling_rules {
    std::span<const std::uint32_t> tried; ///< Endpoints of earlier attempts; excluded.
    const data_centre_id *avoidedDataCentre = nullptr; ///< Endpoints of this data centre are excluded; null excludes none.
    centre_mask allowed = kAllCentres; ///< Only endpoints of these data centres are accepted.
    bool mayRunTwice = false; ///< The call is idempotent and replayable, so it may serve as a trial of an ejected endpoint.
    bool acceptRamping = false; ///< Accept ramping endpoints like any other.
    bool acceptEjected = false; ///< Accept every endpoint that is reachable and not leaving, ejected ones included.
};

/// Draws distinct endpoints from a pool without inspecting all of them. Used on one thread.
class candidate_sampler
{
public:
    /// centres: the data centre of each endpoint. Precondition: the spans outlive the sampler.
    candidate_sampler(std::span<const std::shared_ptr<endpoint_state>> endpoints,
                      std::span<const centre_mask> centres,
                      std::span<const std::uint32_t> members,
                      mono_time now)
        : m_endpoints(endpoints)
        , m_centres(centres)
        , m_members(members)
        , m_now(now)
    {
    }

    /// Draws up to sampling.count endpoints that satisfy the rules: in rotation from position turn on, otherwise at random. When the
    /// rules allow some data centres only, inspects all members and draws at random. The result is valid until the next call.
    std::span<const std::uint32_t> draw(const selection_sampling &sampling, const sampling_rules &rules, std::uint32_t turn, random_source &random);

private:
    bool accepts(std::uint32_t index, const sampling_rules &rules) const;
    void sampleAll(const sampling_rules &rules, random_source &random);
    void scanFrom(std::size_t position, std::size_t wanted, const sampling_rules &rules);

    std::span<const std::shared_ptr<endpoint_state>> m_endpoints;
    std::span<const centre_mask> m_centres;
    std::span<const std::uint32_t> m_members;
    mono_time m_now;
    std::array<std::uint32_t, selection_policy::kMaxCandidates> m_drawn {};
    std::size_t m_count = 0;
    std::size_t m_wanted = 0;
    // One random number from 0 to 1 decides for all endpoints of a draw, so that drawing an endpoint again does not raise its chance.
    double m_randomFraction = 0;
};

} // namespace sequoiawharf
