// Streams a large upload through an instance and prints the peak memory of the process before and after. The process also runs the caller and the
// target.
#include "bench/gateway_fakes.h"
#include "sequoiawharf/routing.h"
#include "sequoiawharf/settings.h"
#include "src/base/rcu_snapshot.h"
#include "src/shell/gateway/gateway.h"
#include "src/shell/metrics/gateway_metrics.h"
#include "src/shell/net/log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <memory>
#include <string>
#include <thread>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;

using asio::ip::tcp;
using std::chrono::steady_clock;

constexpr std::uint64_t kMegabyte = 1U << 20U;
constexpr std::size_t kPieceBytes = 64U << 10U;
constexpr std::string_view kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

std::uint64_t peakKilobytes()
{
    std::ifstream status("/proc/self/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmHWM:")) {
            return std::stoull(line.substr(line.find(':') + 1));
        }
    }
    return 0;
}

// Accepts one connection, reads a request with a body of the given size and answers it.
void serveOne(tcp::acceptor &acceptor, std::uint64_t size)
{
    auto socket = acceptor.accept();
    asio::streambuf head;
    const auto headBytes = asio::read_until(socket, head, "\r\n\r\n");
    auto left = size - (head.size() - headBytes);
    std::string piece(kPieceBytes, '\0');
    while (left > 0) {
        left -= asio::read(socket, asio::buffer(piece, std::min<std::uint64_t>(left, piece.size())));
    }
    asio::write(socket, asio::buffer(kAnswer));
}

std::string upload(const host_port &server, std::uint64_t size)
{
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect({asio::ip::make_address(server.host), server.port});
    asio::write(socket, asio::buffer(fmt::format("PUT /photo HTTP/1.1\r\nHost: bench\r\nContent-Length: {}\r\n\r\n", size)));
    const std::string piece(kPieceBytes, 'x');
    for (auto left = size; left > 0;) {
        left -= asio::write(socket, asio::buffer(piece, std::min<std::uint64_t>(left, piece.size())));
    }
    asio::streambuf answer;
    asio::read_until(socket, answer, "\r\n\r\n");
    return std::string(static_cast<const char *>(answer.data().data()), std::string_view("HTTP/1.1 200").size());
}

rcu_snapshot<routing>::pointer makeRouting(const instance_settings &settings, const host_port &target, std::uint64_t size)
{
    route rule;
    rule.name = route_name("photos");
    rule.pathPrefix = "/";
    rule.pool = pool_name("photos");
    rule.deadline = std::chrono::minutes(10);
    rule.maxBodyBytes = size;
    pool members;
    members.name = rule.pool;
    members.maxConnections = 1;
    members.endpoints.push_back({target, settings.dataCentre, false});
    auto config = std::make_shared<configuration>();
    config->routes = route_table({rule});
    config->pools = pool_table({members});
    const std::shared_ptr<const selection_policy> policy = makeSelectionPolicy("adaptive");
    return std::make_shared<const routing>(config, locality {settings.id, settings.dataCentre, {}, 1}, policy, routing {}, steady_clock::now());
}

int run(std::uint64_t megabytes)
{
    setLogLevel(log_level::Warning);
    instance_settings settings;
    settings.id = instance_id("bench");
    settings.dataCentre = data_centre_id("a");
    settings.gateway = {"127.10.3.1", 0};
    settings.threads = 1;
    const auto size = megabytes * kMegabyte;
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::make_address("127.10.3.2"), 0});
    const bench::empty_directory entries;
    bench::null_sink events;
    gateway_metrics metrics(settings.threads);
    const rcu_snapshot<routing> routings(makeRouting(settings, {"127.10.3.2", acceptor.local_endpoint().port()}, size));
    gateway server(settings, routings, entries, {}, events, metrics);
    if (!server.start()) {
        return 1;
    }
    server.setReady(true, "");

    for (const auto bytes : {kMegabyte, size}) {
        const auto before = peakKilobytes();
        const auto start = steady_clock::now();
        std::thread target([&] {
            serveOne(acceptor, bytes);
        });
        const auto answer = upload(server.address(), bytes);
        target.join();
        const double seconds = std::chrono::duration<double>(steady_clock::now() - start).count();
        fmt::print("{} MB: {}, {:.2f} s, peak memory {} KB before, {} KB after\n", bytes / kMegabyte, answer, seconds, before, peakKilobytes());
    }
    return 0;
}

} // namespace

} // namespace sequoiawharf

int main(int argc, char **argv)
{
    TCLAP::CmdLine line("Measures the memory that a large upload takes.", ' ', "0.1.0");
    TCLAP::ValueArg<std::uint64_t> megabytes("m", "megabytes", "Size of the upload.", false, 1024, "NUMBER", line);
    line.parse(argc, argv);
    return sequoiawharf::run(megabytes.getValue());
}
