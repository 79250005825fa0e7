#pragma once

#include "sequoiawharf/ids.h"

#include <cstdint>

namespace sequoiawharf
{

/// State of an instance as another one sees it.
enum class member_state {
    Unknown, ///< No heartbeat of it was received; only the platform's list names it.
    Live, ///< A heartbeat was received recently.
    Suspect, ///< No heartbeat for member_timeouts::suspect. Callers are not directed to it until the next heartbeat.
    Leaving, ///< It announced that it stops.
    Gone, ///< No heartbeat for member_timeouts::gone.
};

/// Description of an instance, issued by itself.
struct member_row {
    instance_id id;
    incarnation process = 0; ///< Incarnation of the process; a restarted instance has a higher one.
    host_port gateway; ///< Address for callers.
    host_port peer; ///< Address for other instances.
    data_centre_id dataCentre;
    region_id region;
    config_version version = 0;
    std::uint64_t beat = 0; ///< Heartbeat counter; grows with each round. A row whose counter is not newer is stale.
    std::uint8_t load = 0; ///< Processor use in percent.
    std::uint8_t linkPercent = 0; ///< Use of the link between regions by its calls, in percent.
    bool ready = false; ///< Accepts callers.
    bool leaving = false; ///< Is stopping.

    friend bool operator==(const member_row &, const member_row &) = default;
};

/// An instance that the platform's list names.
struct member_hint {
    instance_id id;
    host_port peer;
    data_centre_id dataCentre;
    region_id region;

    friend bool operator==(const member_hint &, const member_hint &) = default;
};

/// Returns the key that identifies one process of an instance in beats. Thread safe.
std::uint64_t memberKey(const instance_id &id, incarnation process);

} // namespace sequoiawharf
