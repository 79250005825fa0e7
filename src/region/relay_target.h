#pragma once

#include "sequoiawharf/ids.h"
#include "sequoiawharf/placement_limits.h"
#include "sequoiawharf/random_source.h"
#include "sequoiawharf/time.h"

#include <optional>

namespace sequoiawharf
{

/// An instance of another region that may take a call.
struct relay_target {
    instance_id instance;
    incarnation process = 0;
    host_port peer;
    region_id region;

    friend bool operator==(const relay_target &, const relay_target &) = default;
};

/// Chooses the instance of another region to which a call is relayed that has no fit target in its own region. Implementations are thread safe
/// and lock-free.
class relay_chooser
{
public:
    virtual ~relay_chooser() = default;

    /// Returns whether choose() would return an instance.
    virtual bool available(const pool_name &pool, mono_time now, centre_mask allowed) const = 0;

    /// Returns an instance whose data centre is allowed and has spare capacity for a call of the pool, or nothing.
    virtual std::optional<relay_target> choose(const pool_name &pool, mono_time now, random_source &random, centre_mask allowed) const = 0;
};

} // namespace sequoiawharf
