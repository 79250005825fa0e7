#include "sequoiawharf/rendezvous.h"

#include <algorithm>
#include <xxhash.h>

namespace sequoiawharf
{

std::uint64_t rendezvousWeight(std::string_view name, std::string_view role)
{
    return XXH64(name.data(), name.size(), XXH64(role.data(), role.size(), 0));
}

unsigned rendezvousRank(std::string_view name, const std::vector<std::string> &others, std::string_view role)
{
    const auto own = std::pair(rendezvousWeight(name, role), name);
    const auto above = std::ranges::count_if(others, [&](const std::string &other) {
        return other != name && std::pair(rendezvousWeight(other, role), std::string_view(other)) > own;
    });
    return static_cast<unsigned>(above);
}

} // namespace sequoiawharf
