#pragma once

#include "sequoiawharf/settings.h"
#include "src/base/rcu_snapshot.h"
#include "src/shell/call_stream.h"
#include "src/shell/gateway/admission_gate.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

namespace sequoiawharf
{

class call_dialect;
class directory;
class event_sink;
class gateway_metrics;
class routing;

/// Whether calls are taken, and why not.
struct readiness {
    bool isReady = false;
    std::string why;
};

/// What the threads of one gateway share. Everything is read-only, atomic or a snapshot.
struct gateway_shared {
    const instance_settings &settings;
    const rcu_snapshot<routing> &routings;
    const directory &entries;
    std::vector<relay_client *> relays; ///< One for each thread, or none.
    event_sink &events;
    gateway_metrics &metrics;
    const call_dialect &dialect;
    rcu_snapshot<readiness> ready;
    admission_gate::waker wake; ///< Set before the threads start.
    std::atomic<bool> isStopping {false}; ///< Answers close their connections.
    std::atomic<bool> isClosingIdle {false}; ///< Idle connections are closed.
    std::atomic<std::uint32_t> callerConnections {0};
};

} // namespace sequoiawharf
