#pragma once

#include "sequoiawharf/directory.h"

#include <string>
#include <string_view>

namespace sequoiawharf
{

inline constexpr std::string_view kDirectoryPath = "/.sequoiawharf/directory";

/// Returns whether a request's target, query included, is the directory page. Thread safe.
bool isDirectoryRequest(std::string_view target);

/// Returns the data centre in the query's "near" parameter, or an empty id. Thread safe.
data_centre_id parseNear(std::string_view target);

/// Returns the answer as JSON with a final line break. Thread safe.
std::string formatDirectory(const directory_answer &answer);

} // namespace sequoiawharf
