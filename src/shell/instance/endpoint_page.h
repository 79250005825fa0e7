#pragma once

#include "sequoiawharf/endpoint_registry.h"
#include "sequoiawharf/ids.h"
#include "src/shell/instance/configuration_source.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiawharf
{

/// The configuration that the answering instance has.
struct peer_configuration {
    config_version version = 0;
    bool isFollowed = false; ///< The answering instance follows configurations itself.
    log_offset next = 0; ///< Where the instance's next read of configurations starts; 0: not known.
    std::optional<std::chrono::milliseconds> proofAge {}; ///< Age of the instance's proof that the version is the newest; nothing: it has none.
    std::optional<evacuation_state> evacuations {}; ///< Nothing: the answering instance does not know, or is of an earlier build.

    friend bool operator==(const peer_configuration &, const peer_configuration &) = default;
};

/// Changes of the endpoints, and the configuration's version, as one instance answers another.
struct endpoint_page {
    discovery_page changes;
    std::chrono::milliseconds age {0}; ///< Upper bound of the age of the answering instance's entries.
    peer_configuration configuration {};
};

inline constexpr std::string_view kEndpointPage = "/endpoints";

/// Returns the path that requests the changes from an offset on, or all entries when from is 0. Thread safe.
std::string endpointPagePath(std::uint64_t from);

/// Returns the records in the form that formatEndpointPage() takes, compressed when they are many. Thread safe.
std::string formatEndpointRecords(const std::vector<discovery_record> &records);

/// Returns the text of a page: a line of JSON with everything but the records, and the records. page.changes.records is ignored; records: the result
/// of formatEndpointRecords(). Thread safe.
std::string formatEndpointPage(const endpoint_page &page, std::string_view records);

/// Parses a page; returns nothing when the text is malformed. Thread safe.
std::optional<endpoint_page> parseEndpointPage(std::string_view text);

} // namespace sequoiawharf
