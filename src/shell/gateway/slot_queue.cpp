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

constexpr std::size_t kSlotQueueCapacity = 512; // calls of one pool on one thread
constexpr std::chrono::seconds kFreedRateWindow {1};

void removeOldTimes(std::deque<mono_time> &times, mono_time now)
{
    while (!times.empty() && times.front() + kFreedRateWindow < now) {
        times.pop_front();
    }
}

bool isProcessOf(const endpoint &one, const endpoint &other)
{
    return one.identity == other.identity && one.incarnation == other.incarnation;
}

} // namespace

slot_queue::pool_queue::pool_queue()
    : queue(kSlotQueueCapacity)
{
}

slot_queue::slot_queue(connection_pool &connections)
    : m_connections(connections)
{
}

std::size_t slot_queue::waiting(const balancer_ptr &pool) const
{
    const auto found = m_queues.find(&pool->state());
    return found == m_queues.end() ? 0 : found->second.queue.size();
}

bool slot_queue::isFirst(const balancer_ptr &pool, const call_profile &call) const
{
    const auto found = m_queues.find(&pool->state());
    return found == m_queues.end() || found->second.queue.isFirst(call);
}

double slot_queue::slotsFreedPerSecond(const balancer_ptr &pool, mono_time now)
{
    const auto found = m_queues.find(&pool->state());
    if (found == m_queues.end()) {
        return 0;
    }
    removeOldTimes(found->second.freedTimes, now);
    return static_cast<double>(found->second.freedTimes.size()) / std::chrono::duration<double>(kFreedRateWindow).count();
}

asio::awaitable<slot_wait_result> slot_queue::wait(balancer_ptr pool, call_profile call, mono_time until, call_watch &watch)
{
    const auto *const key = &pool->state();
    const auto token = ++m_lastToken;
    if (const auto dropped = m_queues[key].queue.push({token, call})) {
        auto &poolQueue = m_queues[key];
        if (const auto last = poolQueue.waiters.find(dropped->token); last != poolQueue.waiters.end()) {
            last->second->result.isDropped = true;
            last->second->ended.cancel();
        }
        if (dropped->token == token) {
            co_return slot_wait_result {.slot = std::nullopt, .isDropped = true};
        }
    }
    const auto executor = co_await asio::this_coro::executor;
    waiter self(std::move(pool), executor, until);
    m_queues[key].waiters.emplace(token, &self);
    {
        const call_watch::scope cancelWait(watch, [&self] {
            self.ended.cancel();
        });
        if (watch.isRunning()) {
            boost::system::error_code ignored;
            co_await self.ended.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }
    auto &poolQueue = m_queues[key];
    poolQueue.queue.remove(token);
    poolQueue.waiters.erase(token);
    co_return std::move(self.result);
}

void slot_queue::slotFreed(const balancer_ptr &pool, const probed_endpoint &freed, mono_time now)
{
    auto &poolQueue = m_queues[&pool->state()];
    removeOldTimes(poolQueue.freedTimes, now);
    poolQueue.freedTimes.push_back(now);
    if (poolQueue.queue.empty() || !isUncongested(freed)) {
        return;
    }
    // The waiting call may have started under another configuration, in which the endpoint has another index or does not exist, or in which another
    // process had its address.
    const auto &process = pool->at(freed.index).definition();
    const auto &address = process.address;
    const auto first = poolQueue.queue.pop(now, std::chrono::nanoseconds::zero(), [&](const waiting_call &call) {
        const auto &waitedFor = *poolQueue.waiters.find(call.token)->second->pool;
        const auto index = waitedFor.find(address);
        return !index
               || (isProcessOf(process, waitedFor.at(*index).definition()) && waitedFor.mayTakeRequests(*index, now) && waitedFor.mayUse(*index, call.profile));
    });
    if (!first) {
        return;
    }
    auto &next = *poolQueue.waiters.find(first->token)->second;
    const auto index = next.pool->find(address);
    if (index) {
        next.result.slot.emplace(chosen_endpoint {freed, m_connections.acquireIdleForProbe(address)});
        next.result.slot->endpoint.index = *index;
    }
    next.ended.cancel();
}

void slot_queue::tidy(mono_time now)
{
    std::ranges::for_each(m_queues, [&](auto &entry) {
        removeOldTimes(entry.second.freedTimes, now);
    });
    std::erase_if(m_queues, [](const auto &entry) {
        return entry.second.waiters.empty() && entry.second.queue.empty() && entry.second.freedTimes.empty();
    });
}

} // namespace sequoiawharf
