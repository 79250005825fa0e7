#pragma once

#include "sequoiawharf/configuration_record.h"

#include <optional>
#include <string>

namespace sequoiawharf::cli
{

/// Reads and validates the YAML files of both tables. Returns nothing after printing all faults, as JSON to standard output or as text to standard
/// error.
std::optional<whole_tables> loadTables(const std::string &routesFile, const std::string &poolsFile, bool json);

} // namespace sequoiawharf::cli
