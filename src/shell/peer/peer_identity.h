#pragma once

#include "sequoiawharf/ids.h"

namespace sequoiawharf
{

/// Identifies one process of one instance.
struct peer_identity {
    instance_id instance;
    incarnation process = 0;

    friend auto operator<=>(const peer_identity &, const peer_identity &) = default;
};

} // namespace sequoiawharf
