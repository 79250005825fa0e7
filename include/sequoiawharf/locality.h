#pragma once

#include "sequoiawharf/ids.h"
#include "sequoiawharf/placement_limits.h"
#include "sequoiawharf/settings.h"

#include <memory>
#include <vector>

namespace sequoiawharf
{

/// The location of an instance and the number of its peers, as far as load balancing depends on them.
struct locality {
    instance_id self;
    data_centre_id dataCentre;
    std::vector<data_centre_id> region; ///< Data centres whose endpoints are called directly; empty means all.
    unsigned instances = 1; ///< Estimated number of live instances that call the same endpoints, this one included.
    std::vector<data_centre_id> ownRegion {}; ///< Data centres of the own region; empty means that all count as near.
    unsigned fleetSize = 1; ///< Instances that share the fleet's budget of repeats, this one included; a count that is too low exceeds the budget.
    hedge_limits hedging {}; ///< The fleet's limit on hedges, which are repeats as well.
    repeat_limits repeats {}; ///< The fleet's budget of repeats; when not set, each pool's retry budget applies.
    std::shared_ptr<const placement_limits> limits {}; ///< Null: no data centre is evacuated, and no region is known as a home.

    friend bool operator==(const locality &, const locality &) = default;
};

} // namespace sequoiawharf
