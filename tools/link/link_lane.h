#pragma once

#include "sequoiawharf/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace sequoiawharf::stand_in
{

/// One direction of the link: a rate that all connections share, a one-way delay, and a count of bytes. Not thread safe.
class link_lane
{
public:
    explicit link_lane(std::string name)
        : m_name(std::move(name))
    {
    }

    /// Queues bytes for transmission at the lane's rate and returns the time at which the last of them is sent, without the delay.
    mono_time depart(std::size_t bytes, mono_time now);

    /// Returns the counters as one JSON object.
    std::string page() const;

    std::chrono::microseconds delay {30'000}; ///< One-way delay.
    double bitsPerSecond = 30e6;
    std::uint64_t connections = 0;

private:
    std::string m_name;
    mono_time m_freeAt;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_blocks = 0;
};

} // namespace sequoiawharf::stand_in
