#include "tests/balance/pool_rig.h"

#include "src/balance/endpoint_health.h"

#include <algorithm>
#include <ranges>

namespace sequoiawharf::testing
{

using namespace std::chrono_literals;

pool_rig::pool_rig(unsigned endpoints, const std::string &policy, unsigned instances)
    : place {instance_id("n1"), data_centre_id("a"), {}, instances}
    , m_policy(makeSelectionPolicy(policy))
{
    std::ranges::for_each(std::views::iota(0U, endpoints), [this](unsigned i) {
        definition.endpoints.push_back({{"10.0.0.1", static_cast<std::uint16_t>(1000 + i)}, data_centre_id(i % 2 == 0 ? "a" : "b"), false});
    });
    m_balancer = std::make_shared<const pool_balancer>(definition, place, m_policy, nullptr, now);
}

std::vector<unsigned> pool_rig::run(unsigned calls, std::chrono::nanoseconds interval, const script &behaviour)
{
    std::vector<unsigned> counts(definition.endpoints.size());
    for (unsigned i = 0; i < calls; ++i) {
        now += interval;
        endDueAttempts();
        auto call = idempotentCall(now);
        call.idempotent = idempotent;
        const auto index = m_balancer->choose(call, {}, now, random);
        if (!index) {
            continue;
        }
        ++counts[*index];
        m_balancer->attemptStarted(*index, now);
        const auto outcome = behaviour(*index);
        m_pending.emplace(now + outcome.latency, pending_attempt {m_balancer, *index, outcome});
    }
    return counts;
}

void pool_rig::reconfigure(const pool &changed)
{
    definition = changed;
    m_balancer = std::make_shared<const pool_balancer>(definition, place, m_policy, m_balancer.get(), now);
}

void pool_rig::endDueAttempts()
{
    while (!m_pending.empty() && m_pending.begin()->first <= now) {
        const auto [at, entry] = *m_pending.begin();
        m_pending.erase(m_pending.begin());
        failures += isFailure(entry.outcome.end) ? 1 : 0;
        entry.balancer->attemptEnded(entry.endpoint, entry.outcome, at);
    }
}

attempt_outcome answered(std::chrono::nanoseconds latency, std::optional<float> load)
{
    return {.end = attempt_end::Answered, .requestMayHaveLeft = true, .latency = latency, .reportedLoad = load};
}

attempt_outcome ended(attempt_end end, std::chrono::nanoseconds latency)
{
    return {.end = end, .requestMayHaveLeft = end != attempt_end::ConnectFailed, .latency = latency};
}

call_profile idempotentCall(mono_time now, std::uint64_t caller)
{
    return {.idempotent = true, .replayable = true, .deadline = now + 1s, .callerHash = caller};
}

} // namespace sequoiawharf::testing
