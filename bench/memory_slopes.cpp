// Measures the heap that an instance needs for the tables and for the state of the endpoints, and the time to build the routing of a new version
// from the previous one, at several table sizes. Prints the least-squares line of each.
#include "bench/sample_tables.h"
#include "sequoiawharf/routing.h"

#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <array>
#include <memory>
#include <numeric>
#include <vector>

namespace
{

using namespace sequoiawharf;
using namespace std::chrono_literals;

constexpr std::array<unsigned, 5> kServices {43, 215, 430, 645, 860};
constexpr unsigned kEndpointsPerService = 22;
constexpr unsigned kCentres = 21;
constexpr std::size_t kRounds = 9;

std::shared_ptr<const configuration> makeTables(unsigned services)
{
    return std::make_shared<const configuration>(bench::makeConfiguration(services, kEndpointsPerService, kCentres));
}

std::size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// Heap and rebuild time at one table size.
struct point {
    unsigned endpoints = 0;
    double tableBytes = 0;
    double stateBytes = 0;
    double rebuildUs = 0;
};

point measure(unsigned services)
{
    const auto before = heapBytes();
    const auto tables = makeTables(services);
    const auto between = heapBytes();
    const locality place {instance_id("n1"), data_centre_id("centre-00"), {}, 300};
    const std::shared_ptr<const selection_policy> policy = makeSelectionPolicy("adaptive");
    const routing live(tables, place, policy, routing(), mono_time(1h));
    const auto after = heapBytes();
    const auto rebuild = [&] {
        const auto begin = std::chrono::steady_clock::now();
        const routing next(tables, place, policy, live, mono_time(2h));
        return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count();
    };
    std::vector<double> rounds(kRounds);
    std::ranges::generate(rounds, rebuild);
    std::ranges::sort(rounds);
    return {services * kEndpointsPerService, static_cast<double>(between - before), static_cast<double>(after - between), rounds[kRounds / 2]};
}

// Prints the least-squares line through the points.
void printLine(const char *label, const std::vector<point> &points, double point::*member, const char *unit)
{
    const auto count = static_cast<double>(points.size());
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
    std::ranges::for_each(points, [&](const point &at) {
        const double x = at.endpoints;
        sumX += x;
        sumY += at.*member;
        sumXX += x * x;
        sumXY += x * (at.*member);
    });
    const double slope = (count * sumXY - sumX * sumY) / (count * sumXX - sumX * sumX);
    fmt::print("{}: {:.0f} {} + {:.3f} {} an endpoint\n", label, (sumY - slope * sumX) / count, unit, slope, unit);
}

} // namespace

int main()
{
    std::vector<point> points;
    std::ranges::transform(kServices, std::back_inserter(points), measure);
    fmt::print("| endpoints | tables, KB | state, KB | rebuild, us |\n|---|---|---|---|\n");
    std::ranges::for_each(points, [](const point &at) {
        fmt::print("| {} | {:.0f} | {:.0f} | {:.0f} |\n", at.endpoints, at.tableBytes / 1e3, at.stateBytes / 1e3, at.rebuildUs);
    });
    printLine("tables", points, &point::tableBytes, "bytes");
    printLine("state", points, &point::stateBytes, "bytes");
    printLine("rebuild", points, &point::rebuildUs, "us");
}
