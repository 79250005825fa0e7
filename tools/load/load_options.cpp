#include "tools/load/load_options.h"

#include "src/base/yaml_fields.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <fmt/format.h>
#include <ranges>
#include <sstream>

namespace sequoiawharf::stand_in
{

namespace
{

[[noreturn]] void refuse(const std::string &problem)
{
    fmt::print(stderr, "load: {}\n", problem);
    std::exit(2);
}

std::vector<host_port> parseAddresses(const std::vector<std::string> &texts)
{
    std::vector<host_port> addresses;
    std::ranges::for_each(texts, [&](const std::string &text) {
        const auto dash = text.rfind('-');
        const auto first = parseHostPort(text.substr(0, dash));
        if (!first) {
            refuse(fmt::format("\"{}\" is not an IP number and a port", text));
        }
        const auto last = dash == std::string::npos ? first->port : std::stoul(text.substr(dash + 1));
        for (std::uint32_t port = first->port; port <= last; ++port) {
            addresses.push_back({first->host, static_cast<std::uint16_t>(port)});
        }
    });
    return addresses;
}

// Parses "NAME METHOD PATH BODY-BYTES WEIGHT".
call_kind parseKind(const std::string &text)
{
    call_kind kind;
    std::istringstream words(text);
    if (!(words >> kind.name >> kind.method >> kind.path >> kind.bodyBytes >> kind.weight)) {
        refuse(fmt::format("\"{}\" is not \"NAME METHOD PATH BODY-BYTES WEIGHT\"", text));
    }
    return kind;
}

} // namespace

load_options readOptions(int argc, char **argv)
{
    load_options options;
    TCLAP::CmdLine line("Open-loop load: each call is timed from its due time.", ' ', "0.1.0");
    TCLAP::MultiArg<std::string> to("", "to", "Entry instances, or endpoints with --direct.", true, "IP:PORT[-PORT]", line);
    TCLAP::SwitchArg direct("", "direct", "Call the servers themselves as targets.", line);
    TCLAP::SwitchArg fixed("", "fixed", "Use the entry instances as given and ask no directory.", line);
    TCLAP::ValueArg<std::string> near("", "near", "Data centre that callers ask the directory for.", false, "", "NAME", line);
    TCLAP::ValueArg<double> rate("", "rate", "Calls a second.", false, options.rate, "N", line);
    TCLAP::MultiArg<std::string> kinds("", "kind", "A kind of call.", false, "\"NAME METHOD PATH BODY-BYTES WEIGHT\"", line);
    TCLAP::ValueArg<std::uint32_t> callers("", "callers", "Number of callers.", false, options.callers, "N", line);
    TCLAP::ValueArg<double> noisy("", "noisy-share", "Share of the calls that the first caller makes.", false, 0.0, "0..1", line);
    TCLAP::ValueArg<double> seconds("", "seconds", "How long calls become due.", false, 10.0, "S", line);
    TCLAP::ValueArg<double> timeout("", "timeout", "How long a caller waits for an answer.", false, 10.0, "S", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of due times, kinds and callers.", false, options.seed, "N", line);
    TCLAP::MultiArg<std::string> admins("", "target-admin", "Admin addresses of the targets, to check who ran what.", false, "IP:PORT", line);
    TCLAP::ValueArg<std::string> result("", "result", "File that takes the result as JSON.", false, "", "FILE", line);
    TCLAP::ValueArg<std::string> once("", "once", "Make one call and print its answer.", false, "", "\"METHOD PATH\"", line);
    TCLAP::ValueArg<std::size_t> bodyBytes("", "body-bytes", "Size of the body with --once.", false, 0, "N", line);
    TCLAP::SwitchArg quiet("q", "quiet", "Print no progress.", line);
    line.parse(argc, argv);

    options.servers = parseAddresses(to.getValue());
    options.direct = direct.getValue();
    options.fixed = fixed.getValue();
    options.near = near.getValue();
    options.rate = rate.getValue();
    std::ranges::transform(kinds.getValue(), std::back_inserter(options.kinds), parseKind);
    options.callers = std::max(callers.getValue(), 1U);
    options.noisyShare = noisy.getValue();
    options.duration = std::chrono::milliseconds(static_cast<long>(seconds.getValue() * 1e3));
    options.timeout = std::chrono::milliseconds(static_cast<long>(timeout.getValue() * 1e3));
    options.seed = seed.getValue();
    options.targetAdmins = parseAddresses(admins.getValue());
    options.resultFile = result.getValue();
    options.quiet = quiet.getValue();
    if (once.isSet()) {
        options.once = true;
        options.callers = 1;
        options.kinds = {parseKind(fmt::format("once {} {} 1", once.getValue(), bodyBytes.getValue()))};
    }
    if (options.kinds.empty()) {
        options.kinds = {parseKind("quote GET /quotes/1 0 1")};
    }
    return options;
}

} // namespace sequoiawharf::stand_in
