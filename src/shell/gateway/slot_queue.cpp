#include "src/shell/gateway/slot_queue.h"

#include "sequoiawharf/slot_wait.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <tuple>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;

constexpr std::size_t kQueueCapacity = 512;
constexpr std::chrono::seconds kRateWindow {1};

void forgetOld(std::deque<mono_time> &times, mono_time now)
{
    while (!times.empty() && times.front() + kRateWindow < now) {
        times.pop_front();
    }
}

} // namespace

slot_line::line::line()
    : queue(kQueueCapacity)
{
}

slot_line::slot_line(connection_pool &connections)
    : m_connections(connections)
{
}

std::size_t slot_line::waiting(const balancer_ptr &pool) const
{
    const auto found = m_lines.find(&pool->state());
    return found == m_lines.end() ? 0 : found->second.queue.size();
}

bool slot_line::isFirst(const balancer_ptr &pool, const call_profile &call) const
{
    const auto found = m_lines.find(&pool->state());
    return found == m_lines.end() || found->second.queue.isFirst(call);
}

double slot_line::freedPerSecond(const balancer_ptr &pool, mono_time now)
{
    const auto found = m_lines.find(&pool->state());
    if (found == m_lines.end()) {
        return 0;
    }
    forgetOld(found->second.freed, now);
    return static_cast<double>(found->second.freed.size()) / std::chrono::duration<double>(kRateWindow).count();
}

asio::awaitable<std::optional<chosen_endpoint>> slot_line::wait(balancer_ptr pool, call_profile call, mono_time until, call_watch &watch)
{
    const auto *const key = &pool->state();
    const auto token = ++m_lastToken;
    if (const auto dropped = m_lines[key].queue.push({token, call})) {
        auto &calls = m_lines[key];
        if (const auto last = calls.waiters.find(dropped->token); last != calls.waiters.end()) {
            last->second->ended.cancel();
        }
        if (dropped->token == token) {
            co_return std::nullopt;
        }
    }
    const auto executor = co_await asio::this_coro::executor;
    waiter self(std::move(pool), executor, until);
    m_lines[key].waiters.emplace(token, &self);
    {
        const call_watch::scope giveUp(watch, [&self] {
            self.ended.cancel();
        });
        if (watch.isRunning()) {
            boost::system::error_code ignored;
            co_await self.ended.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }
    auto &calls = m_lines[key];
    calls.queue.remove(token);
    calls.waiters.erase(token);
    co_return std::move(self.slot);
}

void slot_line::freed(const balancer_ptr &pool, const probed_endpoint &seen, mono_time now)
{
    auto &calls = m_lines[&pool->state()];
    forgetOld(calls.freed, now);
    calls.freed.push_back(now);
    if (calls.queue.empty() || !isUncongested(seen)) {
        return;
    }
    const auto first = calls.queue.pop(now, std::chrono::nanoseconds::zero());
    if (!first) {
        return;
    }
    auto &next = *calls.waiters.find(first->token)->second;
    // The waiting call may have begun under another configuration, in which the endpoint has another place.
    const auto &address = pool->at(seen.index).definition().address;
    const auto index = next.pool->find(address);
    if (index) {
        next.slot.emplace(chosen_endpoint {seen, m_connections.acquireIdleForProbe(address)});
        next.slot->seen.index = *index;
    }
    next.ended.cancel();
}

void slot_line::tidy(mono_time now)
{
    std::ranges::for_each(m_lines, [&](auto &entry) {
        forgetOld(entry.second.freed, now);
    });
    std::erase_if(m_lines, [](const auto &entry) {
        return entry.second.waiters.empty() && entry.second.queue.empty() && entry.second.freed.empty();
    });
}

} // namespace sequoiawharf
