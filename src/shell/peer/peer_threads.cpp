#include "src/shell/peer/peer_threads.h"

#include "sequoiawharf/routing.h"
#include "src/base/rcu_snapshot.h"
#include "src/shell/gateway/gateway.h"
#include "src/shell/peer/peer_node.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <future>
#include <ranges>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;

constexpr std::chrono::hours kRetainInterval {1};

/// Holds a reference to the server until the context is destroyed, which destroys this coroutine.
asio::awaitable<void> retainServer(std::shared_ptr<peer_server> server)
{
    async_signal never;
    while (server) {
        co_await never.wait(std::chrono::steady_clock::now() + kRetainInterval);
    }
}

/// Returns a function that returns the priority of a call according to the routes in force.
std::function<route_class(const call_head &)> classifyBy(const rcu_snapshot<routing> &routings)
{
    return [&routings](const call_head &head) {
        const auto current = routings.load();
        const auto *const rule = current->config().routes.find(head.method, head.path.substr(0, head.path.find('?')));
        return rule == nullptr ? route_class::Normal : rule->priority;
    };
}

} // namespace

peer_threads::peer_threads(const instance_settings &settings,
                           incarnation process,
                           std::uint64_t seed,
                           peer_node &node,
                           asio::io_context &control,
                           const rcu_snapshot<routing> &routings)
    : m_settings(settings)
    , m_process(process)
    , m_node(node)
    , m_control(control)
    , m_routings(routings)
    , m_traffic(std::make_shared<peer_traffic>())
    , m_pacer(std::make_unique<link_pacer>(node.linkBudget()))
    , m_servers(settings.threads)
{
    const peer_identity self {settings.id, process};
    std::ranges::generate_n(std::back_inserter(m_relays), settings.threads, [&] {
        return std::make_unique<peer_relay>(peer_relay::parts {self, &node.relays(), m_pacer.get(), classifyBy(routings), m_traffic}, ++seed);
    });
}

peer_threads::~peer_threads() = default;

std::vector<relay_client *> peer_threads::relays() const
{
    std::vector<relay_client *> all;
    std::ranges::transform(m_relays, std::back_inserter(all), &std::unique_ptr<peer_relay>::get);
    return all;
}

peer_services peer_threads::services(call_handler &calls) const
{
    const peer_identity self {m_settings.id, m_process};
    return {self, runOn(m_control, m_node.handler()), &calls, m_pacer.get(), classifyBy(m_routings), m_traffic};
}

tl::expected<void, std::string> peer_threads::start(gateway &threads)
{
    tl::expected<void, std::string> outcome;
    std::ranges::for_each(std::views::iota(std::size_t {0}, m_relays.size()), [&](std::size_t index) {
        std::promise<tl::expected<void, std::string>> listening;
        threads.runOnThread(index, [&](call_handler &calls, asio::io_context &context) {
            const auto server = std::make_shared<peer_server>(context, services(calls));
            m_servers[index] = server;
            asio::co_spawn(context, retainServer(server), asio::detached);
            listening.set_value(server->start(m_settings.peer));
        });
        const auto result = listening.get_future().get();
        outcome = outcome ? result : outcome;
    });
    return outcome;
}

void peer_threads::beginStop(gateway &threads)
{
    std::ranges::for_each(std::views::iota(std::size_t {0}, m_relays.size()), [&](std::size_t index) {
        threads.runOnThread(index, [this, index](call_handler &, asio::io_context &) {
            if (const auto server = m_servers[index].lock()) {
                server->stop();
            }
            m_relays[index]->stop();
        });
    });
}

} // namespace sequoiawharf
