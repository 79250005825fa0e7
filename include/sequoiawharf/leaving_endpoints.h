#pragma once

#include "sequoiawharf/heartbeat.h"
#include "sequoiawharf/time.h"

#include <map>
#include <utility>
#include <vector>

namespace sequoiawharf
{

/// Keeps the endpoints that are leaving. An entry expires 60 seconds after the first instance learned of it, so that a target which returns at
/// the same address is used again. Not thread safe.
class leaving_endpoints
{
public:
    /// Adds a notice. Returns false when it is already known or too old, or when the table is full.
    bool add(const leaving_notice &notice, mono_time now);

    /// Removes expired notices.
    void expire(mono_time now);

    /// Returns all notices with their current ages.
    std::vector<leaving_notice> notices(mono_time now) const;

private:
    using key = std::pair<pool_name, host_port>;

    std::map<key, mono_time> m_learnedAt; ///< Time at which the first instance learned of it, by this instance's clock.
};

} // namespace sequoiawharf
