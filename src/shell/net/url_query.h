#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sequoiawharf
{

/// Parameters of a query in the order in which they are sent, as names and values without any encoding.
using query_parameters = std::vector<std::pair<std::string, std::string>>;

/// Returns the target of a request: the path, followed by the percent-encoded parameters (RFC 3986). Values may hold any bytes. Precondition: the path
/// has no query when there are parameters. Thread safe.
std::string formatTarget(std::string_view path, const query_parameters &query);

/// Parses the query of a request's target, without its question mark. A plus sign stands for a blank, and the query ends at a number sign. The first of
/// several parameters with one name counts. Returns nothing when an escape is malformed. Thread safe.
std::optional<std::map<std::string, std::string>> parseQuery(std::string_view text);

} // namespace sequoiawharf
