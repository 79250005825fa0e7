#pragma once

#include "sequoiawharf/admission.h"
#include "sequoiawharf/attempt.h"
#include "sequoiawharf/call_record.h"
#include "sequoiawharf/connection_plan.h"
#include "sequoiawharf/load_report.h"
#include "sequoiawharf/locality.h"
#include "sequoiawharf/pool_table.h"
#include "sequoiawharf/probe_choice.h"
#include "sequoiawharf/random_source.h"
#include "sequoiawharf/selection_policy.h"

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
struct pool_facts;

/// The decisions of one instance about one pool: whether a call may go, whom to call, and what to do when a call fails. Owns no socket, thread or
/// clock. All methods are thread safe and lock-free. A call uses one balancer from admit() to release(), whatever the configuration does.
class pool_balancer
{
public:
    /// Threads are numbered below this in waitStarted().
    static constexpr unsigned kMaxThreads = 256;

    /// Takes over the state of the pool and of the endpoints that previous also had; previous may be null. Precondition: policy is not null.
    pool_balancer(const pool &definition, const locality &place, std::shared_ptr<const selection_policy> policy, const pool_balancer *previous, mono_time now);

    const pool &definition() const
    {
        return m_definition;
    }

    /// Decides whether the call may go now. Admitted: call release() once when the call has ended, with all its attempts. Wait: see call_queue.
    admission admit(const call_profile &call, mono_time now) const;

    /// Takes a place for a call that waits; false when there is none.
    bool admitWaiting() const;

    /// Gives back a place. Returns the thread to wake, if calls wait for it.
    std::optional<unsigned> release() const;

    /// Counts a call as waiting on the thread. Run step 2 of call_queue after it. Precondition: thread < kMaxThreads.
    void waitStarted(unsigned thread) const;

    /// Counts a call as no longer waiting on the thread; moreWaiting: the thread's queue still holds calls. Returns another thread to wake, if a
    /// place is free that it waits for.
    std::optional<unsigned> waitEnded(unsigned thread, bool moreWaiting) const;

    /// Returns the time that an answer needs at least, for call_queue; zero when unknown.
    std::chrono::nanoseconds leastLatency() const;

    /// Returns the time that a call takes at an idle endpoint; zero when unknown.
    std::chrono::nanoseconds unloadedLatency() const;

    /// Returns the endpoint for the next attempt, or nothing when none is fit in this region. tried: endpoints that this call has been at, in
    /// order; they are left out, and so is the last one's data centre when it looks bad and another is fit.
    std::optional<std::uint32_t> choose(const call_profile &call, std::span<const std::uint32_t> tried, mono_time now, random_source &random) const;

    /// Tells whether the call should rather go to an instance of another region if one can take it, since no endpoint here or too few look fit.
    bool prefersRelay(random_source &random) const;

    /// Returns the state of an endpoint. Precondition: index is below the number of endpoints of definition().
    endpoint_state &at(std::uint32_t index) const
    {
        return *m_endpoints[index];
    }

    /// Returns the index of the endpoint at an address, or nothing.
    std::optional<std::uint32_t> find(const host_port &address) const;

    /// Returns up to count endpoints at a distance to ask for their load before a call is sent, at random. left out: those in excluded and those
    /// that leave; ejected ones are named only when there is no other.
    std::vector<std::uint32_t>
    probeCandidates(distance distanceClass, std::size_t count, std::span<const std::uint32_t> excluded, mono_time now, random_source &random) const;

    /// Takes the end of a probe.
    void probeEnded(std::uint32_t index, probe_end end, mono_time now) const;

    /// Returns how far the endpoint is. Precondition: index is below the number of endpoints of definition().
    distance distanceOf(std::uint32_t index) const
    {
        return m_distances[index];
    }

    /// Counts a call that is not admitted by admit(), for what the fleet may repeat.
    void callStarted(mono_time now) const;

    /// Counts an attempt at the endpoint as in flight until attemptEnded().
    void attemptStarted(std::uint32_t index, mono_time now) const;

    /// Takes the evidence of an attempt. Each attemptStarted() has exactly one attemptEnded(). Relays are not reported here.
    void attemptEnded(std::uint32_t index, const attempt_outcome &outcome, mono_time now) const;

    /// Decides what follows an attempt that gave nothing to hand on, after record.attemptEnded(). Retry has drawn on the pool's budget.
    next_step afterFailure(const call_profile &call, const call_record &record, mono_time now) const;

    /// Decides what follows when choose() gave nothing.
    next_step afterNoTarget(const call_profile &call, const call_record &record, mono_time now) const;

    /// Returns how long to wait for an answer before a second attempt beside the first, or nothing when the call is not to be hedged.
    std::optional<std::chrono::nanoseconds> hedgeDelay(const call_profile &call, mono_time now) const;

    /// Returns the time without a byte of an answer after which a reused connection is suspected to be silent for good.
    std::chrono::nanoseconds stallTimeout() const;

    /// Draws on the pool's budget for a hedge that is due now. False: send none.
    bool admitHedge(const call_profile &call, const call_record &record, mono_time now) const;

    /// Returns what this instance may hold open to the endpoint.
    connection_plan connections(std::uint32_t index) const;

    /// Takes what a probe or another instance said of an endpoint; an address that the pool lacks is ignored.
    void applyReport(const host_port &address, const load_report &report, mono_time now) const;

    /// Sends no new work to the endpoint from now on; an address that the pool lacks is ignored.
    void markLeaving(const host_port &address, mono_time now) const;

    /// Returns what this instance sees of the pool's endpoints in a data centre. Cost grows with the number of endpoints.
    pool_facts facts(const data_centre_id &centre, mono_time now) const;

    /// Returns the endpoints of which this instance learned at since or later that they leave, other than by the table. Precondition: since is later
    /// than the clock's epoch. Cost grows with the number of endpoints.
    std::vector<leaving_notice> leavingSince(mono_time since, mono_time now) const;

    /// Returns the pool's state, for metrics and tests.
    const pool_state &state() const
    {
        return *m_state;
    }

private:
    static std::shared_ptr<endpoint_state> stateFor(const endpoint &member, const pool_balancer *previous, mono_time now);
    bool looksBadAround(std::uint32_t index, mono_time now) const;
    void countCall(const call_profile &call, mono_time now) const;
    bool takeRepeat(const call_profile &call, mono_time now) const;
    static unsigned mostAttempts(const call_profile &call);

    pool m_definition;
    std::shared_ptr<const selection_policy> m_policy;
    std::shared_ptr<pool_state> m_state;
    std::vector<std::shared_ptr<endpoint_state>> m_endpoints;
    std::vector<std::uint32_t> m_members; // indices of the endpoints that this instance calls
    std::vector<distance> m_distances; // of all endpoints
    unsigned m_instances;
};

} // namespace sequoiawharf
