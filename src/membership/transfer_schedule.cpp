#include "sequoiawharf/transfer_schedule.h"

#include <algorithm>

namespace sequoiawharf
{

transfer_schedule::transfer_schedule(std::uint64_t bytesPerSecond, std::chrono::milliseconds maxWait)
    : m_bytesPerSecond(bytesPerSecond)
    , m_maxWait(maxWait)
{
}

std::optional<std::chrono::nanoseconds> transfer_schedule::reserve(std::uint64_t bytes, mono_time now)
{
    const auto start = std::max(now, m_free);
    if (start - now > m_maxWait) {
        return std::nullopt;
    }
    m_free = start + std::chrono::nanoseconds(bytes * std::nano::den / m_bytesPerSecond);
    return start - now;
}

} // namespace sequoiawharf
