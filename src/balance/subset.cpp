#include "src/balance/subset.h"

#include "sequoiawharf/rendezvous.h"

#include <algorithm>
#include <numeric>
#include <ranges>

namespace sequoiawharf
{

namespace
{

constexpr std::size_t kMinSubset = 64;
constexpr std::size_t kInstancesPerEndpoint = 40; // the number of instances that chose an endpoint, and so its load, then varies by about a sixth

bool isLocal(const endpoint &member, const locality &place)
{
    return place.region.empty() || std::ranges::find(place.region, member.dataCentre) != place.region.end();
}

} // namespace

std::vector<std::uint32_t> reachableEndpoints(const pool &definition, const locality &place)
{
    std::vector<std::uint32_t> indices;
    std::ranges::copy_if(std::views::iota(0U, static_cast<std::uint32_t>(definition.endpoints.size())), std::back_inserter(indices), [&](std::uint32_t i) {
        return isLocal(definition.endpoints[i], place);
    });
    return indices;
}

std::vector<std::uint32_t> chooseMembers(const pool &definition, const locality &place)
{
    auto members = reachableEndpoints(definition, place);
    const auto instances = std::max(1U, place.instances);
    const auto size = std::max(kMinSubset, (members.size() * kInstancesPerEndpoint + instances - 1) / instances);
    if (size >= members.size()) {
        return members;
    }
    const auto cut = members.begin() + static_cast<std::ptrdiff_t>(size);
    std::ranges::nth_element(members, cut, std::ranges::greater(), [&](std::uint32_t i) {
        return rendezvousWeight(toString(definition.endpoints[i].address), place.self.str());
    });
    members.erase(cut, members.end());
    std::ranges::sort(members);
    return members;
}

} // namespace sequoiawharf
