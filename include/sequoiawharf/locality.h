#pragma once

#include "sequoiawharf/ids.h"
#include "sequoiawharf/settings.h"

#include <vector>

namespace sequoiawharf
{

/// Where an instance stands among the others, as its balancing decisions need to know it.
struct locality {
    instance_id self;
    data_centre_id dataCentre;
    std::vector<data_centre_id> region; ///< Data centres whose endpoints are called directly; empty: all.
    unsigned instances = 1; ///< Live instances that call the same endpoints, this one included; an estimate suffices.
    std::vector<data_centre_id> ownRegion {}; ///< Data centres of the own region; empty: all are taken for near.
    unsigned fleetSize = 1; ///< Instances that share what the fleet may repeat, this one included; never fewer than there are.
    repeat_limits repeats {}; ///< Not set: each pool's own budget holds.

    friend bool operator==(const locality &, const locality &) = default;
};

} // namespace sequoiawharf
