#include "src/base/yaml_fields.h"
#include "src/shell/net/log.h"
#include "src/shell/net/page_server.h"
#include "tools/link/link_relay.h"

#include <boost/asio/signal_set.hpp>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <optional>

namespace
{

using namespace sequoiawharf;
using namespace sequoiawharf::stand_in;
namespace asio = boost::asio;

// Parses "IP:PORT=IP:PORT".
std::optional<link_map> parseMap(const std::string &text, bool reverse)
{
    const auto equals = text.find('=');
    if (equals == std::string::npos) {
        return std::nullopt;
    }
    const auto listen = parseHostPort(text.substr(0, equals));
    const auto server = parseHostPort(text.substr(equals + 1));
    if (!listen || !server) {
        return std::nullopt;
    }
    return link_map {*listen, *server, reverse};
}

page_answer control(link_state &state, const page_request &request)
{
    for (const auto &[name, value] : request.query) {
        if (name == "delay_ms") {
            state.forward.delay = state.backward.delay = std::chrono::microseconds(static_cast<long>(std::stod(value) * 1e3));
        } else if (name == "mbit") {
            state.forward.bitsPerSecond = state.backward.bitsPerSecond = std::stod(value) * 1e6;
        } else if (name == "cut") {
            state.cut = value != "0";
        } else if (name == "silent") {
            state.silentUpTo = value == "0" ? 0 : state.serial;
        } else {
            return {400, "text/plain", "switches are delay_ms, mbit, cut and silent\n"};
        }
    }
    if (state.cut) {
        state.closeAll();
    }
    return {200, "text/plain", "done\n"};
}

bool startMaps(asio::io_context &context, link_state &state, const std::vector<std::string> &texts, bool reverse)
{
    return std::ranges::all_of(texts, [&](const std::string &text) {
        const auto map = parseMap(text, reverse);
        if (!map) {
            logTo(log_level::Error, "link", "map is not IP:PORT=IP:PORT text=\"{}\"", text);
            return false;
        }
        const auto started = serveMap(context, state, *map);
        if (!started) {
            logTo(log_level::Error, "link", "cannot listen error=\"{}\"", started.error());
        }
        return started.has_value();
    });
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine line("Stand-in for the link between two regions.", ' ', "0.1.0");
    TCLAP::MultiArg<std::string> maps("", "map", "Address on the first side that leads to one on the second.", false, "IP:PORT=IP:PORT", line);
    TCLAP::MultiArg<std::string> reverse("", "reverse-map", "Address on the second side that leads to one on the first.", false, "IP:PORT=IP:PORT", line);
    TCLAP::ValueArg<std::string> admin("", "admin", "Address of the switches and counters.", true, "", "IP:PORT", line);
    TCLAP::ValueArg<double> delay("", "delay-ms", "Delay one way.", false, 30.0, "MS", line);
    TCLAP::ValueArg<double> rate("", "mbit", "Rate of each direction.", false, 30.0, "MBIT/S", line);
    line.parse(argc, argv);

    asio::io_context context(1);
    link_state state;
    state.forward.delay = state.backward.delay = std::chrono::microseconds(static_cast<long>(delay.getValue() * 1e3));
    state.forward.bitsPerSecond = state.backward.bitsPerSecond = rate.getValue() * 1e6;
    page_server pages(context);
    pages.add("/control", [&](const page_request &request) -> asio::awaitable<page_answer> {
        co_return control(state, request);
    });
    pages.add("/stats", [&](const page_request &) -> asio::awaitable<page_answer> {
        co_return page_answer {200, "application/json", fmt::format("[{},\n{}]\n", state.forward.page(), state.backward.page())};
    });
    const auto address = parseHostPort(admin.getValue());
    if (!startMaps(context, state, maps.getValue(), false) || !startMaps(context, state, reverse.getValue(), true) || !address || !pages.start(*address)) {
        logTo(log_level::Error, "link", "cannot start admin={}", admin.getValue());
        return 1;
    }
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) {
        context.stop();
    });
    logTo(log_level::Info, "link", "serving maps={}", maps.getValue().size() + reverse.getValue().size());
    context.run();
    return 0;
}
