#pragma once

#include <atomic>

namespace sequoiawharf
{

/// Memory order for counters that do not order any other data.
inline constexpr auto kRelaxed = std::memory_order_relaxed;

} // namespace sequoiawharf
