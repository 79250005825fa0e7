#include "tools/target/target_options.h"

#include "src/base/yaml_fields.h"
#include "src/config/table_yaml.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <ranges>
#include <sstream>

namespace sequoiawharf::stand_in
{

namespace
{

[[noreturn]] void refuse(const std::string &problem)
{
    fmt::print(stderr, "target: {}\n", problem);
    std::exit(2);
}

host_port parseAddress(const std::string &text)
{
    const auto address = parseHostPort(text);
    if (!address) {
        refuse(fmt::format("\"{}\" is not an IP number and a port", text));
    }
    return *address;
}

// Adds the addresses of "IP:PORT" or "IP:PORT-PORT".
void addRange(const std::string &text, std::vector<host_port> &endpoints)
{
    const auto dash = text.rfind('-');
    const auto first = parseAddress(text.substr(0, dash));
    const auto last = dash == std::string::npos ? first.port : static_cast<std::uint16_t>(std::stoul(text.substr(dash + 1)));
    for (std::uint32_t port = first.port; port <= last; ++port) {
        endpoints.push_back({first.host, static_cast<std::uint16_t>(port)});
    }
}

// Adds the endpoints of the operators' pool table that are in the data centre, or all of them if it is empty.
void addPools(const std::string &path, const data_centre_id &centre, std::vector<host_port> &endpoints)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    const auto tables = parseTables({"routes", "routes: []"}, {path, text.str()});
    if (!tables) {
        refuse(toString(tables.error().front()));
    }
    for (const auto &table : tables->pools.pools()) {
        for (const auto &entry : table.endpoints) {
            if (centre.empty() || entry.dataCentre == centre) {
                endpoints.push_back(entry.address);
            }
        }
    }
}

service_rule parseRule(const std::string &text)
{
    const auto equals = text.find('=');
    if (equals == std::string::npos) {
        refuse(fmt::format("\"{}\" is not PREFIX=MS", text));
    }
    return {text.substr(0, equals), std::chrono::duration<double, std::milli>(std::stod(text.substr(equals + 1)))};
}

service_distribution parseDistribution(const std::string &text)
{
    if (text == "fixed") {
        return service_distribution::Fixed;
    }
    return text == "lognormal" ? service_distribution::Lognormal : service_distribution::Exponential;
}

} // namespace

target_options readOptions(int argc, char **argv)
{
    target_options options;
    TCLAP::CmdLine line("Stand-in for targets: one process that hosts many endpoints.", ' ', "0.1.0");
    TCLAP::MultiArg<std::string> listen("", "listen", "Endpoints to host.", false, "IP:PORT[-PORT]", line);
    TCLAP::ValueArg<std::string> pools("", "pools", "Pool table whose endpoints to host.", false, "", "FILE", line);
    TCLAP::ValueArg<std::string> centre("", "data-centre", "Hosts only the table's endpoints of this data centre.", false, "", "NAME", line);
    TCLAP::ValueArg<std::string> admin("", "admin", "Address of the switches and counters.", true, "", "IP:PORT", line);
    TCLAP::ValueArg<std::uint32_t> slots("", "slots", "Calls that one endpoint serves at a time.", false, options.slots, "N", line);
    TCLAP::ValueArg<std::uint32_t> queue("", "queue", "Calls that wait at one endpoint.", false, options.queue, "N", line);
    TCLAP::ValueArg<std::uint32_t> connections("", "max-connections", "Connections of one endpoint.", false, options.maxConnections, "N", line);
    TCLAP::ValueArg<long> accept("", "accept-us", "Time that a new connection takes.", false, options.acceptCost.count(), "US", line);
    TCLAP::ValueArg<double> mean("", "service-ms", "Mean service time.", false, 5.0, "MS", line);
    TCLAP::MultiArg<std::string> rules("", "service", "Mean service time of a path prefix.", false, "PREFIX=MS", line);
    TCLAP::ValueArg<std::string> distribution("", "distribution", "fixed, exponential or lognormal.", false, "exponential", "NAME", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the service times.", false, options.seed, "N", line);
    TCLAP::ValueArg<std::size_t> bytes("", "answer-bytes", "Least size of an answer's body.", false, options.answerBytes, "N", line);
    line.parse(argc, argv);

    std::ranges::for_each(listen.getValue(), [&](const std::string &text) {
        addRange(text, options.endpoints);
    });
    if (pools.isSet()) {
        addPools(pools.getValue(), data_centre_id(centre.getValue()), options.endpoints);
    }
    if (options.endpoints.empty()) {
        refuse("no endpoints: give --listen or --pools");
    }
    options.admin = parseAddress(admin.getValue());
    options.slots = slots.getValue();
    options.queue = queue.getValue();
    options.maxConnections = connections.getValue();
    options.acceptCost = std::chrono::microseconds(accept.getValue());
    std::ranges::transform(rules.getValue(), std::back_inserter(options.service), parseRule);
    options.service.push_back({"", std::chrono::duration<double, std::milli>(mean.getValue())});
    options.distribution = parseDistribution(distribution.getValue());
    options.seed = seed.getValue();
    options.answerBytes = bytes.getValue();
    return options;
}

} // namespace sequoiawharf::stand_in
