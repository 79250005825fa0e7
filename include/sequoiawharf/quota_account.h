#pragma once

#include "sequoiawharf/quota_message.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sequoiawharf
{

/// A token that a call has taken.
struct quota_token {
    std::uint64_t endMs = 0; ///< When it lapses, in milliseconds on the boot clock.
};

/// The tokens that this instance holds for one organisation. Gateway threads take them without a lock; one control thread adds them.
class quota_tokens
{
public:
    /// Counts a call of the organisation. Thread safe.
    void countCall()
    {
        m_calls.fetch_add(1, std::memory_order_relaxed);
    }

    /// Takes the token that lapses first, if one is held. Thread safe.
    std::optional<quota_token> take(boot_time now);

    /// Returns the token of a call that was not sent, unless it has lapsed. Thread safe.
    void giveBack(const quota_token &token, boot_time now);

    /// Counts a call that was refused because there was no token. Thread safe.
    void countRefusal()
    {
        m_refusals.fetch_add(1, std::memory_order_relaxed);
    }

    /// Changes the number of calls that wait for a token. Thread safe.
    void addWaiting(int calls)
    {
        m_waiting.fetch_add(calls, std::memory_order_relaxed);
    }

    /// Returns the number of calls that wait for a token. Thread safe.
    unsigned waiting() const
    {
        return static_cast<unsigned>(std::max(m_waiting.load(std::memory_order_relaxed), 0));
    }

    /// Returns the number of tokens held. Thread safe.
    unsigned held(boot_time now) const;

    /// Returns whether no holder has had tokens for this instance lately, so that a call need not wait for one. Thread safe.
    bool isExhausted(boot_time now) const;

    /// Sets until when isExhausted() holds. Control thread.
    void setExhausted(boot_time until);

    /// Adds tokens that lapse at a time. Control thread.
    void add(std::uint32_t tokens, boot_time end, boot_time now);

    /// Reduces the tokens held to a proportion. Control thread.
    void cut(double proportion);

    /// Returns the number of calls since the last time it was asked. Control thread.
    std::uint32_t drainCalls()
    {
        return m_calls.exchange(0, std::memory_order_relaxed);
    }

    /// Returns the number of refused calls since the last time it was asked. Control thread.
    std::uint32_t drainRefusals()
    {
        return m_refusals.exchange(0, std::memory_order_relaxed);
    }

private:
    /// Grants that are held at the same time: three holders, four requests a second, a lifetime of a second, and as many again for requests that
    /// were sent at once.
    static constexpr std::size_t kGrants = 24;

    std::array<std::atomic<std::uint64_t>, kGrants> m_grants {}; ///< End in milliseconds (upper 40 bits) and number of tokens (lower 24 bits).
    std::atomic<std::uint32_t> m_calls {0};
    std::atomic<std::uint32_t> m_refusals {0};
    std::atomic<int> m_waiting {0};
    std::atomic<std::uint64_t> m_exhaustedUntilMs {0}; ///< On the boot clock.
};

/// The tokens of all organisations at this instance, and what to request. Not thread safe, except the quota_tokens that it hands out.
class quota_account
{
public:
    /// Sets the quotas in force. Tokens of an organisation whose quota is lowered are cut in proportion.
    void setQuotas(const std::vector<organisation_quota> &quotas);

    /// Returns the tokens of an organisation, or null when it has no quota. They may be used as long as the pointer is kept.
    std::shared_ptr<quota_tokens> find(std::uint64_t organisation) const;

    /// Returns whether any organisation has a quota.
    bool hasQuotas() const
    {
        return !m_entries.empty();
    }

    /// Returns the tokens to request now. Precondition: the request is recorded by sent() unless it is empty.
    std::vector<token_count> wanted(boot_time now);

    /// Records that a request has been sent. sequence: identifies it, larger than those before.
    void sent(std::uint64_t sequence, const std::vector<token_count> &wanted, boot_time now);

    /// Adds the tokens granted to a request. A second answer to a request is ignored. isServing: the holder has shares to grant from; otherwise its answer
    /// says nothing of what an organisation may use.
    void granted(std::uint64_t sequence, const std::vector<token_count> &tokens, boot_time now, bool isServing = true);

    /// Returns the number of tokens held.
    std::uint64_t held(boot_time now) const;

private:
    /// Number of intervals over which the rate of calls is measured.
    static constexpr std::size_t kIntervals = 4;

    struct entry {
        std::shared_ptr<quota_tokens> tokens;
        call_quota quota;
        std::array<std::uint32_t, kIntervals> calls {}; ///< Calls in the last intervals, the current one first.
        std::uint32_t coming = 0; ///< Tokens requested, not answered.
        unsigned shortAnswers = 0; ///< Answers in a row that granted less than was requested.
    };
    struct pending {
        std::uint64_t sequence = 0;
        boot_time sent;
        bool isCounted = true; ///< Its tokens are in entry::coming.
        std::vector<token_count> wanted;
    };

    void uncount(pending &request);
    void recordShortage(const pending &request, const std::vector<token_count> &granted, boot_time now);
    void measure(boot_time now);

    std::unordered_map<std::uint64_t, entry> m_entries;
    std::vector<pending> m_pending; ///< Ordered by sequence.
    boot_time m_measured {}; ///< Start of the current interval.
};

} // namespace sequoiawharf
