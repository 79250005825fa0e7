#pragma once

#include "sequoiawharf/pool_balancer.h"
#include "src/balance/pool_state.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sequoiawharf::testing
{

/// Drives one pool_balancer in virtual time with calls whose outcomes a script determines. Used on one thread.
class pool_rig
{
public:
    /// Returns the outcome of an attempt that starts now at the endpoint; its latency is the time until the attempt ends.
    using script = std::function<attempt_outcome(std::uint32_t endpoint)>;

    explicit pool_rig(unsigned endpoints, const std::string &policy = "adaptive", unsigned instances = 1);

    /// Starts the calls one interval apart, ends the attempts that are due in between, and returns the number of attempts at each endpoint.
    std::vector<unsigned> run(unsigned calls, std::chrono::nanoseconds interval, const script &behaviour);

    /// Replaces the balancer by one for the changed pool, as a change of the pool table does.
    void reconfigure(const pool &changed);

    /// Ends all attempts that are due.
    void endDueAttempts();

    const pool_balancer &balancer() const
    {
        return *m_balancer;
    }
    endpoint_state &at(std::uint32_t index) const
    {
        return m_balancer->at(index);
    }
    const host_port &addressOf(std::uint32_t index) const
    {
        return m_balancer->definition().endpoints[index].address;
    }

    pool definition;
    locality place;
    mono_time now {std::chrono::hours(1)};
    random_source random {20261204};
    bool idempotent = true;
    unsigned failures = 0; ///< Attempts that ended as failures since a test last set this to 0.

private:
    struct pending_attempt {
        std::shared_ptr<const pool_balancer> balancer;
        std::uint32_t endpoint;
        attempt_outcome outcome;
    };

    std::shared_ptr<const selection_policy> m_policy;
    std::shared_ptr<const pool_balancer> m_balancer;
    std::multimap<mono_time, pending_attempt> m_pending;
};

/// Returns the outcome of an attempt that is answered after the latency.
attempt_outcome answered(std::chrono::nanoseconds latency, std::optional<float> load = std::nullopt);

/// Returns the outcome of an attempt that ends in another way after the latency.
attempt_outcome ended(attempt_end end, std::chrono::nanoseconds latency);

/// Returns an idempotent, replayable call whose deadline is one second from now.
call_profile idempotentCall(mono_time now, std::uint64_t caller = 1);

} // namespace sequoiawharf::testing
