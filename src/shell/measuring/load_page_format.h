#pragma once

#include "sequoiawharf/load_report.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <string_view>

namespace sequoiawharf
{

/// Errors of parseLoadPage().
enum class load_page_error { NotJson, NoState, BadNumber };

/// Parses an endpoint's load page: {"state": "active|starting|failing|leaving", "in_flight": N, "queued": N, "slots": N}. Returns a report whose load
/// is in_flight plus queued over slots; without "in_flight" it has no load. slots: value to use if the page has none. Thread safe.
tl::expected<load_report, load_page_error> parseLoadPage(std::string_view text, std::uint32_t slots);

} // namespace sequoiawharf
