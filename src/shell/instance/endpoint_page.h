#pragma once

#include "sequoiawharf/endpoint_registry.h"
#include "sequoiawharf/ids.h"
#include "src/shell/instance/configuration_source.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiawharf
{

/// The configuration that the answering instance has.
struct peer_configuration {
    config_version version = 0;
    bool isFollowed = false; ///< The answering instance follows configurations itself.
    log_position next {}; ///< Where the instance's next read of configurations starts; the first position: not known.
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

/// Returns the path that requests the changes from a position on, or all entries when from is the first one. Thread safe.
std::string endpointPagePath(log_position from);

/// Returns the position that a path requests, or nothing when it is malformed. query: of the path. Thread safe.
std::optional<log_position> parseEndpointPageQuery(const std::map<std::string, std::string> &query);

/// Returns the records in the form that formatEndpointPage() takes, compressed when they are many. era: of the page on which they are sent; builds that
/// know no eras read a page whose records are all of it. Thread safe.
std::string formatEndpointRecords(const std::vector<discovery_record> &records, std::uint64_t era = 0);

/// Returns the text of a page: a line of JSON with everything but the records, and the records. page.changes.records is ignored; records: the result
/// of formatEndpointRecords(). Thread safe.
std::string formatEndpointPage(const endpoint_page &page, std::string_view records);

/// Parses a page; returns nothing when the text is malformed. Thread safe.
std::optional<endpoint_page> parseEndpointPage(std::string_view text);

} // namespace sequoiawharf
