#pragma once

#include "sequoiawharf/event.h"
#include "sequoiawharf/ids.h"
#include "sequoiawharf/time.h"

#include <map>
#include <memory>
#include <vector>

namespace sequoiawharf
{

class pool_balancer;
class routing;

/// Detects the changes that balancers make by themselves and returns them as events for the time line: ejections, returns, leaving endpoints, panic
/// mode and changed limits. It compares each pool with a snapshot of the last call, so that handling a call costs nothing extra. Used on one thread.
class pool_watch
{
public:
    pool_watch();
    ~pool_watch();

    /// Returns the changes since the last call as events whose time is not set. The cost grows with the number of endpoints; a few calls a second
    /// suffice.
    std::vector<event> changes(const routing &current, mono_time now);

private:
    struct pool_snapshot;

    void compare(const std::shared_ptr<const pool_balancer> &current, pool_snapshot &snapshot, mono_time now, std::vector<event> &events) const;

    std::map<pool_name, pool_snapshot> m_pools;
};

} // namespace sequoiawharf
