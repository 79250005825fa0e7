// Compares direct calls to a target with calls carried by an instance, in one run: latency quantiles, counted from the due time of each call, at a
// moderate open-loop rate in alternating rounds, and the closed-loop throughput.
#include "bench/gateway_fakes.h"
#include "sequoiawharf/routing.h"
#include "sequoiawharf/settings.h"
#include "src/base/rcu_snapshot.h"
#include "src/shell/gateway/gateway.h"
#include "src/shell/metrics/gateway_metrics.h"
#include "src/shell/net/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <future>
#include <numeric>
#include <sys/resource.h>
#include <thread>
#include <vector>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;

using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr unsigned kTargets = 4;
constexpr unsigned kClientThreads = 2;
constexpr unsigned kConnections = 32; // per client thread
constexpr unsigned kRounds = 4;
constexpr std::string_view kRequest = "GET /quotes/17 HTTP/1.1\r\nHost: bench\r\nAccept: application/json\r\nUser-Agent: bench\r\n\r\n";
constexpr std::size_t kBodyBytes = 64;

const std::string kAnswer = fmt::format(
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nendpoint-load-metrics: TEXT application_utilization=0.25\r\nContent-Length: {}\r\n\r\n{}",
    kBodyBytes,
    std::string(kBodyBytes, 'x'));

void check(bool holds, std::string_view message)
{
    if (!holds) {
        fmt::print(stderr, "bench: {}\n", message);
        std::exit(1);
    }
}

/// Reads the head and the body of one message into the buffer. Returns false when the connection ends or fails first.
asio::awaitable<bool> readMessage(tcp::socket &socket, std::string &buffer, std::size_t bodyBytes)
{
    buffer.clear();
    std::array<char, 2048> piece {};
    while (true) {
        const auto end = buffer.find("\r\n\r\n");
        if (end != std::string::npos && buffer.size() >= end + 4 + bodyBytes) {
            co_return true;
        }
        boost::system::error_code error;
        const auto count = co_await socket.async_read_some(asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return false;
        }
        buffer.append(piece.data(), count);
    }
}

/// Target that answers every request without delay.
class bench_target
{
public:
    bench_target()
        : m_acceptor(m_context, {asio::ip::make_address("127.10.2.1"), 0})
    {
        asio::co_spawn(m_context, acceptLoop(), asio::detached);
        m_thread = std::thread([this] {
            m_context.run();
        });
    }
    ~bench_target()
    {
        m_context.stop();
        m_thread.join();
    }
    host_port address() const
    {
        return {"127.10.2.1", m_acceptor.local_endpoint().port()};
    }

private:
    asio::awaitable<void> acceptLoop()
    {
        while (true) {
            auto socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            socket.set_option(tcp::no_delay(true));
            asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
        }
    }
    asio::awaitable<void> serve(tcp::socket socket)
    {
        std::string buffer;
        boost::system::error_code error;
        while (!error && co_await readMessage(socket, buffer, 0)) {
            co_await asio::async_write(socket, asio::buffer(kAnswer), asio::redirect_error(asio::use_awaitable, error));
        }
    }

    asio::io_context m_context {1};
    tcp::acceptor m_acceptor;
    std::thread m_thread;
};

/// Latencies and failures of one round of calls.
struct round_result {
    std::vector<double> micros;
    std::uint64_t failed = 0;
};

struct round_plan {
    std::vector<host_port> servers;
    double rate = 0; ///< Calls per second over all client threads; 0 sends the next call when the answer arrives.
    milliseconds length {1000};
};

asio::awaitable<void> callRepeatedly(const round_plan &plan, unsigned index, steady_clock::time_point start, round_result &result)
{
    const auto &server = plan.servers[index % plan.servers.size()];
    tcp::socket socket(co_await asio::this_coro::executor);
    boost::system::error_code error;
    co_await socket.async_connect({asio::ip::make_address(server.host), server.port}, asio::redirect_error(asio::use_awaitable, error));
    check(!error, "cannot connect to the server");
    socket.set_option(tcp::no_delay(true));
    asio::steady_timer timer(socket.get_executor());
    std::string buffer;
    const auto all = kClientThreads * kConnections;
    const auto interval = plan.rate > 0 ? std::chrono::nanoseconds(static_cast<std::int64_t>(1e9 / plan.rate)) : std::chrono::nanoseconds(0);
    auto due = start + interval * index;
    while (due < start + plan.length) {
        timer.expires_at(due);
        if (plan.rate > 0) {
            co_await timer.async_wait(asio::use_awaitable);
        }
        co_await asio::async_write(socket, asio::buffer(kRequest), asio::redirect_error(asio::use_awaitable, error));
        const bool isWhole = co_await readMessage(socket, buffer, kBodyBytes);
        if (!isWhole || !buffer.starts_with("HTTP/1.1 200")) {
            result.failed += 1;
            co_return;
        }
        const auto now = steady_clock::now();
        result.micros.push_back(std::chrono::duration<double, std::micro>(now - due).count());
        due = plan.rate > 0 ? due + interval * all : now;
    }
}

round_result runRound(const round_plan &plan)
{
    std::vector<round_result> results(std::size_t {kClientThreads} * kConnections);
    const auto start = steady_clock::now() + milliseconds(20);
    std::vector<std::thread> threads;
    threads.reserve(kClientThreads);
    for (unsigned t = 0; t < kClientThreads; ++t) {
        threads.emplace_back([&, t] {
            asio::io_context context(1);
            for (unsigned c = 0; c < kConnections; ++c) {
                const auto index = c * kClientThreads + t;
                asio::co_spawn(context, callRepeatedly(plan, index, start, results[index]), asio::detached);
            }
            context.run();
        });
    }
    std::ranges::for_each(threads, &std::thread::join);
    round_result all;
    for (const auto &part : results) {
        all.micros.insert(all.micros.end(), part.micros.begin(), part.micros.end());
        all.failed += part.failed;
    }
    return all;
}

void add(round_result &sum, round_result part)
{
    sum.micros.insert(sum.micros.end(), part.micros.begin(), part.micros.end());
    sum.failed += part.failed;
}

double quantile(std::vector<double> &values, double share)
{
    check(!values.empty(), "no call completed");
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, position);
    return *position;
}

std::shared_ptr<const configuration> makeConfiguration(const std::vector<std::unique_ptr<bench_target>> &targets)
{
    route rule;
    rule.name = route_name("quotes");
    rule.pathPrefix = "/quotes";
    rule.pool = pool_name("quotes");
    rule.deadline = milliseconds(5000);
    pool members;
    members.name = rule.pool;
    members.slots = 64;
    members.maxConnections = 1000;
    std::ranges::transform(targets, std::back_inserter(members.endpoints), [](const auto &target) {
        return endpoint {target->address(), data_centre_id("a"), false};
    });
    auto config = std::make_shared<configuration>();
    config->routes = route_table({rule});
    config->pools = pool_table({members});
    return config;
}

instance_settings makeSettings(unsigned threads)
{
    instance_settings settings;
    settings.id = instance_id("bench");
    settings.region = region_id("north");
    settings.dataCentre = data_centre_id("a");
    settings.gateway = {"127.10.2.2", 0};
    settings.threads = threads;
    settings.seed = 1;
    return settings;
}

void printComparison(round_result &direct, round_result &carried)
{
    fmt::print("{:>10} {:>12} {:>12} {:>12}\n", "quantile", "direct us", "carried us", "added us");
    for (const double share : {0.5, 0.9, 0.99, 0.999}) {
        const double without = quantile(direct.micros, share);
        const double with = quantile(carried.micros, share);
        fmt::print("{:>10} {:>12.1f} {:>12.1f} {:>12.1f}\n", share, without, with, with - without);
    }
    fmt::print("calls: direct {} (failed {}), carried {} (failed {})\n", direct.micros.size(), direct.failed, carried.micros.size(), carried.failed);
}

/// Total processor time of a gateway's threads.
struct processor_time {
    double user = 0; ///< Seconds.
    double kernel = 0; ///< Seconds.
};

processor_time processorTime(gateway &server)
{
    processor_time total;
    for (std::size_t i = 0; i < server.threadCount(); ++i) {
        std::promise<rusage> answer;
        server.runOnThread(i, [&](call_handler &, asio::io_context &) {
            rusage used {};
            getrusage(RUSAGE_THREAD, &used);
            answer.set_value(used);
        });
        const auto used = answer.get_future().get();
        total.user += static_cast<double>(used.ru_utime.tv_sec) + static_cast<double>(used.ru_utime.tv_usec) / 1e6;
        total.kernel += static_cast<double>(used.ru_stime.tv_sec) + static_cast<double>(used.ru_stime.tv_usec) / 1e6;
    }
    return total;
}

void printProcessorTime(const processor_time &before, const processor_time &after, std::size_t calls)
{
    const auto micros = [&](double seconds) {
        return seconds * 1e6 / static_cast<double>(calls);
    };
    fmt::print("gateway threads, us of processor time a call: {:.2f} in the kernel, {:.2f} outside it\n",
               micros(after.kernel - before.kernel),
               micros(after.user - before.user));
}

int run(double rate, unsigned threads, milliseconds length)
{
    setLogLevel(log_level::Warning);
    std::vector<std::unique_ptr<bench_target>> targets;
    std::generate_n(std::back_inserter(targets), kTargets, [] {
        return std::make_unique<bench_target>();
    });
    const auto settings = makeSettings(threads);
    const bench::empty_directory entries;
    bench::null_sink events;
    gateway_metrics metrics(threads);
    const std::shared_ptr<const selection_policy> policy = makeSelectionPolicy("adaptive");
    const locality place {settings.id, settings.dataCentre, {}, 1};
    const rcu_snapshot<routing> routings(std::make_shared<const routing>(makeConfiguration(targets), place, policy, routing {}, steady_clock::now()));
    gateway server(settings, routings, entries, {}, events, metrics);
    check(server.start().has_value(), "the gateway failed to start");
    server.setReady(true, "");

    std::vector<host_port> targetAddresses;
    std::ranges::transform(targets, std::back_inserter(targetAddresses), [](const auto &target) {
        return target->address();
    });
    const std::vector<host_port> gatewayAddresses {server.address()};
    runRound({gatewayAddresses, rate, milliseconds(300)}); // fills the connection pools
    round_result direct;
    round_result carried;
    for (unsigned i = 0; i < kRounds; ++i) {
        add(direct, runRound({targetAddresses, rate, length / kRounds}));
        add(carried, runRound({gatewayAddresses, rate, length / kRounds}));
    }
    fmt::print("open loop at {:.0f} calls a second, {} gateway threads\n", rate, threads);
    printComparison(direct, carried);

    const auto fastDirect = runRound({targetAddresses, 0, length / 2});
    const auto before = processorTime(server);
    const auto fastCarried = runRound({gatewayAddresses, 0, length / 2});
    const auto after = processorTime(server);
    const double seconds = std::chrono::duration<double>(length / 2).count();
    fmt::print("closed loop, {} connections: direct {:.0f} calls a second (failed {}), carried {:.0f} (failed {})\n",
               kClientThreads * kConnections,
               static_cast<double>(fastDirect.micros.size()) / seconds,
               fastDirect.failed,
               static_cast<double>(fastCarried.micros.size()) / seconds,
               fastCarried.failed);
    printProcessorTime(before, after, fastCarried.micros.size());
    return static_cast<int>(direct.failed + carried.failed + fastCarried.failed > 0);
}

} // namespace

} // namespace sequoiawharf

int main(int argc, char **argv)
{
    TCLAP::CmdLine line("Compares carried calls with direct ones.", ' ', "0.1.0");
    TCLAP::ValueArg<double> rate("r", "rate", "Calls a second of the open loop.", false, 2000, "NUMBER", line);
    TCLAP::ValueArg<unsigned> threads("t", "threads", "Gateway threads.", false, 4, "NUMBER", line);
    TCLAP::ValueArg<int> seconds("s", "seconds", "Length of each comparison.", false, 8, "SECONDS", line);
    line.parse(argc, argv);
    return sequoiawharf::run(rate.getValue(), threads.getValue(), std::chrono::seconds(seconds.getValue()));
}
