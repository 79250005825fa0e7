#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiawharf
{

/// Returns the rendezvous hash of a name for a role. The name with the highest weight takes the role, so instances that know the same names choose
/// the same one (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998). Thread safe.
std::uint64_t rendezvousWeight(std::string_view name, std::string_view role);

/// Returns the rank of a name for a role: the number of other names with a higher weight. Equal names in others are not counted. Thread safe.
unsigned rendezvousRank(std::string_view name, const std::vector<std::string> &others, std::string_view role);

} // namespace sequoiawharf
