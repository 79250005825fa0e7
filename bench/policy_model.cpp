// Compares the selection policies in a queueing model in virtual time with identical arrivals and service times: 15 instances and 20 endpoints of 4
// slots each. Prints one Markdown table. Arguments: simulated seconds (default 10), seed (default 1), name of one policy (default all).
#include "bench/queueing_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>

namespace
{

using namespace sequoiawharf::bench;

const std::vector<conditions> kRows {
    {.name = "50 %", .load = 0.5},
    {.name = "80 %", .load = 0.8},
    {.name = "95 %", .load = 0.95},
    {.name = "120 %", .load = 1.2},
    {.name = "80 %, straggler x10", .load = 0.8, .kind = fault::Straggler},
    {.name = "80 %, one fails fast", .load = 0.8, .kind = fault::FailFast},
    {.name = "80 %, load moves each 20 ms", .load = 0.8, .kind = fault::Shifting},
    {.name = "80 %, one says idle", .load = 0.8, .kind = fault::FalseIdle},
    {.name = "80 %, load by pages", .load = 0.8, .source = load_source::Pages},
    {.name = "95 %, load by pages", .load = 0.95, .source = load_source::Pages},
    {.name = "80 %, no load known", .load = 0.8, .source = load_source::None},
    {.name = "95 %, no load known", .load = 0.95, .source = load_source::None},
    {.name = "50 %, hedged", .load = 0.5, .hedges = true},
    {.name = "80 %, hedged", .load = 0.8, .hedges = true},
    {.name = "95 %, hedged", .load = 0.95, .hedges = true},
};

void printRow(const std::string &name, const std::string &policy, run_result result)
{
    std::ranges::sort(result.latenciesMs);
    const auto quantile = [&](double part) {
        const auto last = static_cast<double>(result.latenciesMs.size() - 1);
        return result.latenciesMs.empty() ? 0 : result.latenciesMs[static_cast<std::size_t>(part * last)];
    };
    const auto share = [&](std::size_t count) {
        return 100.0 * static_cast<double>(count) / static_cast<double>(std::max<std::size_t>(1, result.calls));
    };
    fmt::print("| {} | {} | {:.1f} | {:.1f} | {:.1f} | {:.2f} | {:.2f} | {:.2f} |\n",
               name,
               policy,
               quantile(0.5),
               quantile(0.99),
               quantile(0.999),
               share(result.refused),
               share(result.failed),
               share(result.repeated));
}

} // namespace

int main(int argc, char **argv)
{
    const std::chrono::seconds duration(argc > 1 ? std::atoi(argv[1]) : 10);
    const std::uint64_t seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
    const std::string only = argc > 3 ? argv[3] : "";
    fmt::print("| row | policy | p50 ms | p99 ms | p99.9 ms | refused % | failed % | repeated % |\n|---|---|---|---|---|---|---|---|\n");
    for (const auto &row : kRows) {
        for (const std::string policy : {"round-robin", "random", "two-choices", "two-choices-reported", "adaptive"}) {
            if (only.empty() || only == policy) {
                printRow(row.name, policy, queueing_model(policy, row, seed).run(duration));
            }
        }
    }
}
