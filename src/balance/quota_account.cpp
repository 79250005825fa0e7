#include "sequoiawharf/quota_account.h"

#include <cmath>
#include <numeric>
#include <utility>

namespace sequoiawharf
{

namespace
{

constexpr unsigned kCountBits = 24;
constexpr std::uint64_t kCountMask = (1ULL << kCountBits) - 1;
constexpr std::chrono::milliseconds kInterval {250};
constexpr std::chrono::milliseconds kExhaustedTime {100}; // in which a bucket that gains ten tokens a second gets one
constexpr double kAhead = 0.4; // seconds of calls for which tokens are held: two requests, one of which may be lost

std::uint64_t toMs(boot_time time)
{
    return static_cast<std::uint64_t>(std::chrono::floor<std::chrono::milliseconds>(time.time_since_epoch()).count());
}

std::uint64_t endOf(std::uint64_t grant)
{
    return grant >> kCountBits;
}

std::uint64_t tokensOf(std::uint64_t grant)
{
    return grant & kCountMask;
}

std::uint64_t makeGrant(std::uint64_t endMs, std::uint64_t tokens)
{
    return endMs << kCountBits | std::min(tokens, kCountMask);
}

} // namespace

std::optional<quota_token> quota_tokens::take(boot_time now)
{
    const auto nowMs = toMs(now);
    while (true) {
        std::atomic<std::uint64_t> *first = nullptr;
        std::uint64_t value = 0;
        std::ranges::for_each(m_grants, [&](std::atomic<std::uint64_t> &item) {
            const auto grant = item.load(std::memory_order_relaxed);
            if (tokensOf(grant) > 0 && endOf(grant) > nowMs && (first == nullptr || grant < value)) {
                first = &item;
                value = grant;
            }
        });
        if (first == nullptr) {
            return std::nullopt;
        }
        if (first->compare_exchange_weak(value, value - 1, std::memory_order_relaxed)) {
            return quota_token {endOf(value)};
        }
    }
}

void quota_tokens::giveBack(const quota_token &token, boot_time now)
{
    if (token.endMs <= toMs(now)) {
        return;
    }
    std::ranges::for_each(m_grants, [isReturned = false, &token](std::atomic<std::uint64_t> &item) mutable {
        auto grant = item.load(std::memory_order_relaxed);
        while (!isReturned && endOf(grant) == token.endMs && tokensOf(grant) < kCountMask) {
            isReturned = item.compare_exchange_weak(grant, grant + 1, std::memory_order_relaxed);
        }
    });
}

unsigned quota_tokens::held(boot_time now) const
{
    const auto nowMs = toMs(now);
    return std::accumulate(m_grants.begin(), m_grants.end(), 0U, [&](unsigned sum, const std::atomic<std::uint64_t> &item) {
        const auto grant = item.load(std::memory_order_relaxed);
        return sum + (endOf(grant) > nowMs ? static_cast<unsigned>(tokensOf(grant)) : 0U);
    });
}

bool quota_tokens::isExhausted(boot_time now) const
{
    return toMs(now) < m_exhaustedUntilMs.load(std::memory_order_relaxed);
}

void quota_tokens::setExhausted(boot_time until)
{
    m_exhaustedUntilMs.store(toMs(until), std::memory_order_relaxed);
}

void quota_tokens::add(std::uint32_t tokens, boot_time end, boot_time now)
{
    if (end <= now || tokens == 0) {
        return;
    }
    // The place of the grant that ends first is reused. Tokens in it that have not lapsed are lost, which only happens when more requests are
    // answered than kGrants allows for.
    const auto place = std::ranges::min_element(m_grants, {}, [](const std::atomic<std::uint64_t> &item) {
        return item.load(std::memory_order_relaxed);
    });
    place->store(makeGrant(toMs(end), tokens), std::memory_order_relaxed);
}

void quota_tokens::cut(double proportion)
{
    std::ranges::for_each(m_grants, [&](std::atomic<std::uint64_t> &item) {
        auto grant = item.load(std::memory_order_relaxed);
        auto less = grant;
        do {
            less = makeGrant(endOf(grant), static_cast<std::uint64_t>(std::floor(static_cast<double>(tokensOf(grant)) * proportion)));
        } while (!item.compare_exchange_weak(grant, less, std::memory_order_relaxed));
    });
}

void quota_account::setQuotas(const std::vector<organisation_quota> &quotas)
{
    auto previous = std::exchange(m_entries, {});
    m_entries.reserve(quotas.size());
    std::ranges::for_each(quotas, [&](const organisation_quota &item) {
        const auto match = previous.find(item.organisation);
        auto next = match == previous.end() ? entry {std::make_shared<quota_tokens>(), {}, {}, 0, 0} : std::move(match->second);
        const auto proportion = [&](double call_quota::*field) {
            return item.quota.*field < next.quota.*field ? item.quota.*field / next.quota.*field : 1;
        };
        if (match != previous.end()) {
            next.tokens->cut(std::min(proportion(&call_quota::perSecond), proportion(&call_quota::burst)));
        }
        next.quota = item.quota;
        m_entries.emplace(item.organisation, std::move(next));
    });
}

std::shared_ptr<quota_tokens> quota_account::find(std::uint64_t organisation) const
{
    const auto match = m_entries.find(organisation);
    return match == m_entries.end() ? nullptr : match->second.tokens;
}

// Moves the counts of calls to the next interval when the current one has ended.
void quota_account::measure(boot_time now)
{
    const auto ended = static_cast<std::size_t>((now - m_measured) / kInterval);
    const auto steps = std::min(ended, kIntervals);
    if (ended > 0) {
        m_measured += kInterval * static_cast<std::int64_t>(ended);
    }
    std::ranges::for_each(m_entries, [&](auto &item) {
        auto &calls = item.second.calls;
        calls[0] += item.second.tokens->drainCalls();
        if (steps > 0) {
            std::shift_right(calls.begin(), calls.end(), static_cast<std::ptrdiff_t>(steps));
            std::fill_n(calls.begin(), steps, 0);
        }
    });
}

std::vector<token_count> quota_account::wanted(boot_time now)
{
    measure(now);
    std::ranges::for_each(m_pending, [&](pending &request) {
        if (now - request.sent >= kExpectedAnswer) {
            uncount(request);
        }
    });
    std::erase_if(m_pending, [&](const pending &request) {
        return now - request.sent >= kTokenLifetime;
    });
    std::vector<token_count> wanted;
    std::ranges::for_each(m_entries, [&](const auto &item) {
        const auto &[tokens, quota, calls, coming, shortAnswers] = item.second;
        const auto perSecond = std::accumulate(calls.begin(), calls.end(), 0U);
        const auto waiting = tokens->waiting();
        if (perSecond == 0 && waiting == 0) {
            return;
        }
        // Rounded down: where calls are rare, most of the tokens held in advance would lapse.
        const auto needed = waiting + static_cast<unsigned>(kAhead * perSecond);
        const auto have = tokens->held(now) + coming;
        if (needed > have) {
            wanted.push_back({item.first, needed - have});
        }
    });
    return wanted;
}

void quota_account::sent(std::uint64_t sequence, const std::vector<token_count> &wanted, boot_time now)
{
    m_pending.push_back({sequence, now, true, wanted});
    std::ranges::for_each(wanted, [this](const token_count &item) {
        if (const auto match = m_entries.find(item.organisation); match != m_entries.end()) {
            match->second.coming += item.tokens;
        }
    });
}

void quota_account::uncount(pending &request)
{
    if (!std::exchange(request.isCounted, false)) {
        return;
    }
    std::ranges::for_each(request.wanted, [this](const token_count &item) {
        if (const auto match = m_entries.find(item.organisation); match != m_entries.end()) {
            match->second.coming -= std::min(match->second.coming, item.tokens);
        }
    });
}

void quota_account::granted(std::uint64_t sequence, const std::vector<token_count> &tokens, boot_time now, bool isServing)
{
    const auto request = std::ranges::find(m_pending, sequence, &pending::sequence);
    if (request == m_pending.end()) {
        return;
    }
    uncount(*request);
    if (isServing) {
        recordShortage(*request, tokens, now);
    }
    std::ranges::for_each(tokens, [&](const token_count &item) {
        if (const auto match = m_entries.find(item.organisation); match != m_entries.end()) {
            match->second.tokens->add(item.tokens, request->sent + kTokenUse, now);
        }
    });
    m_pending.erase(request);
}

// One holder may lack tokens that another one has, so that an organisation is exhausted after as many short answers as there are holders.
void quota_account::recordShortage(const pending &request, const std::vector<token_count> &granted, boot_time now)
{
    std::ranges::for_each(request.wanted, [&](const token_count &item) {
        const auto match = m_entries.find(item.organisation);
        if (match == m_entries.end()) {
            return;
        }
        const auto got = std::ranges::find(granted, item.organisation, &token_count::organisation);
        const bool isShort = got == granted.end() || got->tokens < item.tokens;
        auto &answers = match->second.shortAnswers;
        answers = isShort ? answers + 1 : 0;
        match->second.tokens->setExhausted(answers >= kQuotaParts ? now + kExhaustedTime : boot_time {});
    });
}

std::uint64_t quota_account::held(boot_time now) const
{
    return std::accumulate(m_entries.begin(), m_entries.end(), std::uint64_t {0}, [&](std::uint64_t sum, const auto &item) {
        return sum + item.second.tokens->held(now);
    });
}

} // namespace sequoiawharf
