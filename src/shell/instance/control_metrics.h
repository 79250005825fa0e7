#pragma once

#include "sequoiawharf/time.h"

#include <string>

namespace sequoiawharf
{

class control_plane;
struct peer_traffic;

/// Returns the metrics of the control plane in Prometheus' text format. relayed: bytes of the gateway threads' peer connections. Runs on the
/// control thread.
std::string formatControlMetrics(control_plane &plane, const peer_traffic &relayed, mono_time now);

} // namespace sequoiawharf
