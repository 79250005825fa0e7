#pragma once

#include "sequoiawharf/admission.h"
#include "sequoiawharf/attempt.h"
#include "sequoiawharf/call_record.h"
#include "sequoiawharf/connection_plan.h"
#include "sequoiawharf/endpoint_availability.h"
#include "sequoiawharf/load_report.h"
#include "sequoiawharf/locality.h"
#include "sequoiawharf/placement_limits.h"
#include "sequoiawharf/pool_table.h"
#include "sequoiawharf/probe_choice.h"
#include "sequoiawharf/random_source.h"
#include "sequoiawharf/selection_policy.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace sequoiawharf
{

class pool_state;
struct leaving_notice;
struct pool_totals;

/// Load balancing of one instance for one pool: admission of calls, selection of endpoints, retries and hedges. Owns no socket, thread or clock. All
/// methods are thread safe and lock-free. A call uses the same balancer from admit() to release(), even when the configuration changes meanwhile.
class pool_balancer
{
public:
    /// Upper bound, exclusive, of the thread numbers passed to waitStarted().
    static constexpr unsigned kMaxThreads = 256;

    /// Continues with the state that previous holds of the pool and of the endpoints that both have; previous may be null. Endpoints that only previous or
    /// earlier balancers have get no more calls through these, until a later balancer has them again. Precondition: policy is not null.
    pool_balancer(const pool &definition, const locality &place, std::shared_ptr<const selection_policy> policy, const pool_balancer *previous, mono_time now);

    const pool &definition() const
    {
        return m_definition;
    }

    /// Decides whether the call may start now. After Admitted, call release() once, when the call and all its attempts have ended. For Wait see
    /// call_queue.
    admission admit(const call_profile &call, mono_time now) const;

    /// Acquires a permit for a waiting call. Returns false when none is free.
    bool admitWaiting() const;

    /// Releases a permit. Returns the number of a thread to wake when calls are waiting.
    std::optional<unsigned> release() const;

    /// Counts a call as waiting on the thread. The caller then runs step 2 of call_queue. Precondition: thread < kMaxThreads.
    void waitStarted(unsigned thread) const;

    /// Counts a call as no longer waiting on the thread. moreWaiting: the thread's queue still holds calls. Returns the number of another thread to
    /// wake when a permit is free and calls are waiting there. Precondition: thread < kMaxThreads.
    std::optional<unsigned> waitEnded(unsigned thread, bool moreWaiting) const;

    /// Returns the lowest recent latency of the pool's answers, the least time that a call needs; zero when unknown.
    std::chrono::nanoseconds leastLatency() const;

    /// Returns the average latency of a call at an idle endpoint; zero when unknown.
    std::chrono::nanoseconds unloadedLatency() const;

    /// Selects the endpoint for the call's next attempt, or nothing when no endpoint in this region can take it. tried: the endpoints of the call's
    /// earlier attempts, in order. They are excluded, and so is the data centre of the last one when it looks unhealthy and another one is available.
    std::optional<std::uint32_t> choose(const call_profile &call, std::span<const std::uint32_t> tried, mono_time now, random_source &random) const;

    /// Returns whether the call should go to an instance of another region, if one can take it, because no endpoint or too few of them are healthy
    /// here. In panic mode it draws at random, so that some calls still try this region.
    bool prefersRelay(random_source &random) const;

    /// Returns the load of an endpoint that reports none: the calls in flight of this instance, and the endpoint's slots. Precondition: index is below the
    /// number of endpoints of definition().
    endpoint_load assumedLoad(std::uint32_t index) const;

    /// Returns the state of an endpoint. Precondition: index is below the number of endpoints of definition().
    endpoint_state &at(std::uint32_t index) const
    {
        return *m_endpoints[index];
    }

    /// Returns the index of the endpoint at the address, or nothing when the pool has none.
    std::optional<std::uint32_t> find(const host_port &address) const;

    /// Returns up to count random endpoints at the distance that are to be probed before a call is sent. Leaves out the excluded, the leaving and the
    /// resting endpoints; returns ejected ones only when there are no others.
    /// call.centres applies.
    std::vector<std::uint32_t> probeCandidates(const call_profile &call,
                                               distance distanceClass,
                                               std::size_t count,
                                               std::span<const std::uint32_t> excluded,
                                               mono_time now,
                                               random_source &random) const;

    /// As above for a call without homes.
    std::vector<std::uint32_t>
    probeCandidates(distance distanceClass, std::size_t count, std::span<const std::uint32_t> excluded, mono_time now, random_source &random) const;

    /// Returns the data centres to which the call may be sent now: call.centres without the evacuated ones.
    centre_mask allowedCentres(const call_profile &call) const;

    /// Returns whether the call may be sent to the endpoint as far as its homes and evacuations decide. Precondition: index is below the number of
    /// endpoints of definition().
    bool mayUse(std::uint32_t index, const call_profile &call) const
    {
        return (m_centres[index] & allowedCentres(call)) != 0;
    }

    /// Returns whether homes or evacuations leave the call no endpoint of the pool, called by this instance or not.
    bool isExcluded(const call_profile &call) const;

    /// Returns whether this instance calls endpoints at the distance that homes and evacuations leave to the call.
    bool hasEndpointsAt(distance distanceClass, const call_profile &call) const;

    /// Returns call.centres as far as the pool has endpoints there, or all when they exclude none of the pool's endpoints. Two calls of one pool with equal
    /// results may use the same endpoints.
    centre_mask servingCentres(const call_profile &call) const;

    /// Returns whether the endpoint may get a request now: the newest pool table lists it, it has not said that it is leaving or wants
    /// a rest, and its data centre is not evacuated. Precondition: index is below the number of endpoints of definition().
    bool mayTakeRequests(std::uint32_t index, mono_time now) const;

    /// Records what an answer of the endpoint states about further calls. Precondition: index is below the number of endpoints of definition().
    void recordAvailability(std::uint32_t index, const endpoint_availability &stated, mono_time now) const;

    /// Returns when the first endpoint ends its rest, if no endpoint may take a request before; nothing when one may, or when all are leaving. The cost grows
    /// with the number of endpoints. Endpoints that the call may not use do not count.
    std::optional<mono_time> firstRestEnd(mono_time now, const call_profile &call = {}) const;

    /// Records the result of a probe. Precondition: index is below the number of endpoints of definition().
    void probeEnded(std::uint32_t index, probe_end end, mono_time now) const;

    /// Returns the distance of an endpoint from this instance. Precondition: index is below the number of endpoints of definition().
    distance distanceOf(std::uint32_t index) const
    {
        return m_distances[index];
    }

    /// Counts a call that does not pass through admit() towards the fleet's budget of repeats.
    void callStarted(mono_time now) const;

    /// Counts an attempt at the endpoint as in flight until attemptEnded(). Precondition: index is below the number of endpoints of definition().
    void attemptStarted(std::uint32_t index, mono_time now) const;

    /// Records the outcome of an attempt in the health, load and latency of its endpoint and pool. Relays are not reported here. Precondition: one
    /// attemptStarted() for the endpoint has no attemptEnded() yet.
    void attemptEnded(std::uint32_t index, const attempt_outcome &outcome, mono_time now) const;

    /// Decides the next step of a call after an attempt without an answer to deliver. A decision to retry is charged to the budget of repeats.
    /// Precondition: record.attemptEnded() has been called for the attempt.
    next_step afterFailure(const call_profile &call, const call_record &record, mono_time now) const;

    /// Decides the next step of a call for which choose() found no endpoint.
    next_step afterNoTarget(const call_profile &call, const call_record &record, mono_time now) const;

    /// Returns the delay after which a hedge, a second attempt in parallel with the first, may be sent, or nothing when the call must not be hedged.
    std::optional<std::chrono::nanoseconds> hedgeDelay(const call_profile &call, mono_time now) const;

    /// Returns the time without a byte of an answer after which a reused connection is suspected to be dead.
    std::chrono::nanoseconds stallTimeout() const;

    /// Returns whether a hedge that is due now may be sent; if so, charges it to the budget of repeats.
    bool admitHedge(const call_profile &call, const call_record &record, mono_time now) const;

    /// Returns the number of connections that this instance may hold open to the endpoint. Precondition: index is below the number of endpoints of
    /// definition().
    connection_plan connections(std::uint32_t index) const;

    /// Records a load report about the endpoint at the address from a probe or another instance. An address that is not in the pool is ignored.
    void applyReport(const host_port &address, const load_report &report, mono_time now) const;

    /// Marks the endpoint at the address as leaving; it gets no new calls. An address that is not in the pool is ignored.
    void markLeaving(const host_port &address, mono_time now) const;

    /// Returns the totals of the pool's endpoints in a data centre as this instance observes them. The cost grows with the number of endpoints.
    pool_totals facts(const data_centre_id &centre, mono_time now) const;

    /// Returns the endpoints that this instance learned at since or later to be leaving, except those that the pool table marks as leaving and those from
    /// discovery that have said so themselves. The cost grows with the number of endpoints. Precondition: since is later than the clock's epoch.
    std::vector<leaving_notice> leavingSince(mono_time since, mono_time now) const;

    /// Returns the pool's state, for metrics and tests.
    const pool_state &state() const
    {
        return *m_state;
    }

private:
    static std::shared_ptr<endpoint_state> stateFor(const endpoint &member, const pool_balancer *previous, mono_time now);
    std::shared_ptr<endpoint_state> findProcess(const endpoint &member) const;
    void keepDeparted(const pool_balancer &previous, mono_time now);
    bool lists(const endpoint_state &state) const;
    void markRemoved(const pool_balancer &previous);
    centre_mask evacuated() const;
    std::span<const std::uint32_t> membersFor(centre_mask allowed) const;
    bool isDataCentreUnhealthy(std::uint32_t index, mono_time now) const;
    void countCall(const call_profile &call, mono_time now) const;
    bool drawRepeat(const call_profile &call, mono_time now) const;
    static unsigned attemptLimit(const call_profile &call);

    pool m_definition;
    std::shared_ptr<const selection_policy> m_policy;
    std::shared_ptr<pool_state> m_state;
    std::vector<std::shared_ptr<endpoint_state>> m_endpoints;
    std::vector<std::shared_ptr<endpoint_state>> m_departed; // endpoints that are not in the table any more, but whose word holds if they come back
    std::vector<std::weak_ptr<endpoint_state>> m_removed; // endpoints that are not in the table any more, while earlier balancers are in use
    std::vector<std::uint32_t> m_members; // indices of the endpoints that this instance calls, ascending
    std::vector<distance> m_distances; // of all endpoints, by index
    std::shared_ptr<const placement_limits> m_limits; // null: nothing is evacuated
    std::vector<centre_mask> m_centres; // of all endpoints, by index
    std::vector<std::uint32_t> m_reachable; // indices of all endpoints that this instance may call, of which m_members are a subset
    centre_mask m_allCentres = 0; // with endpoints that are not marked as leaving
    centre_mask m_memberCentres = 0; // with members that are not marked as leaving
    std::array<centre_mask, 3> m_centresAt {}; // with endpoints in m_reachable that are not marked as leaving, by distance
    unsigned m_instances;
};

} // namespace sequoiawharf
