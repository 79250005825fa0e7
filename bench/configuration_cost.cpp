#include "bench/sample_tables.h"
#include "sequoiawharf/configuration_record.h"
#include "sequoiawharf/configuration_state.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <chrono>
#include <string>
#include <vector>

// Compares an incremental change with a publication of both whole tables at several table sizes: encoded bytes and time to apply.

namespace
{

using namespace sequoiawharf;
using namespace sequoiawharf::bench;
using clock_type = std::chrono::steady_clock;

constexpr unsigned kCentres = 4;

// Returns the encoded publication that sets or clears the leaving flag of one endpoint.
std::string makeChange(const configuration &from, unsigned pool, bool leaving)
{
    table_delta delta;
    delta.poolsPatched.push_back({pool_name(fmt::format("service-{:04}", pool)), {makeEndpoint(pool, 0, kCentres, leaving)}, {}});
    return encodeRecord(publication {publication_id("0123456789abcdef"), from.version, std::move(delta), "operator", ""});
}

// Returns the encoded publication that replaces the whole row of one pool to mark an endpoint as leaving.
std::string makeRowChange(const configuration &from)
{
    table_delta delta;
    delta.poolsSet.push_back(*from.pools.find(pool_name("service-0000")));
    delta.poolsSet.front().endpoints.front().leaving = true;
    return encodeRecord(publication {publication_id("0123456789abcdef"), from.version, std::move(delta), "operator", ""});
}

template<typename work> double microsecondsOf(unsigned repeats, work run)
{
    const auto start = clock_type::now();
    for (unsigned i = 0; i < repeats; ++i) {
        run(i);
    }
    return std::chrono::duration<double, std::micro>(clock_type::now() - start).count() / repeats;
}

// Applies the record to the state as the next entry of its log.
void applyNext(configuration_state &state, std::string text)
{
    log_page page;
    page.first = 1;
    page.next = state.asOf() + 2;
    page.records.push_back({state.asOf() + 1, {}, std::move(text)});
    state.applyLog(page);
}

void measure(unsigned pools, unsigned endpoints, unsigned changes)
{
    const auto config = makeConfiguration(pools, endpoints, kCentres);
    const whole_tables tables {config.routes, config.pools};
    const auto whole = encodeRecord(publication {publication_id("0123456789abcdef"), 0, tables, "operator", ""});
    const auto change = makeChange(config, 0, true);

    const double wholeTime = microsecondsOf(5, [&](unsigned) {
        configuration_state fresh;
        applyNext(fresh, whole);
    });
    configuration_state state;
    applyNext(state, whole);
    const double changeTime = microsecondsOf(changes, [&](unsigned i) {
        applyNext(state, makeChange(*state.current(), i % pools, i / pools % 2 == 0));
    });
    const double encodeTime = microsecondsOf(changes, [&](unsigned i) {
        makeChange(*state.current(), i % pools, true);
    });
    const double applied = changeTime - encodeTime;
    fmt::print("{:>6} {:>10} {:>12} {:>10} {:>13} {:>10.0f} {:>14.1f} {:>13.1f} {:>12.0f}\n",
               pools,
               pools * endpoints,
               whole.size(),
               makeRowChange(config).size(),
               change.size(),
               static_cast<double>(whole.size()) / static_cast<double>(change.size()),
               wholeTime,
               applied,
               wholeTime / applied);
    if (state.version() != changes + 1) {
        fmt::print("expected the last change to be in force: reached version {} of {}\n", state.version(), changes + 1);
    }
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine line("Bytes and processor time of a change of configuration, against those of whole tables.", ' ', "0.1.0");
    TCLAP::ValueArg<unsigned> endpoints("e", "endpoints", "Endpoints of each pool.", false, 22, "COUNT", line);
    TCLAP::ValueArg<unsigned> changes("c", "changes", "Changes to apply at each size.", false, 2000, "COUNT", line);
    line.parse(argc, argv);

    fmt::print("{:>6} {:>10} {:>12} {:>13} {:>10} {:>14} {:>13} {:>12}\n",
               "pools",
               "endpoints",
               "whole bytes",
               "change bytes",
               "ratio",
               "whole us",
               "change us",
               "ratio");
    for (const unsigned pools : {20U, 200U, 860U}) {
        measure(pools, endpoints.getValue(), changes.getValue());
    }
    return 0;
}
