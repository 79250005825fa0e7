#pragma once

#include "sequoiawharf/settings.h"
#include "sequoiawharf/time.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace sequoiawharf
{

/// The purpose of a load measurement message.
enum class measuring_kind {
    LoadPage, ///< Reads an endpoint's load page.
    SharedReport, ///< Shares load reports with other instances.
    Count,
};

/// Limits the traffic of one instance's load measurements, both directions together, by two token buckets for bytes and messages, and counts it by
/// kind. Over any window of t seconds at most rate * (t + 1) bytes and messages are admitted; a rate of 0 admits nothing. Used on one thread, except
/// for the counters.
class measuring_budget
{
public:
    measuring_budget(const measuring_limits &limits, mono_time now);

    /// Returns whether a message of up to maxBytes bytes is admitted. Charges an admitted message to the budget and counts a refused one.
    bool take(measuring_kind kind, std::uint64_t maxBytes, mono_time now);

    /// Returns whether take() would admit a message of up to maxBytes bytes now.
    bool canAfford(std::uint64_t maxBytes, mono_time now);

    /// Returns to the budget the bytes that an admitted message did not use. Precondition: take() has charged at least as many bytes to the kind.
    void refund(measuring_kind kind, std::uint64_t bytes);

    /// Returns the bytes used by the kind since the start. Thread safe.
    std::uint64_t bytes(measuring_kind kind) const
    {
        return usageOf(kind).bytes.load(std::memory_order_relaxed);
    }

    /// Returns the number of admitted messages of the kind since the start. Thread safe.
    std::uint64_t messages(measuring_kind kind) const
    {
        return usageOf(kind).messages.load(std::memory_order_relaxed);
    }

    /// Returns the number of refused messages of the kind since the start. Thread safe.
    std::uint64_t refusals(measuring_kind kind) const
    {
        return usageOf(kind).refusals.load(std::memory_order_relaxed);
    }

private:
    struct usage {
        std::atomic<std::uint64_t> bytes {0};
        std::atomic<std::uint64_t> messages {0};
        std::atomic<std::uint64_t> refusals {0};
    };

    const usage &usageOf(measuring_kind kind) const
    {
        return m_usage[static_cast<std::size_t>(kind)];
    }
    void refill(mono_time now);

    measuring_limits m_limits;
    double m_availableBytes = 0;
    double m_availableMessages = 0;
    mono_time m_lastRefill;
    std::array<usage, static_cast<std::size_t>(measuring_kind::Count)> m_usage {};
};

} // namespace sequoiawharf
