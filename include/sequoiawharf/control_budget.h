#pragma once

#include "sequoiawharf/time.h"

#include <array>
#include <cstdint>

namespace sequoiawharf
{

/// Purpose of control traffic.
enum class control_kind {
    DataCentre, ///< Heartbeats within the data centre.
    Region, ///< Heartbeats between data centres of one region.
    Link, ///< Heartbeats between regions.
    Configuration, ///< Changes of the configuration tables.
    State, ///< Whole tables for an instance that starts or was disconnected for long; counted but not limited.
    Count, ///< Number of kinds.
};

/// Limits the bytes of control traffic that one instance sends and receives, and counts them by kind. In any window of t seconds at most
/// rate * (t + 1) bytes are admitted, control_kind::State and what addOnce() allows excluded. Not thread safe.
class control_budget
{
public:
    /// bytesPerSecond: limit of all control traffic. linkBytesPerSecond: limit of the part between regions.
    control_budget(std::uint64_t bytesPerSecond, std::uint64_t linkBytesPerSecond, mono_time now);

    /// Allows the bytes once, in addition to the limit of all control traffic.
    void addOnce(std::uint64_t bytes);

    /// Counts a message without limiting it.
    void count(control_kind kind, std::uint64_t bytes);

    /// Returns true and counts the message when its bytes are within the limits; otherwise returns false and counts a refusal.
    bool admit(control_kind kind, std::uint64_t bytes, mono_time now);

    /// Returns the number of bytes that admit() would accept now.
    std::uint64_t available(control_kind kind, mono_time now);

    /// Returns the number of bytes counted for the kind.
    std::uint64_t bytes(control_kind kind) const
    {
        return m_counts[static_cast<std::size_t>(kind)].bytes;
    }
    /// Returns the number of messages counted for the kind.
    std::uint64_t messages(control_kind kind) const
    {
        return m_counts[static_cast<std::size_t>(kind)].messages;
    }
    /// Returns the number of refusals of the kind.
    std::uint64_t refusals(control_kind kind) const
    {
        return m_counts[static_cast<std::size_t>(kind)].refusals;
    }

private:
    struct counts {
        std::uint64_t bytes = 0;
        std::uint64_t messages = 0;
        std::uint64_t refusals = 0;
    };

    /// A token bucket whose capacity is the rate of one second.
    struct bucket {
        std::uint64_t rate = 0; ///< Bytes per second.
        double tokens = 0; ///< Bytes.
    };

    void refill(mono_time now);

    bucket m_all;
    bucket m_link;
    mono_time m_refilled;
    std::array<counts, static_cast<std::size_t>(control_kind::Count)> m_counts {};
};

} // namespace sequoiawharf
