#pragma once

#include "sequoiawharf/heartbeat.h"
#include "sequoiawharf/time.h"

#include <map>
#include <utility>
#include <vector>

namespace sequoiawharf
{

/// The endpoints that are known to leave. Each is kept for a while and then forgotten, so that a target that comes back at the address is used
/// again. Not thread safe.
class leaving_endpoints
{
public:
    /// Takes a notice; true: it is news.
    bool take(const leaving_notice &notice, mono_time now);

    /// Forgets old ones.
    void expire(mono_time now);

    /// Returns all notices, with their ages as of now.
    std::vector<leaving_notice> notices(mono_time now) const;

private:
    using key = std::pair<pool_name, host_port>;

    std::map<key, mono_time> m_learned; ///< When the first instance learned it, by this instance's clock.
};

} // namespace sequoiawharf
