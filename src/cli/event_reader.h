#pragma once

#include "src/cli/arguments.h"
#include "src/cli/exit_codes.h"
#include "src/timeline/event_query.h"

#include <string>
#include <vector>

namespace sequoiawharf::cli
{

/// Events collected from all instances.
struct fleet_events {
    std::vector<instance_event> events; ///< Ordered by hybrid time.
    std::vector<host_port> unanswered; ///< Admin addresses of the instances that sent no readable answer.
    std::uint64_t dropped = 0; ///< Number of events lost because an instance's event ring was full or busy.
};

/// Fetches the events that match the query from all instances concurrently and merges them.
fleet_events fetchEvents(const std::vector<host_port> &admins, const event_query &query);

/// Returns the given admin addresses, or those in the platform's list of instances if none are given. Returns nothing after printing an error to
/// standard error when an address is malformed or the list cannot be read.
std::optional<std::vector<host_port>> findAdmins(const std::vector<host_port> &platform, const std::vector<std::string> &given);

/// Prints the events, one per line or as a single JSON object, followed by the instances that did not answer and the number of dropped events.
void printEvents(const fleet_events &found, bool asJson);

} // namespace sequoiawharf::cli
