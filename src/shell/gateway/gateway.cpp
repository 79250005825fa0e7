#include "src/shell/gateway/gateway.h"

#include "src/shell/gateway/gateway_shared.h"
#include "src/shell/gateway/gateway_thread.h"
#include "src/shell/metrics/gateway_metrics.h"
#include "src/shell/net/clock.h"
#include "src/shell/net/log.h"

#include <algorithm>
#include <numeric>
#include <random>
#include <ranges>
#include <thread>

namespace sequoiawharf
{

namespace
{

constexpr std::string_view kLogPart = "gateway";
constexpr std::chrono::milliseconds kFinishPollInterval {5};

std::uint64_t seedOf(const instance_settings &settings)
{
    if (settings.seed != 0) {
        return settings.seed;
    }
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

rcu_snapshot<readiness>::pointer makeReadiness(bool isReady, std::string_view why, mono_time unreadySince)
{
    return std::make_shared<const readiness>(readiness {isReady, std::string(why), unreadySince});
}

} // namespace

gateway::gateway(const instance_settings &settings,
                 const rcu_snapshot<routing> &routings,
                 const directory &entries,
                 std::vector<relay_client *> relays,
                 event_sink &events,
                 gateway_metrics &metrics,
                 const call_dialect &dialect,
                 const configuration_freshness *freshness,
                 quota_access *quotas)
    : m_shared(std::unique_ptr<gateway_shared>(new gateway_shared {settings,
                                                                   routings,
                                                                   entries,
                                                                   std::move(relays),
                                                                   events,
                                                                   metrics,
                                                                   dialect,
                                                                   freshness,
                                                                   quotas,
                                                                   rcu_snapshot<readiness>(makeReadiness(false, "it is starting", monoNow())),
                                                                   {}}))
{
    m_shared->wake = [this](unsigned thread, const balancer_ptr &pool) {
        m_threads[thread]->wake(pool);
    };
    random_source seeds(seedOf(settings));
    std::ranges::for_each(std::views::iota(0U, settings.threads), [&](unsigned index) {
        m_threads.push_back(std::make_unique<gateway_thread>(*m_shared, index, seeds.next()));
    });
}

gateway::~gateway()
{
    std::ranges::for_each(m_threads, &gateway_thread::stop);
}

tl::expected<void, std::string> gateway::start()
{
    auto address = m_shared->settings.gateway;
    for (const auto &thread : m_threads) {
        if (auto listening = thread->listen(address); !listening) {
            return listening;
        }
        address.port = thread->port();
    }
    std::ranges::for_each(m_threads, &gateway_thread::start);
    logTo(log_level::Info, kLogPart, "Gateway is listening. address={} threads={}", toString(address), m_threads.size());
    return {};
}

host_port gateway::address() const
{
    return {m_shared->settings.gateway.host, m_threads.front()->port()};
}

void gateway::setReady(bool ready, std::string_view why)
{
    const auto previous = m_shared->ready.load();
    m_shared->ready.store(makeReadiness(ready, why, previous->isReady ? monoNow() : previous->unreadySince));
    std::ranges::for_each(m_threads, &gateway_thread::readinessChanged);
}

void gateway::tokensArrived()
{
    std::ranges::for_each(m_threads, &gateway_thread::tokensArrived);
}

void gateway::beginStop(const stop_bounds &bounds)
{
    m_shared->isStopping.store(true, std::memory_order_relaxed);
    std::ranges::for_each(m_threads, [&](const auto &thread) {
        thread->beginStop(bounds);
    });
}

std::size_t gateway::callsInFlight() const
{
    const auto threads = std::views::iota(0U, static_cast<unsigned>(m_threads.size()));
    const auto count = std::transform_reduce(threads.begin(), threads.end(), std::int64_t {0}, std::plus<> {}, [&](unsigned index) {
        return m_shared->metrics.forThread(index).callsInFlight.load(std::memory_order_relaxed);
    });
    return static_cast<std::size_t>(std::max<std::int64_t>(count, 0));
}

std::size_t gateway::finish(std::chrono::milliseconds deadline)
{
    const auto end = std::chrono::steady_clock::now() + deadline;
    m_shared->isStopping.store(true, std::memory_order_relaxed);
    m_shared->isClosingIdle.store(true, std::memory_order_relaxed);
    std::ranges::for_each(m_threads, &gateway_thread::closeListener);
    const auto isBusy = [this] {
        return callsInFlight() > 0 || m_shared->callerConnections.load(std::memory_order_relaxed) > 0;
    };
    while (isBusy() && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(kFinishPollInterval);
    }
    const auto cut = callsInFlight();
    std::ranges::for_each(m_threads, &gateway_thread::stop);
    logTo(cut == 0 ? log_level::Info : log_level::Warning, kLogPart, "Gateway stopped. calls_cut={}", cut);
    return cut;
}

std::size_t gateway::threadCount() const
{
    return m_threads.size();
}

void gateway::runOnThread(std::size_t thread, std::function<void(call_handler &, boost::asio::io_context &)> action)
{
    m_threads[thread]->post(std::move(action));
}

} // namespace sequoiawharf
