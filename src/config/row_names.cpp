#include "src/config/row_names.h"

#include <algorithm>
#include <array>

namespace sequoiawharf
{

namespace
{

constexpr std::array<std::string_view, kRouteClassCount> kClassNames {"urgent", "normal", "bulk"};

} // namespace

std::string_view toString(route_class priority)
{
    return kClassNames.at(static_cast<std::size_t>(priority));
}

std::optional<route_class> parseRouteClass(std::string_view name)
{
    const auto *const position = std::ranges::find(kClassNames, name);
    if (position == kClassNames.end()) {
        return std::nullopt;
    }
    return static_cast<route_class>(position - kClassNames.begin());
}

} // namespace sequoiawharf
