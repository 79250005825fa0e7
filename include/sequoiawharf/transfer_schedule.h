#pragma once

#include "sequoiawharf/time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace sequoiawharf
{

/// Rate of an instance's transfers: two thirds of a link of 10 Mbit/s.
inline constexpr std::uint64_t kTransferBytesPerSecond = 800'000;

/// Longest wait of a transfer. Shorter than the time after which config_follower queries another instance.
inline constexpr std::chrono::milliseconds kMaxTransferWait {400};

/// Spaces the transfers of one instance to others, so that many requests at once leave part of its link to everything else. Uses no clock. Not
/// thread safe.
class transfer_schedule
{
public:
    /// maxWait: longest time that a transfer may wait for those before it. Precondition: bytesPerSecond is not 0.
    transfer_schedule(std::uint64_t bytesPerSecond, std::chrono::milliseconds maxWait);

    /// Reserves a transfer of the given size. Returns how long it must wait before it starts, or nothing when that is longer than the limit; then
    /// nothing is reserved.
    std::optional<std::chrono::nanoseconds> reserve(std::uint64_t bytes, mono_time now);

private:
    std::uint64_t m_bytesPerSecond;
    std::chrono::milliseconds m_maxWait;
    mono_time m_free {}; ///< When the transfers reserved so far end.
};

} // namespace sequoiawharf
