#pragma once

#include "sequoiawharf/locality.h"
#include "sequoiawharf/pool_table.h"

#include <cstdint>
#include <vector>

namespace sequoiawharf
{

/// Returns the indices of all endpoints that an instance may call, in ascending order. Thread safe.
std::vector<std::uint32_t> reachableEndpoints(const pool &definition, const locality &place);

/// Returns the indices of the pool's endpoints that an instance calls, in ascending order: those of its region, or a subset of them when there are
/// enough instances to use every endpoint evenly. The subset is chosen by rendezvous hashing, so it changes little when the endpoints or the number of
/// instances change. Thread safe.
std::vector<std::uint32_t> chooseMembers(const pool &definition, const locality &place);

} // namespace sequoiawharf
