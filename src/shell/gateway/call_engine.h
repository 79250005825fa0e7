#pragma once

#include "sequoiawharf/probe_budget.h"
#include "sequoiawharf/random_source.h"
#include "sequoiawharf/stop_plan.h"
#include "src/shell/call_stream.h"
#include "src/shell/gateway/admission_gate.h"
#include "src/shell/gateway/call_memory.h"
#include "src/shell/gateway/connection_pool.h"
#include "src/shell/gateway/running_call.h"
#include "src/shell/gateway/slot_queue.h"
#include "src/shell/peer/async_signal.h"

#include <boost/intrusive/list.hpp>

namespace sequoiawharf
{

class call_dialect;
struct gateway_shared;
struct thread_metrics;

/// Sends the calls of one gateway thread to targets, whether they come from callers or from other instances. Used on that thread only.
class call_engine : public call_handler
{
public:
    /// thread: the number of the gateway thread. Precondition: shared outlives the engine.
    call_engine(gateway_shared &shared, unsigned thread, std::uint64_t seed);
    ~call_engine() override;
    call_engine(const call_engine &) = delete;
    call_engine &operator=(const call_engine &) = delete;

    boost::asio::awaitable<void> handle(call_head head, body_source &body, answer_sink &answer) override;

    const call_dialect &dialect() const;

    /// Sets the rate of the probe budget: this thread's share of the fleet's probe rate for the endpoints of the current configuration.
    void setProbeRate(mono_time now);

    /// Ends all calls, those in flight and those that arrive later, by bounds.answerBy, because the instance stops: each gets an answer that states
    /// whether it may have run. Later bounds than those set before have no effect.
    void beginStop(const stop_bounds &bounds);

    /// Ends unfinished bodies while calls wait for memory.
    void relieveMemory(mono_time now);

    /// Returns the bounds that a stop of the instance sets to calls.
    const stop_bounds &stopBounds() const
    {
        return m_stopBounds;
    }

    gateway_shared &shared()
    {
        return m_shared;
    }
    thread_metrics &metrics()
    {
        return m_metrics;
    }
    connection_pool &connections()
    {
        return m_connections;
    }
    admission_gate &gate()
    {
        return m_gate;
    }
    slot_queue &slotQueue()
    {
        return m_slotQueue;
    }
    probe_budget &probes()
    {
        return m_probes;
    }
    /// Returns the signal that is notified after gateway_shared::ready has changed.
    async_signal &readinessChanged()
    {
        return m_readinessChanged;
    }
    /// Returns the signal that is notified after tokens of organisations were granted.
    async_signal &tokensArrived()
    {
        return m_tokensArrived;
    }
    /// Returns the client that relays calls to other regions, or null.
    relay_client *relay()
    {
        return m_relay;
    }
    random_source &random()
    {
        return m_random;
    }

private:
    gateway_shared &m_shared;
    thread_metrics &m_metrics;
    connection_pool m_connections;
    admission_gate m_gate;
    slot_queue m_slotQueue;
    probe_budget m_probes;
    async_signal m_readinessChanged;
    async_signal m_tokensArrived;
    relay_client *m_relay;
    random_source m_random;
    stop_bounds m_stopBounds;
    boost::intrusive::list<running_call, boost::intrusive::constant_time_size<false>> m_calls; ///< The calls in flight.
    boost::intrusive::list<call_memory, boost::intrusive::constant_time_size<false>> m_memories; ///< Of the calls in flight.
};

} // namespace sequoiawharf
