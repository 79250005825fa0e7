#pragma once

#include "sequoiawharf/memory_budget.h"
#include "sequoiawharf/settings.h"
#include "sequoiawharf/time.h"
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
class configuration_freshness;
class directory;
class event_sink;
class gateway_metrics;
class quota_access;
class routing;

/// Whether an instance accepts calls.
struct readiness {
    bool isReady = false;
    std::string reason; ///< Why calls are not accepted.
    mono_time unreadySince {}; ///< When the instance started or became unready. Meaningless while it is ready.
};

/// The data shared by the threads of one gateway. Thread safe: each member is read-only, atomic or a snapshot.
struct gateway_shared {
    const instance_settings &settings;
    const rcu_snapshot<routing> &routings;
    const directory &entries;
    std::vector<relay_client *> relays; ///< One for each thread, or empty.
    event_sink &events;
    gateway_metrics &metrics;
    const call_dialect &dialect;
    const configuration_freshness *freshness; ///< Null: keyed calls need no freshness proof.
    quota_access *quotas; ///< Null: the calls of organisations are not limited.
    rcu_snapshot<readiness> ready;
    admission_gate::waker wake; ///< Set before the threads start.
    memory_budget memory {settings.limits.callMemoryBytes()}; ///< Of all calls.
    std::atomic<bool> isStopping {false}; ///< Connections of callers are closed after their next answer.
    std::atomic<bool> isClosingIdle {false}; ///< Idle connections of callers are closed.
    std::atomic<std::uint32_t> callerConnections {0}; ///< Number of open connections of callers.
};

} // namespace sequoiawharf
