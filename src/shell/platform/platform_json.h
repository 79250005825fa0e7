#pragma once

#include "src/shell/platform/log_client.h"

#include <string>
#include <string_view>

namespace sequoiawharf
{

/// These functions encode and parse the JSON bodies of the platform's service. The parse functions return Malformed for invalid input and accept
/// untrusted text. All are thread safe.
std::string encodeAppended(log_offset offset);
platform_result<log_offset> parseAppended(std::string_view text);

std::string encodePage(const log_page &page);
platform_result<log_page> parsePage(std::string_view text);

std::string encodeInstances(const std::vector<listed_instance> &instances);
platform_result<std::vector<listed_instance>> parseInstances(std::string_view text);

} // namespace sequoiawharf
