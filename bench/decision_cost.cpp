// Measures the time of all decisions on one call (admit, choose, attemptStarted, attemptEnded, release), for one pool of 20 endpoints, for 19,000
// endpoints in 860 pools of even and of uneven sizes, and for one pool of 19,000. Prints a Markdown table with the ratio to the first row.
#include "sequoiawharf/pool_balancer.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

namespace
{

using namespace sequoiawharf;
using namespace std::chrono_literals;

constexpr unsigned kCalls = 400'000;
constexpr unsigned kRounds = 5;

using balancers = std::vector<std::unique_ptr<pool_balancer>>;

std::unique_ptr<pool_balancer> makePool(unsigned endpoints, const std::string &policy, mono_time now)
{
    pool definition;
    definition.name = pool_name("p" + std::to_string(endpoints));
    for (unsigned i = 0; i < endpoints; ++i) {
        definition.endpoints.push_back({{"10.0.0." + std::to_string(i / 200), static_cast<std::uint16_t>(1000 + i % 200)}, data_centre_id("a"), false});
    }
    const locality place {instance_id("n1"), data_centre_id("a"), {}, 15};
    return std::make_unique<pool_balancer>(definition, place, makeSelectionPolicy(policy), nullptr, now);
}

balancers makePools(const std::vector<unsigned> &sizes, const std::string &policy, mono_time now)
{
    balancers pools;
    std::ranges::transform(sizes, std::back_inserter(pools), [&](unsigned size) {
        return makePool(size, policy, now);
    });
    return pools;
}

// Runs the decisions of kCalls calls, each on a random pool. Returns nanoseconds per call.
double timeCalls(const balancers &pools, random_source &random, mono_time start)
{
    const auto begin = std::chrono::steady_clock::now();
    for (unsigned i = 0; i < kCalls; ++i) {
        const auto now = start + i * 10us;
        const call_profile call {.idempotent = true, .replayable = true, .deadline = now + 1s, .callerHash = random.next() % 1000};
        const auto &pool = *pools[random.below(static_cast<std::uint32_t>(pools.size()))];
        if (pool.admit(call, now).verdict != admission::kind::Admitted) {
            continue;
        }
        if (const auto index = pool.choose(call, {}, now, random)) {
            pool.attemptStarted(*index, now);
            pool.attemptEnded(*index, {.requestMayHaveLeft = true, .latency = 5ms + random.below(1000) * 1us, .reportedLoad = 0.5F}, now);
        }
        pool.release();
    }
    return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - begin).count() / kCalls;
}

double median(const balancers &pools, mono_time now)
{
    random_source random(1);
    std::vector<double> rounds;
    rounds.reserve(kRounds);
    for (unsigned i = 0; i < kRounds; ++i) {
        rounds.push_back(timeCalls(pools, random, now + i * 10s));
    }
    std::ranges::sort(rounds);
    return rounds[kRounds / 2];
}

} // namespace

int main()
{
    const mono_time now(1h);
    std::vector<unsigned> uneven(859, 10);
    uneven.push_back(19'000 - 859 * 10);
    fmt::print("| policy | endpoints | pools | ns a call | ratio |\n|---|---|---|---|---|\n");
    for (const std::string policy : {"two-choices", "adaptive"}) {
        const std::vector<std::vector<unsigned>> shapes {{20}, std::vector<unsigned>(860, 22), uneven, {19'000}};
        double first = 0;
        for (const auto &sizes : shapes) {
            const auto cost = median(makePools(sizes, policy, now), now);
            first = first == 0 ? cost : first;
            const auto total = std::accumulate(sizes.begin(), sizes.end(), 0U);
            fmt::print("| {} | {} | {} | {:.0f} | {:.2f} |\n", policy, total, sizes.size(), cost, cost / first);
        }
    }
}
