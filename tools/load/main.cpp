#include "src/shell/net/http_client.h"
#include "tools/load/caller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cmath>
#include <fmt/format.h>
#include <fstream>
#include <numeric>
#include <unistd.h>

namespace
{

using namespace sequoiawharf;
using namespace sequoiawharf::stand_in;
namespace asio = boost::asio;

constexpr std::chrono::seconds kProgressInterval {5};
constexpr std::chrono::seconds kRunListTimeout {20};
constexpr std::size_t kPrintedBodyBytes = 96;

/// Starts calls at the rate of an open-loop Poisson process: a call starts when due, even if earlier ones are unfinished.
class load_run
{
public:
    load_run(asio::io_context &context, const load_options &options)
        : m_context(context)
        , m_options(options)
        , m_random(options.seed)
        , m_result(options)
    {
        for (std::uint32_t index = 0; index < options.callers; ++index) {
            m_callers.push_back(std::make_unique<caller>(fmt::format("caller-{}", index), options, m_random.next()));
        }
    }

    load_result &result()
    {
        return m_result;
    }

    asio::awaitable<void> schedule()
    {
        asio::steady_timer timer(m_context);
        auto due = std::chrono::steady_clock::now();
        const auto end = due + m_options.duration;
        while (due < end) {
            due += std::chrono::nanoseconds(static_cast<std::int64_t>(-std::log(1.0 - m_random.unit()) * 1e9 / m_options.rate));
            if (due > std::chrono::steady_clock::now()) {
                timer.expires_at(due);
                boost::system::error_code error;
                co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
            }
            ++m_started;
            asio::co_spawn(m_context, runCall(drawCaller(), drawKind(), due), asio::detached);
        }
        m_scheduled = true;
    }

    asio::awaitable<void> showProgress()
    {
        asio::steady_timer timer(m_context);
        while (!m_options.quiet && !m_scheduled) {
            timer.expires_after(kProgressInterval);
            boost::system::error_code error;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
            fmt::print(stderr, "load: started={} finished={}\n", m_started, m_result.finished());
        }
    }

private:
    caller &drawCaller()
    {
        const bool noisy = m_options.noisyShare > 0 && m_random.unit() < m_options.noisyShare;
        return *m_callers[noisy ? 0 : m_random.below(static_cast<std::uint32_t>(m_callers.size()))];
    }

    const call_kind &drawKind()
    {
        const auto total = std::accumulate(m_options.kinds.begin(), m_options.kinds.end(), 0.0, [](double sum, const call_kind &kind) {
            return sum + kind.weight;
        });
        double rest = m_random.unit() * total;
        for (const auto &kind : m_options.kinds) {
            rest -= kind.weight;
            if (rest < 0) {
                return kind;
            }
        }
        return m_options.kinds.back();
    }

    asio::awaitable<void> runCall(caller &from, const call_kind &kind, mono_time due)
    {
        auto id = fmt::format("{:x}-{:x}-{:x}", m_options.seed, ::getpid(), m_started);
        const auto result = co_await from.call(kind, std::move(id));
        m_result.add(kind, result, std::chrono::steady_clock::now() - due);
    }

    asio::io_context &m_context;
    const load_options &m_options;
    random_source m_random;
    load_result m_result;
    std::vector<std::unique_ptr<caller>> m_callers;
    std::uint64_t m_started = 0;
    bool m_scheduled = false;
};

int callOnce(const load_options &options)
{
    asio::io_context context(1);
    caller single("once", options, options.seed);
    call_result result;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            result = co_await single.call(options.kinds.front(), fmt::format("once-{:x}-{:x}", options.seed, ::getpid()));
        },
        asio::detached);
    context.run();
    fmt::print("status={} ending={} reason={} call={} body={}\n",
               result.status,
               result.endingText,
               result.reason,
               result.callId,
               result.body.substr(0, kPrintedBodyBytes));
    return result.ending == seen_ending::Answered && !result.mismatched ? 0 : 1;
}

void checkRuns(const load_options &options, load_result &result)
{
    for (const auto &admin : options.targetAdmins) {
        http_request request;
        request.server = admin;
        request.path = "/runs";
        const auto list = fetchNow(request, kRunListTimeout);
        if (list) {
            result.checkRuns(list->body);
        } else {
            fmt::print(stderr, "load: cannot fetch the run list target={}\n", toString(admin));
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    const auto options = readOptions(argc, argv);
    if (options.once) {
        return callOnce(options);
    }
    asio::io_context context(1);
    load_run run(context, options);
    asio::co_spawn(context, run.schedule(), asio::detached);
    asio::co_spawn(context, run.showProgress(), asio::detached);
    context.run();
    checkRuns(options, run.result());
    fmt::print("{}{}", run.result().markdown(), run.result().json());
    if (!options.resultFile.empty()) {
        std::ofstream(options.resultFile) << run.result().json();
    }
    return run.result().broken() == 0 ? 0 : 1;
}
