#pragma once

#include "sequoiawharf/route_table.h"

#include <optional>
#include <string_view>

namespace sequoiawharf
{

/// Returns the name of a route class in tables and records: "urgent", "normal" or "bulk". Thread safe.
std::string_view toString(route_class priority);

/// Returns the route class of that name, or nothing when there is none. Thread safe.
std::optional<route_class> parseRouteClass(std::string_view name);

} // namespace sequoiawharf
