#pragma once

#include "sequoiawharf/endpoint_registry.h"
#include "sequoiawharf/ids.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiawharf
{

/// The configuration that the teller has.
struct told_configuration {
    config_version version = 0;
    bool isFollowed = false; ///< The teller hears of the next one by itself.

    friend bool operator==(const told_configuration &, const told_configuration &) = default;
};

/// Changes of the endpoints, and the configuration's version, as one instance tells them to another.
struct endpoint_page {
    discovery_page changes;
    std::chrono::milliseconds age {0}; ///< The teller's knowledge is at least as new as this long ago.
    told_configuration configuration {};
};

inline constexpr std::string_view kEndpointPage = "/endpoints";

/// Returns the path that asks for the changes from an offset on, or with 0 for all entries. Thread safe.
std::string endpointPagePath(std::uint64_t from);

/// Returns the page's text (JSON). Thread safe.
std::string formatEndpointPage(const endpoint_page &page);

/// Reads a page; nothing when it cannot be read. Thread safe.
std::optional<endpoint_page> parseEndpointPage(std::string_view text);

} // namespace sequoiawharf
