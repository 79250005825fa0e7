#pragma once

#include "sequoiawharf/event.h"
#include "sequoiawharf/time.h"

#include <atomic>

namespace sequoiawharf
{

/// The hybrid logical clock of one process: its readings strictly increase, follow the wall clock, and are after every reading observed before. The
/// counter has 16 bits; when it overflows, the milliseconds advance by one. Thread safe and lock-free.
class hybrid_clock
{
public:
    /// Returns a reading after every earlier one. wall: the current wall-clock time. Thread safe.
    hybrid_time tick(wall_time wall);

    /// Advances the clock past a reading of another process, and returns whether the reading was accepted. A reading more than a minute ahead of the
    /// wall clock is ignored, so that one wrong clock does not advance the others. Thread safe.
    bool observe(hybrid_time other, wall_time wall);

private:
    std::atomic<std::uint64_t> m_last {0}; ///< Milliseconds in the upper 48 bits, counter in the lower 16.
};

} // namespace sequoiawharf
