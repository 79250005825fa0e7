#pragma once

#include "sequoiawharf/ids.h"
#include "sequoiawharf/settings.h"

#include <cstddef>
#include <string>

namespace sequoiawharf
{

/// Contents of the status page.
struct instance_summary {
    incarnation process = 0;
    config_version version = 0;
    log_offset asOf = 0;
    bool ready = false;
    bool stopping = false;
    std::string reason; ///< Why callers are not served.
    std::size_t callsInFlight = 0;
};

/// Returns the status page's JSON. Thread safe.
std::string formatStatus(const instance_settings &settings, const instance_summary &summary);

} // namespace sequoiawharf
