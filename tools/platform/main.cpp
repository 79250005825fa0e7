#include "src/base/yaml_fields.h"
#include "src/shell/net/log.h"
#include "tools/platform/platform_pages.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <tclap/CmdLine.h>

// Stand-in of the platform's service for tests: a log in memory and a list of instances, with faults that are switched over HTTP.
int main(int argc, char **argv)
{
    using namespace sequoiawharf;
    TCLAP::CmdLine line("Stand-in of the platform's service: an append-only log and a list of instances.", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> listen("l", "listen", "Address to serve at.", false, "127.0.0.1:7000", "IP:PORT", line);
    line.parse(argc, argv);

    const auto address = parseHostPort(listen.getValue());
    if (!address) {
        logTo(log_level::Error, "platform", "The address is not an IP number and a port. listen={}", listen.getValue());
        return 2;
    }
    boost::asio::io_context context(1);
    page_server server(context);
    const platform_pages pages(context, server);
    if (const auto started = server.start(*address); !started) {
        logTo(log_level::Error, "platform", "The service cannot start. reason={}", started.error());
        return 1;
    }
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](const boost::system::error_code &, int) {
        context.stop();
    });
    logTo(log_level::Info, "platform", "Serving. address={}", listen.getValue());
    context.run();
    return 0;
}
