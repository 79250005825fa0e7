#include "src/balance/candidate_sampler.h"

#include <algorithm>
#include <chrono>

namespace sequoiawharf
{

namespace
{

constexpr unsigned kDrawsPerCandidate = 3;
// Chance of an endpoint in slow start to be one of the candidates, relative to its ramp share of an equal chance. Such an endpoint is idle, so it wins
// whenever it is a candidate.
constexpr double kRampingChanceFactor = 2;
constexpr double kTrialChance = 0.25; // share of selections that may pick an endpoint on trial

bool contains(std::span<const std::uint32_t> indices, std::uint32_t index)
{
    return std::ranges::find(indices, index) != indices.end();
}

} // namespace

std::span<const std::uint32_t>
candidate_sampler::draw(const selection_sampling &sampling, const sampling_rules &rules, std::uint32_t turn, random_source &random)
{
    m_count = 0;
    if (m_members.empty()) {
        return {};
    }
    const auto size = static_cast<std::uint32_t>(m_members.size());
    m_randomFraction = random.unit();
    m_wanted = std::min<std::size_t>({sampling.count, size, selection_policy::kMaxCandidates});
    if (rules.allowed != kAllCentres) {
        sampleAll(rules, random);
        return {m_drawn.data(), m_count};
    }
    if (sampling.inRotation) {
        scanFrom(turn % size, m_wanted, rules);
        return {m_drawn.data(), m_count};
    }
    for (unsigned i = 0; i < kDrawsPerCandidate * m_wanted && m_count < m_wanted; ++i) {
        const auto index = m_members[random.below(size)];
        if (!contains({m_drawn.data(), m_count}, index) && accepts(index, rules)) {
            m_drawn[m_count++] = index;
        }
    }
    if (m_count == 0) {
        scanFrom(random.below(size), 1, rules);
    }
    return {m_drawn.data(), m_count};
}

bool candidate_sampler::accepts(std::uint32_t index, const sampling_rules &rules) const
{
    const auto &state = *m_endpoints[index];
    if ((m_centres[index] & rules.allowed) == 0) {
        return false;
    }
    if (contains(rules.tried, index) || (rules.avoidedDataCentre != nullptr && state.definition().dataCentre == *rules.avoidedDataCentre)) {
        return false;
    }
    switch (fitnessOf(state, m_now)) {
    case fitness::Fit:
        return rules.acceptEjected || m_randomFraction < returnShare(state, m_now);
    case fitness::Ramping:
        return rules.acceptEjected || rules.acceptRamping || m_randomFraction < rampShare(state, m_now) * kRampingChanceFactor / static_cast<double>(m_wanted);
    case fitness::Trial:
        return rules.acceptEjected || (m_randomFraction < kTrialChance && mayTakeTrialCall(state, rules.mayRunTwice, m_now));
    case fitness::Ejected:
        return rules.acceptEjected;
    case fitness::Unreachable:
    case fitness::Resting:
    case fitness::Leaving:
        return false;
    }
    return false;
}

// Draws with equal chances from all accepted members. The endpoints of a data centre are often neighbours in the pool, so a scan from a random position
// would prefer the first of them.
void candidate_sampler::sampleAll(const sampling_rules &rules, random_source &random)
{
    std::uint32_t accepted = 0;
    std::ranges::for_each(m_members, [&](std::uint32_t index) {
        if (!accepts(index, rules)) {
            return;
        }
        ++accepted;
        if (m_count < m_wanted) {
            m_drawn[m_count++] = index;
        } else if (const auto position = random.below(accepted); position < m_wanted) {
            m_drawn[position] = index;
        }
    });
}

void candidate_sampler::scanFrom(std::size_t position, std::size_t wanted, const sampling_rules &rules)
{
    for (std::size_t i = 0; i < m_members.size() && m_count < wanted; ++i) {
        const auto index = m_members[(position + i) % m_members.size()];
        if (accepts(index, rules)) {
            m_drawn[m_count++] = index;
        }
    }
}

} // namespace sequoiawharf
