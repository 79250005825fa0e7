#include "tools/link/link_lane.h"

#include <algorithm>
#include <fmt/format.h>

namespace sequoiawharf::stand_in
{

namespace
{

/// Longest unused time that a lane may spend later, which compensates for late timers.
constexpr std::chrono::milliseconds kMaxBurst {5};

} // namespace

mono_time link_lane::depart(std::size_t bytes, mono_time now)
{
    const std::chrono::duration<double> time(static_cast<double>(bytes) * 8.0 / bitsPerSecond);
    m_freeAt = std::max(m_freeAt, now - kMaxBurst) + std::chrono::duration_cast<std::chrono::nanoseconds>(time);
    m_bytes += bytes;
    ++m_blocks;
    return m_freeAt;
}

std::string link_lane::page() const
{
    return fmt::format(R"({{"lane":"{}","bytes":{},"blocks":{},"connections":{},"delay_us":{},"bits_per_second":{:.0f}}})",
                       m_name,
                       m_bytes,
                       m_blocks,
                       connections,
                       delay.count(),
                       bitsPerSecond);
}

} // namespace sequoiawharf::stand_in
