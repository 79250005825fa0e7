#include "src/cli/fleet_wait.h"

#include <algorithm>
#include <iterator>

namespace sequoiawharf::cli
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds kPollInterval {100};
constexpr milliseconds kWaitStatusTimeout {1000};

} // namespace

bool lagsBehind(const instance_status &instance, config_version version)
{
    if (instance.listedLeaving && !instance.reached) {
        return false;
    }
    return !instance.reached || instance.version < version;
}

std::vector<instance_status> waitForVersion(platform_session &platform, std::vector<instance_status> instances, config_version version, milliseconds time)
{
    const auto deadline = platform.now() + time;
    while (true) {
        fetchStatus(instances, kWaitStatusTimeout);
        std::vector<instance_status> lagging;
        std::ranges::copy_if(instances, std::back_inserter(lagging), [version](const instance_status &instance) {
            return lagsBehind(instance, version);
        });
        if (lagging.empty() || platform.now() + kPollInterval >= deadline) {
            return lagging;
        }
        instances = std::move(lagging);
        platform.pause(kPollInterval);
    }
}

} // namespace sequoiawharf::cli
