#pragma once

#include "sequoiawharf/configuration_state.h"
#include "src/cli/fleet_status.h"

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace sequoiawharf::cli
{

/// Returns the verdict as JSON.
boost::json::object toJson(const record_verdict &entry);

/// Returns the verdict as a line of text without a line break.
std::string toLine(const record_verdict &entry);

/// Returns the instance's status as JSON.
boost::json::object toJson(const instance_status &instance);

/// Returns the lines as a JSON array of strings.
boost::json::array toJson(const std::vector<std::string> &lines);

/// Prints each line to standard output, indented by two spaces.
void printIndented(const std::vector<std::string> &lines);

} // namespace sequoiawharf::cli
