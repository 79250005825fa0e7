#pragma once

#include "sequoiawharf/ids.h"
#include "src/shell/platform/log_client.h"
#include "src/shell/platform/platform_session.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace sequoiawharf::cli
{

/// Status of an instance, from its status page and the platform's list of instances.
struct instance_status {
    host_port admin;
    instance_id id; ///< From the list or the page; empty when neither contains it.
    bool reached = false; ///< Whether the status page was fetched and parsed.
    bool listedLeaving = false; ///< Whether the platform's list marks the instance as leaving.
    bool ready = false;
    config_version version = 0;
    std::string reason; ///< Reason for not being ready or not being reached.
    data_centre_id dataCentre;
    region_id region;
};

/// Returns the instances at the given admin addresses, or those in the platform's list if none are given. Their status is not fetched yet. Returns
/// nothing when the list cannot be read.
std::optional<std::vector<instance_status>> findInstances(platform_session &platform, const std::vector<host_port> &given);

/// Fetches the status pages of all instances concurrently and stores the results in the instances.
void fetchStatus(std::vector<instance_status> &instances, std::chrono::milliseconds timeout);

} // namespace sequoiawharf::cli
