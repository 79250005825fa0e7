#include "src/shell/instance/quota_control.h"

#include "sequoiawharf/rendezvous.h"
#include "src/shell/net/clock.h"
#include "src/shell/net/log.h"
#include "src/shell/peer/peer_node.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <numeric>
#include <utility>
#include <vector>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr std::string_view kQuotaPart = "quota";
constexpr std::string_view kHolderRole = "quota";
constexpr milliseconds kQuotaTick {50}; // quota_exchange::tick() asks for it
constexpr std::chrono::minutes kInactiveWait {1}; // the wait also ends when quotas come into force
constexpr milliseconds kFirstGrantDelay {200}; // from the first loan: a request, and the time in which a bucket of a busy organisation gets tokens
constexpr std::chrono::seconds kRefusalLogInterval {10};
constexpr std::size_t kLoggedOrganisations = 5; // with the most refusals, each time

// The quotas are divided among the regions, so that no loan has to be confirmed across the link between them.
unsigned regionsOf(const instance_settings &settings)
{
    return static_cast<unsigned>(settings.regions.size());
}

std::uint64_t tokensIn(const std::vector<token_count> &tokens)
{
    return std::accumulate(tokens.begin(), tokens.end(), std::uint64_t {0}, [](std::uint64_t sum, const token_count &item) {
        return sum + item.tokens;
    });
}

} // namespace

quota_control::quota_control(asio::io_context &context, const instance_settings &settings, incarnation process, peer_node &node)
    : m_context(context)
    , m_settings(settings)
    , m_node(node)
    , m_exchange(settings.id, bootNow())
    , m_grantsFrom(m_exchange.lender().lendsFrom() + kFirstGrantDelay)
    , m_holder(process, settings.quotas, regionsOf(settings))
    , m_current(std::make_shared<const token_table>())
    , m_tokens(m_current)
{
}

void quota_control::start()
{
    asio::co_spawn(m_context, run(), asio::detached);
}

void quota_control::setOrganisations(const organisation_table &organisations)
{
    if (organisations == m_organisations) {
        return;
    }
    m_organisations = organisations;
    const auto quotas = quotasOf(organisations);
    m_exchange.account().setQuotas(quotas);
    m_holder.setQuotas(quotas, bootNow());
    auto tokens = std::make_shared<token_table>();
    std::ranges::for_each(organisations.organisations(), [&](const organisation &item) {
        if (auto held = m_exchange.account().find(quotaKey(item.name))) {
            tokens->emplace(item.name, std::move(held));
        }
    });
    m_current = std::move(tokens);
    m_tokens.store(m_current);
    if (std::exchange(m_isActive, !quotas.empty()) != m_isActive) {
        logTo(log_level::Info, kQuotaPart, "Quotas of organisations are {}. organisations={}", m_isActive ? "enforced" : "not enforced", quotas.size());
        m_activated.notify();
    }
}

void quota_control::setCandidates(std::map<instance_id, host_port> candidates)
{
    if (candidates == m_candidates) {
        return;
    }
    m_candidates = std::move(candidates);
    std::vector<std::pair<std::uint64_t, instance_id>> ranked;
    std::ranges::transform(m_candidates, std::back_inserter(ranked), [](const auto &item) {
        return std::pair(rendezvousWeight(kHolderRole, item.first.str()), item.first);
    });
    std::ranges::sort(ranked, std::ranges::greater {});
    std::vector<instance_id> ids;
    std::ranges::transform(ranked, std::back_inserter(ids), &std::pair<std::uint64_t, instance_id>::second);
    m_exchange.setCandidates(std::move(ids));
}

void quota_control::recordInstances(std::uint32_t instances)
{
    m_exchange.lender().recordInstances(instances);
}

quota_grant quota_control::answer(const quota_request &request)
{
    auto grant = m_holder.answer(request, bootNow());
    m_figures.granted += tokensIn(grant.granted);
    return grant;
}

quota_figures quota_control::figures() const
{
    auto result = m_figures;
    result.held = m_exchange.account().held(bootNow());
    result.loans = m_holder.loans();
    result.share = m_holder.share();
    return result;
}

std::shared_ptr<quota_tokens> quota_control::tokensOf(const organisation &caller) const
{
    const auto tokens = m_tokens.load();
    const auto found = tokens->find(caller.name);
    return found == tokens->end() ? nullptr : found->second;
}

void quota_control::requestTokens()
{
    if (!m_isTickPosted.exchange(true)) {
        asio::post(m_context, [this] {
            m_isTickPosted.store(false);
            tick();
        });
    }
}

asio::awaitable<void> quota_control::run()
{
    while (true) {
        if (m_isActive) {
            tick();
            logRole();
            logRefusals();
        }
        co_await m_activated.wait(monoNow() + (m_isActive ? kQuotaTick : milliseconds(kInactiveWait)));
    }
}

void quota_control::tick()
{
    const auto now = bootNow();
    m_holder.expire(now);
    auto actions = m_exchange.tick(now);
    std::ranges::for_each(actions, [&](quota_exchange::action &action) {
        if (action.to == m_settings.id) {
            const auto sequence = action.request.sequence;
            return receive(action.to, sequence, answer(action.request));
        }
        if (const auto holder = m_candidates.find(action.to); holder != m_candidates.end()) {
            asio::co_spawn(m_context, send(std::move(action), holder->second), asio::detached);
        }
    });
}

asio::awaitable<void> quota_control::send(quota_exchange::action action, host_port to)
{
    ++m_figures.requests;
    const auto sequence = action.request.sequence;
    const auto grant = co_await m_node.requestQuota(std::move(to), std::move(action.request));
    if (grant) {
        receive(action.to, sequence, *grant);
    } else {
        ++m_figures.unanswered;
    }
}

void quota_control::receive(const instance_id &holder, std::uint64_t sequence, const quota_grant &grant)
{
    m_exchange.handleGrant(holder, sequence, grant, bootNow());
    // Calls that wait also learn that no tokens were left.
    const bool isAnyWaiting = std::ranges::any_of(*m_current, [](const auto &item) {
        return item.second->waiting() > 0;
    });
    if (isAnyWaiting) {
        m_onTokens();
    }
}

void quota_control::logRole()
{
    const bool isHolder = m_holder.share() > 0;
    if (std::exchange(m_isHolder, isHolder) != isHolder) {
        logTo(log_level::Info,
              kQuotaPart,
              "This instance {} tokens of the region's quotas. loans={} share={:.3f}",
              isHolder ? "grants" : "no longer grants",
              m_holder.loans(),
              m_holder.share());
    }
}

// Logs the organisations with the most calls that were refused since the last time.
void quota_control::logRefusals()
{
    const auto now = bootNow();
    if (now - m_refusalsLogged < kRefusalLogInterval) {
        return;
    }
    m_refusalsLogged = now;
    std::vector<std::pair<std::uint32_t, organisation_name>> refused;
    std::ranges::for_each(*m_current, [&](const auto &item) {
        if (const auto calls = item.second->drainRefusals(); calls > 0) {
            refused.emplace_back(calls, item.first);
        }
    });
    std::ranges::sort(refused, std::ranges::greater {});
    refused.resize(std::min(refused.size(), kLoggedOrganisations));
    std::ranges::for_each(refused, [](const auto &item) {
        logTo(log_level::Warning, kQuotaPart, "Calls beyond the quota were refused. organisation=\"{}\" calls={}", item.second.str(), item.first);
    });
}

} // namespace sequoiawharf
