#include "src/shell/gateway/admission_gate.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;

constexpr std::size_t kAdmissionQueueCapacity = 256; // calls of one pool on one thread

constexpr admission kOverloaded {.verdict = admission::kind::Refused, .reason = call_reason::Overloaded, .callerMayRetry = false};
constexpr admission kDeadlineTooShort {.verdict = admission::kind::Refused, .reason = call_reason::DeadlineTooShort, .callerMayRetry = false};

} // namespace

admission_gate::pool_queue::pool_queue()
    : queue(kAdmissionQueueCapacity)
{
}

admission_gate::admission_gate(unsigned thread, const waker &wakeThread)
    : m_thread(thread)
    , m_wakeThread(wakeThread)
{
}

asio::awaitable<admission> admission_gate::enter(balancer_ptr pool, const call_profile &call, call_watch &watch)
{
    const auto first = pool->admit(call, std::chrono::steady_clock::now());
    if (first.verdict != admission::kind::Wait) {
        co_return first;
    }
    auto &poolQueue = m_queues[&pool->state()];
    const auto token = ++m_lastToken;
    const auto dropped = poolQueue.queue.push({token, call});
    if (dropped && dropped->token == token) {
        co_return kOverloaded;
    }
    if (dropped) {
        setVerdict(poolQueue, pool, dropped->token, kOverloaded);
    }
    waiter self(co_await asio::this_coro::executor);
    poolQueue.waiters.emplace(token, &self);
    pool->waitStarted(m_thread);
    wake(pool);

    watch.start();
    const call_watch::scope cancelWait(watch, [&self] {
        self.ended.cancel();
    });
    while (!self.verdict && watch.isRunning()) {
        boost::system::error_code ignored;
        co_await self.ended.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (!self.verdict) {
        poolQueue.queue.remove(token);
        waitEnded(poolQueue, pool, token);
        co_return kDeadlineTooShort;
    }
    co_return *self.verdict;
}

void admission_gate::leave(const balancer_ptr &pool)
{
    postWake(pool->release(), pool);
}

void admission_gate::wake(const balancer_ptr &pool)
{
    const auto found = m_queues.find(&pool->state());
    if (found == m_queues.end()) {
        return;
    }
    auto &poolQueue = found->second;
    const auto now = std::chrono::steady_clock::now();
    const auto minTime = pool->leastLatency();
    std::ranges::for_each(poolQueue.queue.takeExpired(now, minTime), [&](const waiting_call &expired) {
        setVerdict(poolQueue, pool, expired.token, kDeadlineTooShort);
    });
    while (!poolQueue.queue.empty() && pool->admitWaiting()) {
        const auto next = poolQueue.queue.pop(now, minTime);
        if (!next) {
            postWake(pool->release(), pool);
            return;
        }
        setVerdict(poolQueue, pool, next->token, {});
    }
}

void admission_gate::tidy()
{
    std::erase_if(m_queues, [](const auto &entry) {
        return entry.second.waiters.empty();
    });
}

void admission_gate::setVerdict(pool_queue &poolQueue, const balancer_ptr &pool, std::uint64_t token, const admission &verdict)
{
    const auto found = poolQueue.waiters.find(token);
    found->second->verdict = verdict;
    found->second->ended.cancel();
    waitEnded(poolQueue, pool, token);
}

// Precondition: the call has left waiting.queue.
void admission_gate::waitEnded(pool_queue &poolQueue, const balancer_ptr &pool, std::uint64_t token)
{
    poolQueue.waiters.erase(token);
    postWake(pool->waitEnded(m_thread, !poolQueue.queue.empty()), pool);
}

void admission_gate::postWake(std::optional<unsigned> thread, const balancer_ptr &pool)
{
    if (thread) {
        m_wakeThread(*thread, pool);
    }
}

} // namespace sequoiawharf
