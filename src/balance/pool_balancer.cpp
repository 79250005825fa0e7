#include "sequoiawharf/pool_balancer.h"

#include "sequoiawharf/pool_sums.h"
#include "src/balance/candidate_sampler.h"
#include "src/balance/evidence.h"
#include "src/balance/pool_review.h"
#include "src/balance/pool_state.h"
#include "src/balance/subset.h"
#include "src/base/relaxed.h"

#include <algorithm>
#include <cassert>
#include <ranges>

namespace sequoiawharf
{

namespace
{

constexpr std::size_t kDataCentreSample = 16; // the pool's endpoints are sampled with a stride that yields about this many
constexpr float kUnhealthyFailureShare = 0.3F; // share of failed own attempts from which an endpoint counts as unhealthy
constexpr std::size_t kMaxDeparted = 1024; // endpoints of a pool whose word is kept after they left the table
constexpr double kUnhealthyShare = 0.5; // share of unhealthy endpoints from which a data centre counts as unhealthy

// Divides the latency by the slowdown expected from the endpoint's load, so that the mean estimates the latency at an idle endpoint.
void updateUnloadedLatency(pool_state &state, const attempt_outcome &outcome)
{
    if (outcome.expectedSlowdown <= 0) {
        return;
    }
    constexpr std::int64_t kWeightParts = 16; // a new sample has a weight of 1/16
    const auto sample = static_cast<std::int64_t>(static_cast<double>(outcome.latency.count()) / outcome.expectedSlowdown);
    const auto old = state.unloadedLatencyNs.load(kRelaxed);
    state.unloadedLatencyNs.store(old == 0 ? sample : old + (sample - old) / kWeightParts, kRelaxed);
}

bool isSameProcess(const endpoint &first, const endpoint &second)
{
    return first.address == second.address && first.dataCentre == second.dataCentre && first.identity == second.identity
           && first.incarnation == second.incarnation && first.slots == second.slots;
}

// Returns whether an endpoint takes part in a choice, which it does with a growing chance after a rest.
bool isInReturnShare(const endpoint_state &state, mono_time now, random_source &random)
{
    const auto share = returnShare(state, now);
    return share >= 1 || random.unit() < share;
}

pool sorted(pool definition)
{
    std::ranges::sort(definition.endpoints, {}, &endpoint::address);
    return definition;
}

distance distanceFrom(const locality &place, const data_centre_id &centre)
{
    if (centre == place.dataCentre) {
        return distance::DataCentre;
    }
    const bool isNear = place.ownRegion.empty() || std::ranges::find(place.ownRegion, centre) != place.ownRegion.end();
    return isNear ? distance::Region : distance::Far;
}

bool looksUnhealthy(const endpoint_state &state, mono_time now)
{
    const auto fit = fitnessOf(state, now);
    return fit != fitness::Fit && fit != fitness::Ramping ? true : state.failureShare.load(kRelaxed) >= kUnhealthyFailureShare;
}

} // namespace

pool_balancer::pool_balancer(
    const pool &definition, const locality &place, std::shared_ptr<const selection_policy> policy, const pool_balancer *previous, mono_time now)
    : m_definition(sorted(definition))
    , m_policy(std::move(policy))
    , m_state(previous == nullptr ? std::make_shared<pool_state>() : previous->m_state)
    , m_members(chooseMembers(m_definition, place))
    , m_limits(place.limits)
    , m_reachable(reachableEndpoints(m_definition, place))
    , m_instances(std::max(1U, place.instances))
{
    assert(m_policy != nullptr);
    m_endpoints.reserve(m_definition.endpoints.size());
    std::ranges::transform(m_definition.endpoints, std::back_inserter(m_endpoints), [&](const endpoint &member) {
        return stateFor(member, previous, now);
    });
    if (previous != nullptr) {
        keepDeparted(*previous, now);
        markRemoved(*previous);
    }
    const auto serving = m_members.empty() ? m_endpoints.size() : m_members.size();
    std::ranges::transform(m_definition.endpoints, std::back_inserter(m_distances), [&](const endpoint &member) {
        return distanceFrom(place, member.dataCentre);
    });
    std::ranges::transform(m_definition.endpoints, std::back_inserter(m_centres), [&](const endpoint &member) {
        return m_limits ? m_limits->maskOf(member.dataCentre) : kAllCentres;
    });
    const auto centreOf = [&](std::uint32_t index) {
        return m_definition.endpoints[index].leaving ? centre_mask {0} : m_centres[index];
    };
    for (std::uint32_t index = 0; index < m_centres.size(); ++index) {
        m_allCentres |= centreOf(index);
    }
    std::ranges::for_each(m_members, [&](std::uint32_t index) {
        m_memberCentres |= centreOf(index);
    });
    std::ranges::for_each(m_reachable, [&](std::uint32_t index) {
        m_centresAt[static_cast<std::size_t>(m_distances[index])] |= centreOf(index);
    });
    m_state->fleetBudget.setLimits(place.repeats, std::max(1U, place.fleetSize));
    const repeat_limits hedges {.ratio = place.hedging.ratio, .slack = 0, .window = place.repeats.window};
    m_state->hedgeBudget.setLimits(hedges, 1);
    m_state->latencies.setSlowShare(place.hedging.ratio);
    m_state->limit.setRange(static_cast<std::uint32_t>(serving) * m_definition.slots, m_instances);
}

// Returns the state that previous holds for the endpoint, or a new one. An endpoint that the table newly marks as leaving keeps its state; one whose
// mark is removed gets a new one, unless the endpoint itself has said that it is leaving. A rest is kept in any case.
std::shared_ptr<endpoint_state> pool_balancer::stateFor(const endpoint &member, const pool_balancer *previous, mono_time now)
{
    const auto old = previous == nullptr ? nullptr : previous->findProcess(member);
    const bool isMarkRemoved = old && old->isLeavingInTable.load(kRelaxed) && !member.leaving;
    const bool isKept = old && (!isMarkRemoved || old->hasSaidLeaving.load(kRelaxed));
    auto state = isKept ? old : std::make_shared<endpoint_state>(member, now);
    if (old && !isKept) {
        state->restUntilNs.store(old->restUntilNs.load(kRelaxed), kRelaxed);
    }
    if (!isKept && previous != nullptr) {
        state->rampStartNs.store(std::max<std::int64_t>(1, now.time_since_epoch().count()), kRelaxed);
    }
    state->isLeavingInTable.store(member.leaving, kRelaxed);
    if (member.leaving) {
        recordLeaving(*state, now);
    }
    return state;
}

// Returns the state of the endpoint's process, also when it has left the table and its word is kept; null when it is not known.
std::shared_ptr<endpoint_state> pool_balancer::findProcess(const endpoint &member) const
{
    if (const auto index = find(member.address); index && isSameProcess(m_definition.endpoints[*index], member)) {
        return m_endpoints[*index];
    }
    const auto found = std::ranges::find_if(m_departed, [&](const auto &state) {
        return isSameProcess(state->definition(), member);
    });
    return found == m_departed.end() ? nullptr : *found;
}

// Keeps the endpoints of the previous balancer that are not in the table any more and have said that they leave or rest. An entry may lapse and come back
// while its endpoint is alive.
void pool_balancer::keepDeparted(const pool_balancer &previous, mono_time now)
{
    const auto mustKeep = [&](const std::shared_ptr<endpoint_state> &state) {
        const bool isResting = now.time_since_epoch().count() < state->restUntilNs.load(kRelaxed); // fitnessOf() says Leaving once the endpoint is removed
        const bool hasSaidSo = state->hasSaidLeaving.load(kRelaxed) || isResting;
        return hasSaidSo && !find(state->definition().address);
    };
    std::ranges::copy_if(previous.m_departed, std::back_inserter(m_departed), mustKeep);
    std::ranges::copy_if(previous.m_endpoints, std::back_inserter(m_departed), mustKeep);
    if (m_departed.size() > kMaxDeparted) {
        m_departed.erase(m_departed.begin(), m_departed.end() - kMaxDeparted);
    }
}

// Returns whether the table has the endpoint's process.
bool pool_balancer::lists(const endpoint_state &state) const
{
    const auto index = find(state.definition().address);
    return index && isSameProcess(m_definition.endpoints[*index], state.definition());
}

// Marks the endpoints of earlier balancers that are not in the table any more, and removes the mark of those that have come back to it.
void pool_balancer::markRemoved(const pool_balancer &previous)
{
    m_removed = previous.m_removed;
    std::ranges::copy_if(previous.m_endpoints, std::back_inserter(m_removed), [this](const auto &state) {
        return !lists(*state);
    });
    std::erase_if(m_removed, [this](const std::weak_ptr<endpoint_state> &item) {
        const auto state = item.lock();
        const bool isListed = state && lists(*state);
        if (state) {
            state->isRemoved.store(!isListed, kRelaxed);
        }
        return !state || isListed;
    });
}

centre_mask pool_balancer::evacuated() const
{
    return m_limits ? m_limits->evacuated() : 0;
}

centre_mask pool_balancer::allowedCentres(const call_profile &call) const
{
    return call.centres & ~evacuated();
}

bool pool_balancer::isExcluded(const call_profile &call) const
{
    const auto allowed = allowedCentres(call);
    return allowed != kAllCentres && (allowed & m_allCentres) == 0;
}

bool pool_balancer::hasEndpointsAt(distance distanceClass, const call_profile &call) const
{
    return (m_centresAt[static_cast<std::size_t>(distanceClass)] & allowedCentres(call)) != 0;
}

centre_mask pool_balancer::servingCentres(const call_profile &call) const
{
    const auto serving = call.centres & m_allCentres;
    return serving == m_allCentres ? kAllCentres : serving;
}

// Returns the endpoints among which a call chooses: the members, or all endpoints that this instance may call when no member is in an allowed data centre.
std::span<const std::uint32_t> pool_balancer::membersFor(centre_mask allowed) const
{
    return allowed == kAllCentres || (m_memberCentres & allowed) != 0 ? m_members : m_reachable;
}

std::optional<std::uint32_t> pool_balancer::choose(const call_profile &call, std::span<const std::uint32_t> tried, mono_time now, random_source &random) const
{
    const auto sampling = m_policy->sampling();
    const auto turn = sampling.inRotation ? m_state->rotation.fetch_add(1, kRelaxed) : 0;
    const auto allowed = allowedCentres(call);
    candidate_sampler sampler(m_endpoints, m_centres, membersFor(allowed), now);
    sampling_rules rules {.tried = tried,
                          .allowed = allowed,
                          .mayRunTwice = call.idempotent && call.replayable,
                          .acceptRamping = m_state->isMostlyRamping.load(kRelaxed),
                          .acceptEjected = m_state->panic.load(kRelaxed)};
    if (!tried.empty() && isDataCentreUnhealthy(tried.back(), now)) {
        rules.avoidedDataCentre = &m_endpoints[tried.back()]->definition().dataCentre;
    }
    auto eligible = sampler.draw(sampling, rules, turn, random);
    if (eligible.empty()) {
        rules.avoidedDataCentre = nullptr;
        rules.acceptEjected = true;
        eligible = sampler.draw(sampling, rules, turn, random);
    }
    if (eligible.empty()) {
        return std::nullopt;
    }
    const selection_candidates candidates {
        .endpoints = m_endpoints,
        .eligible = eligible,
        .slots = m_definition.slots,
        .instances = m_instances,
        .typicalLoad = m_state->typicalLoad.load(kRelaxed),
        .medianLatencyNs = m_state->medianLatencyNs.load(kRelaxed),
    };
    return m_policy->choose(candidates, now, random);
}

std::vector<std::uint32_t>
pool_balancer::probeCandidates(distance distanceClass, std::size_t count, std::span<const std::uint32_t> excluded, mono_time now, random_source &random) const
{
    return probeCandidates({}, distanceClass, count, excluded, now, random);
}

std::vector<std::uint32_t> pool_balancer::probeCandidates(
    const call_profile &call, distance distanceClass, std::size_t count, std::span<const std::uint32_t> excluded, mono_time now, random_source &random) const
{
    const auto allowed = allowedCentres(call);
    std::vector<std::uint32_t> fit;
    std::vector<std::uint32_t> returning; // from a rest; left out of this choice unless there are no others
    std::vector<std::uint32_t> ejected;
    std::ranges::for_each(membersFor(allowed), [&](std::uint32_t index) {
        if (m_distances[index] != distanceClass || (m_centres[index] & allowed) == 0 || std::ranges::find(excluded, index) != excluded.end()) {
            return;
        }
        switch (fitnessOf(*m_endpoints[index], now)) {
        case fitness::Fit:
        case fitness::Ramping:
        case fitness::Trial:
            return (isInReturnShare(*m_endpoints[index], now, random) ? fit : returning).push_back(index);
        case fitness::Ejected:
        case fitness::Unreachable:
            return ejected.push_back(index);
        case fitness::Resting:
        case fitness::Leaving:
            return;
        }
    });
    auto &available = fit.empty() ? returning : fit;
    auto &candidates = available.empty() ? ejected : available;
    const auto wanted = std::min(count, candidates.size());
    for (std::size_t i = 0; i < wanted; ++i) {
        std::swap(candidates[i], candidates[i + random.below(static_cast<std::uint32_t>(candidates.size() - i))]);
    }
    candidates.resize(wanted);
    return candidates;
}

bool pool_balancer::mayTakeRequests(std::uint32_t index, mono_time now) const
{
    return (m_centres[index] & evacuated()) == 0 && sequoiawharf::mayTakeRequests(*m_endpoints[index], now);
}

void pool_balancer::recordAvailability(std::uint32_t index, const endpoint_availability &stated, mono_time now) const
{
    sequoiawharf::recordAvailability(*m_endpoints[index], stated, now);
}

std::optional<mono_time> pool_balancer::firstRestEnd(mono_time now, const call_profile &call) const
{
    const auto allowed = allowedCentres(call);
    std::optional<std::int64_t> firstNs;
    const bool mayNoneServe = std::ranges::none_of(membersFor(allowed), [&](std::uint32_t index) {
        if ((m_centres[index] & allowed) == 0) {
            return false;
        }
        const auto fit = fitnessOf(*m_endpoints[index], now);
        if (fit == fitness::Resting) {
            const auto endNs = m_endpoints[index]->restUntilNs.load(kRelaxed);
            firstNs = std::min(firstNs.value_or(endNs), endNs);
        }
        return fit != fitness::Resting && fit != fitness::Leaving;
    });
    return mayNoneServe && firstNs ? std::optional(mono_time(std::chrono::nanoseconds(*firstNs))) : std::nullopt;
}

void pool_balancer::probeEnded(std::uint32_t index, probe_end end, mono_time now) const
{
    recordProbe(*m_endpoints[index], end, now);
}

void pool_balancer::callStarted(mono_time now) const
{
    m_state->fleetBudget.callStarted(now);
    m_state->hedgeBudget.callStarted(now);
}

// Returns whether at least kUnhealthyShare of a sample of the endpoints in the same data centre look unhealthy.
bool pool_balancer::isDataCentreUnhealthy(std::uint32_t index, mono_time now) const
{
    const auto &centre = m_endpoints[index]->definition().dataCentre;
    const auto stride = std::max<std::size_t>(1, m_members.size() / kDataCentreSample);
    std::size_t sampled = 0;
    std::size_t unhealthy = 0;
    for (std::size_t i = 0; i < m_members.size(); i += stride) {
        const auto &state = *m_endpoints[m_members[i]];
        if (state.definition().dataCentre == centre) {
            ++sampled;
            unhealthy += looksUnhealthy(state, now) ? 1 : 0;
        }
    }
    return sampled > 0 && static_cast<double>(unhealthy) >= kUnhealthyShare * static_cast<double>(sampled);
}

endpoint_load pool_balancer::assumedLoad(std::uint32_t index) const
{
    const auto &state = *m_endpoints[index];
    const auto stated = state.definition().slots;
    return {.running = state.inFlight.load(kRelaxed), .slots = std::max(1U, stated != 0 ? stated : m_definition.slots)};
}

bool pool_balancer::prefersRelay(random_source &random) const
{
    constexpr std::uint32_t kLocalCallOneIn = 16; // in panic mode one call in 16 stays in this region, to detect when the pool recovers
    return m_members.empty() || (m_state->panic.load(kRelaxed) && random.below(kLocalCallOneIn) != 0);
}

std::optional<std::uint32_t> pool_balancer::find(const host_port &address) const
{
    const auto position = std::ranges::lower_bound(m_definition.endpoints, address, {}, &endpoint::address);
    if (position == m_definition.endpoints.end() || position->address != address) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(position - m_definition.endpoints.begin());
}

void pool_balancer::attemptStarted(std::uint32_t index, mono_time /*now*/) const
{
    auto &state = *m_endpoints[index];
    const auto calls = state.inFlight.fetch_add(1, kRelaxed) + 1;
    if (calls > state.peakInFlight.load(kRelaxed)) {
        state.peakInFlight.store(calls, kRelaxed);
    }
}

void pool_balancer::attemptEnded(std::uint32_t index, const attempt_outcome &outcome, mono_time now) const
{
    auto &state = *m_endpoints[index];
    state.inFlight.fetch_sub(1, kRelaxed);
    const auto median = m_state->medianLatencyNs.load(kRelaxed);
    recordEvidence(state, outcome, median, now);
    recordHealth(state, outcome, median, now);
    if (outcome.end == attempt_end::Answered) {
        m_state->latencies.add(outcome.latency, now);
        updateUnloadedLatency(*m_state, outcome);
    }
    if (outcome.end == attempt_end::Answered || outcome.end == attempt_end::TimedOut) {
        m_state->limit.recordAnswer(outcome.latency, now);
    }
    if (outcome.end == attempt_end::Refused) {
        m_state->limit.recordRefusal(now);
    }
    if (isFailure(outcome.end) && isFailing(state, now) && !isEjected(state, now)) {
        m_state->reviewDueNs.store(0, kRelaxed);
    }
    reviewPool(*m_state, m_endpoints, m_members, now);
}

connection_plan pool_balancer::connections(std::uint32_t index) const
{
    return planConnections(m_definition.maxConnections, m_instances, m_endpoints[index]->peakInFlight.load(kRelaxed));
}

pool_totals pool_balancer::facts(const data_centre_id &centre, mono_time now) const
{
    pool_totals result {.pool = m_definition.name, .slots = m_definition.slots};
    std::ranges::for_each(m_endpoints, [&](const auto &state) {
        if (state->definition().dataCentre == centre) {
            const auto fit = fitnessOf(*state, now);
            result.endpoints += 1;
            result.fitEndpoints += fit == fitness::Fit || fit == fitness::Ramping ? 1 : 0;
            result.inFlight += state->inFlight.load(kRelaxed);
        }
    });
    return result;
}

std::vector<leaving_notice> pool_balancer::leavingSince(mono_time since, mono_time now) const
{
    std::vector<leaving_notice> notices;
    std::ranges::for_each(m_endpoints, [&](const auto &state) {
        const mono_time learned(std::chrono::nanoseconds(state->leavingSinceNs.load(kRelaxed)));
        // Only endpoints from discovery have an identity, and discovery tells all instances of those that leave.
        const bool isToldByDiscovery = state->hasSaidLeaving.load(kRelaxed) && !state->definition().identity.empty();
        if (learned >= since && !state->isLeavingInTable.load(kRelaxed) && !isToldByDiscovery) {
            notices.push_back({m_definition.name, state->definition().address, std::chrono::duration_cast<std::chrono::milliseconds>(now - learned)});
        }
    });
    return notices;
}

void pool_balancer::applyReport(const host_port &address, const load_report &report, mono_time now) const
{
    if (const auto index = find(address)) {
        recordReport(*m_endpoints[*index], report, now);
    }
}

void pool_balancer::markLeaving(const host_port &address, mono_time now) const
{
    if (const auto index = find(address)) {
        recordLeaving(*m_endpoints[*index], now);
    }
}

} // namespace sequoiawharf
