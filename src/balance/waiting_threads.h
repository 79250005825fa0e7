#pragma once

#include <algorithm>
#include <array>
#include <atomic>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <ranges>

namespace sequoiawharf
{

/// The set of threads that hold calls waiting for a permit of one pool. Thread safe and lock-free.
///
/// The order is sequentially consistent: a thread calls started() before it checks for a free permit, and releases a permit before it calls pick(). So
/// either the waiting thread finds the permit or the releasing thread finds the waiting one.
class waiting_threads
{
public:
    static constexpr unsigned kMaxThreads = 256;

    /// Counts a call as waiting on the thread. Precondition: thread < kMaxThreads. Thread safe.
    void started(unsigned thread)
    {
        wordOf(thread).fetch_or(bitOf(thread), std::memory_order_seq_cst);
        m_calls.fetch_add(1, std::memory_order_seq_cst);
    }

    /// Counts a call as no longer waiting on the thread. more: other calls still wait there. Precondition: thread < kMaxThreads. Thread safe.
    void ended(unsigned thread, bool more)
    {
        if (!more) {
            wordOf(thread).fetch_and(~bitOf(thread), std::memory_order_seq_cst);
        }
        m_calls.fetch_sub(1, std::memory_order_seq_cst);
    }

    /// Returns the number of waiting calls. Thread safe.
    std::uint32_t calls() const
    {
        return m_calls.load(std::memory_order_seq_cst);
    }

    /// Returns a thread other than except on which calls wait, round robin, or nothing when there is none. Thread safe.
    std::optional<unsigned> pick(std::optional<unsigned> except = std::nullopt)
    {
        if (calls() == 0) {
            return std::nullopt;
        }
        const auto start = m_nextThread.fetch_add(1, std::memory_order_relaxed) % kMaxThreads;
        const auto nth = [&](unsigned i) {
            return (start + i) % kMaxThreads;
        };
        const auto isWaiting = [&](unsigned thread) {
            return thread != except && (wordOf(thread).load(std::memory_order_seq_cst) & bitOf(thread)) != 0;
        };
        auto threads = std::views::iota(0U, kMaxThreads) | std::views::transform(nth);
        const auto found = std::ranges::find_if(threads, isWaiting);
        return found == threads.end() ? std::nullopt : std::optional<unsigned>(*found);
    }

private:
    static constexpr unsigned kWordBits = 64;

    std::atomic<std::uint64_t> &wordOf(unsigned thread)
    {
        return m_words[thread / kWordBits];
    }
    static std::uint64_t bitOf(unsigned thread)
    {
        return std::uint64_t {1} << (thread % kWordBits);
    }

    std::array<std::atomic<std::uint64_t>, kMaxThreads / kWordBits> m_words {};
    std::atomic<std::uint32_t> m_calls {0};
    std::atomic<unsigned> m_nextThread {0};
};

} // namespace sequoiawharf
