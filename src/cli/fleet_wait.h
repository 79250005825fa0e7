#pragma once

#include "src/cli/fleet_status.h"

#include <chrono>

namespace sequoiawharf::cli
{

/// Returns whether the instance does not answer or has an older version in force. A leaving instance that does not answer does not lag.
bool lagsBehind(const instance_status &instance, config_version version);

/// Polls the instances until none lags behind the version or the time has passed. Returns the instances that still lag.
std::vector<instance_status>
waitForVersion(platform_session &platform, std::vector<instance_status> instances, config_version version, std::chrono::milliseconds time);

} // namespace sequoiawharf::cli
