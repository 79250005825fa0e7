#pragma once

#include "sequoiawharf/settings.h"
#include "sequoiawharf/time.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace sequoiawharf
{

/// What a message that measures load is for.
enum class measuring_kind {
    LoadPage, ///< Reading an endpoint's load page.
    SharedReport, ///< Passing reports on to other instances.
    Count,
};

/// Bounds what measuring of load costs one instance, both directions counted, and counts it by kind. Over any window of t seconds at most
/// rate * (t + 1) bytes and messages are admitted. A budget of zero admits nothing. Used on one thread, but for the counts.
class measuring_budget
{
public:
    measuring_budget(const measuring_limits &limits, mono_time now);

    /// Admits one message of up to so many bytes, or refuses it and counts the refusal.
    bool take(measuring_kind kind, std::uint64_t mostBytes, mono_time now);

    /// Tells whether take() would admit a message of so many bytes.
    bool canAfford(std::uint64_t mostBytes, mono_time now);

    /// Gives back the bytes of an admitted message that it did not need. Precondition: take() admitted at least as many.
    void refund(measuring_kind kind, std::uint64_t bytes);

    /// Returns what the kind has used since the start. Thread safe.
    std::uint64_t bytes(measuring_kind kind) const
    {
        return countsOf(kind).bytes.load(std::memory_order_relaxed);
    }
    std::uint64_t messages(measuring_kind kind) const
    {
        return countsOf(kind).messages.load(std::memory_order_relaxed);
    }
    std::uint64_t refusals(measuring_kind kind) const
    {
        return countsOf(kind).refusals.load(std::memory_order_relaxed);
    }

private:
    struct counts {
        std::atomic<std::uint64_t> bytes {0};
        std::atomic<std::uint64_t> messages {0};
        std::atomic<std::uint64_t> refusals {0};
    };

    const counts &countsOf(measuring_kind kind) const
    {
        return m_counts[static_cast<std::size_t>(kind)];
    }
    void refill(mono_time now);

    measuring_limits m_limits;
    double m_heldBytes = 0;
    double m_heldMessages = 0;
    mono_time m_refilled;
    std::array<counts, static_cast<std::size_t>(measuring_kind::Count)> m_counts {};
};

} // namespace sequoiawharf
