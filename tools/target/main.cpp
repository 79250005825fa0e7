#include "src/shell/net/log.h"
#include "src/shell/net/page_server.h"
#include "tools/target/target_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <numeric>
#include <ranges>

namespace
{

using namespace sequoiawharf;
using namespace sequoiawharf::stand_in;
namespace asio = boost::asio;

constexpr std::chrono::milliseconds kMoveInterval {20};
constexpr std::array<double, 4> kMoveFactors {0.2, 0.4, 0.8, 2.6};

using query_map = std::map<std::string, std::string>;

void applySwitches(target_endpoint &self, const query_map &query, mono_time now)
{
    auto &switches = self.switches;
    const auto with = [&](const char *name, auto &&action) {
        if (const auto found = query.find(name); found != query.end()) {
            action(found->second);
        }
    };
    with("drain", [&](const std::string &value) {
        switches.leaving = value != "0";
        switches.leavingSince = now;
    });
    with("cold", [&](const std::string &value) {
        switches.coldFor = std::chrono::milliseconds(std::stoul(value));
        switches.coldSince = now;
    });
    with("slow", [&](const std::string &value) {
        switches.slowFactor = std::stod(value);
    });
    with("shed", [&](const std::string &value) {
        switches.shed = value != "0";
    });
    with("fail", [&](const std::string &value) {
        switches.fail = value != "0";
    });
    with("truncate", [&](const std::string &value) {
        switches.truncate = value != "0";
    });
    with("hang", [&](const std::string &value) {
        self.silentUpTo = value == "0" ? 0 : self.connectionSerial;
    });
    with("lie", [&](const std::string &value) {
        using kind = endpoint_switches::lie_kind;
        switches.lie = value == "idle" ? kind::Idle : value == "sick" ? kind::Sick : kind::None;
    });
    if (query.contains("reset")) {
        switches = {};
        self.silentUpTo = 0;
    }
}

/// Owns all endpoints of the process and serves their switches and counters.
class target_process
{
public:
    target_process(asio::io_context &context, const target_options &options)
        : m_context(context)
        , m_options(options)
        , m_random(options.seed)
        , m_pages(context)
    {
        for (const auto &address : options.endpoints) {
            m_endpoints.emplace_back(address, options, m_ledger, m_random.next());
        }
    }

    tl::expected<void, std::string> start()
    {
        for (auto &self : m_endpoints) {
            if (auto listening = serveEndpoint(m_context, self, m_options); !listening) {
                return listening;
            }
        }
        m_pages.add("/control", [this](const page_request &request) -> asio::awaitable<page_answer> {
            co_return control(request);
        });
        m_pages.add("/stats", [this](const page_request &) -> asio::awaitable<page_answer> {
            co_return page_answer {200, "application/json", stats()};
        });
        m_pages.add("/runs", [this](const page_request &) -> asio::awaitable<page_answer> {
            co_return page_answer {200, "text/plain", m_ledger.list()};
        });
        asio::co_spawn(m_context, moveLoop(), asio::detached);
        return m_pages.start(m_options.admin);
    }

private:
    page_answer control(const page_request &request)
    {
        const auto wanted = request.query.find("endpoint");
        const bool all = wanted == request.query.end() || wanted->second == "all";
        const auto now = std::chrono::steady_clock::now();
        std::size_t matched = 0;
        std::ranges::for_each(m_endpoints, [&](target_endpoint &self) {
            if (all || toString(self.address()) == wanted->second) {
                applySwitches(self, request.query, now);
                ++matched;
            }
        });
        if (const auto move = request.query.find("move"); move != request.query.end()) {
            m_moving = move->second != "0";
        }
        return {matched > 0 ? 200U : 404U, "application/json", fmt::format("{{\"endpoints\":{}}}\n", matched)};
    }

    std::string stats() const
    {
        std::string list;
        std::ranges::for_each(m_endpoints, [&](const target_endpoint &self) {
            list += (list.empty() ? "" : ",\n") + self.countsPage();
        });
        return fmt::format("{{\"runs\":{},\"doubled_runs\":{},\"endpoints\":[\n{}]}}\n", m_ledger.runs(), m_ledger.doubled(), list);
    }

    asio::awaitable<void> moveLoop()
    {
        asio::steady_timer timer(m_context);
        while (true) {
            timer.expires_after(kMoveInterval);
            boost::system::error_code error;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
            for (auto &self : m_endpoints) {
                self.switches.moveFactor = m_moving ? kMoveFactors[m_random.below(kMoveFactors.size())] : 1.0;
            }
        }
    }

    asio::io_context &m_context;
    const target_options &m_options;
    random_source m_random;
    run_ledger m_ledger;
    std::deque<target_endpoint> m_endpoints;
    page_server m_pages;
    bool m_moving = false;
};

} // namespace

int main(int argc, char **argv)
{
    const auto options = readOptions(argc, argv);
    asio::io_context context(1);
    target_process process(context, options);
    if (const auto started = process.start(); !started) {
        logTo(log_level::Error, "target", "cannot start error=\"{}\"", started.error());
        return 1;
    }
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) {
        context.stop();
    });
    logTo(log_level::Info, "target", "serving endpoints={} admin={}", options.endpoints.size(), toString(options.admin));
    context.run();
    return 0;
}
