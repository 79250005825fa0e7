#pragma once

#include "sequoiawharf/endpoint_state.h"

#include <cstdint>
#include <memory>
#include <span>

namespace sequoiawharf
{

class pool_state;

inline constexpr std::size_t kReviewSample = 64; ///< Maximum number of endpoints that one review compares.

/// Compares the endpoints of a pool, ejects the failing ones and the stragglers, and updates the pool's medians and its panic mode. Does nothing until
/// the next review is due. In a pool of more than kReviewSample members, each review compares the next sample of them. Thread safe: a call returns at
/// once while another thread is reviewing the pool.
void reviewPool(pool_state &pool, std::span<const std::shared_ptr<endpoint_state>> endpoints, std::span<const std::uint32_t> members, mono_time now);

} // namespace sequoiawharf
