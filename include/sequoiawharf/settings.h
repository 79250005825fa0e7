#pragma once

#include "sequoiawharf/configuration.h"
#include "sequoiawharf/ids.h"

#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiawharf
{

/// Limits on callers of one instance.
struct gateway_limits {
    std::uint32_t headerBytes = 16U << 10U; ///< Largest header of a request or an answer.
    std::uint32_t heldBodyBytes = 64U << 10U; ///< Bodies of requests and answers up to this size are buffered whole; larger ones are streamed.
    std::uint32_t callerConnections = 20'000; ///< Most open connections from callers.
    std::chrono::milliseconds idleTimeout {60'000}; ///< Time after which an idle connection of a caller is closed.
    std::chrono::milliseconds maxDeadline {600'000}; ///< Longest deadline of a call.

    std::uint64_t bodyMemoryBytes = 0; ///< Most memory that all calls hold together; 0: derived, see callMemoryBytes().
    std::uint64_t machineMemoryMb = 0; ///< Memory of the machine in MB; 0: unknown.
    std::uint32_t machineDescriptors = 0; ///< Descriptors that the process may open; 0: unknown.

    /// Returns the most memory that all calls hold together: bodyMemoryBytes, or else a share of the machine's memory, or else as much as held bodies of
    /// callerConnections can use. It is never less than a few held bodies need. Thread safe.
    std::size_t callMemoryBytes() const;

    /// Returns the most open connections from callers: callerConnections, but only part of machineDescriptors, since calls need connections to targets
    /// too. Thread safe.
    std::uint32_t maxCallerConnections() const;

    friend bool operator==(const gateway_limits &, const gateway_limits &) = default;
};

/// Limits on the traffic by which one instance measures load.
struct measuring_limits {
    std::uint64_t bytesPerSecond = 4096;
    std::uint32_t messagesPerSecond = 20;

    friend bool operator==(const measuring_limits &, const measuring_limits &) = default;
};

/// Limits on the link between regions.
struct link_settings {
    std::uint64_t bytesPerSecond = 3'750'000; ///< Rate of the whole link in one direction, shared by all instances.
    std::uint64_t controlBytesPerSecond = 4096; ///< Rate reserved for the control traffic of each instance.

    friend bool operator==(const link_settings &, const link_settings &) = default;
};

/// Limit on the repeats (retries and hedges) that all instances together send to one pool within any window.
struct repeat_limits {
    double ratio = 0; ///< Repeats per call for the pool. If ratio and slack are 0, each pool's own retry budget applies instead.
    double slack = 0; ///< Repeats allowed beyond the ratio, shared by the instances.
    std::chrono::milliseconds window {10'000};

    /// Returns whether the limit replaces the pools' own retry budgets.
    bool isSet() const
    {
        return ratio > 0 || slack > 0;
    }
    friend bool operator==(const repeat_limits &, const repeat_limits &) = default;
};

/// Limit on hedges, which send a call to a second endpoint while the first has not answered.
struct hedge_limits {
    double ratio = 0; ///< Hedges per call of a pool, over all instances; 0: limited only by the budget of repeats.

    /// Returns whether hedges have a limit of their own.
    bool isSet() const
    {
        return ratio > 0;
    }
    friend bool operator==(const hedge_limits &, const hedge_limits &) = default;
};

/// Enforcement of the quotas of organisations: the calls of one that all instances together send in any window are at most
/// (rate x window + burst) x (1 + overshoot) + slack.
struct quota_settings {
    std::chrono::milliseconds window {0}; ///< 0: quotas are not enforced.
    double overshoot = 0;
    double slack = 0; ///< In calls.

    /// Returns whether quotas are enforced.
    bool isSet() const
    {
        return window.count() > 0;
    }
    friend bool operator==(const quota_settings &, const quota_settings &) = default;
};

/// How endpoints are probed for their load right before a call is sent to one of them.
struct probing_settings {
    unsigned count = 0; ///< Endpoints probed in the instance's data centre; 0: no probing, the selection policy uses the load already known.
    unsigned wideCount = 3; ///< Endpoints probed in other data centres of the region when those of the own data centre are slow or full.
    double perEndpointPerSecond = 0; ///< Mean rate of probes that all instances together send to one endpoint; 0: unlimited.
    std::uint32_t wideBytes = 8192; ///< A call with a larger body leaves its data centre only when no endpoint there can take it.

    friend bool operator==(const probing_settings &, const probing_settings &) = default;
};

/// The contents of an instance's settings file.
struct instance_settings {
    instance_id id;
    region_id region;
    data_centre_id dataCentre;
    host_port gateway; ///< Serves callers and the directory.
    host_port peer; ///< Serves other instances.
    host_port admin; ///< Serves operators: metrics, status, events.
    std::vector<host_port> platform; ///< Addresses of the platform's service.
    std::vector<host_port> seeds; ///< Peer addresses of instances that may be running, used when the platform's list of instances cannot be read.
    std::map<region_id, std::vector<data_centre_id>> regions; ///< All regions with their data centres.
    unsigned threads = 4; ///< Number of threads that serve callers.
    std::string policy = "two-choices"; ///< Name of the selection policy.
    std::string logLevel = "info"; ///< Lowest level that is logged: debug, info, warning or error.
    std::uint64_t seed = 0; ///< Seed of the random numbers; 0: differs at each start.
    std::chrono::milliseconds directoryLifetime {10'000}; ///< How long callers may cache an answer of the directory.
    std::chrono::milliseconds directoryOverrun {0}; ///< How much longer than the lifetime some callers use a cached answer.
    unsigned directoryEntries = 4; ///< Most entries in one answer of the directory.
    bool directoryNearOnly = false; ///< Lists instances of other data centres only when the caller's has too few.
    host_port directoryAddress; ///< Serves the directory on a separate address; empty: served on the gateway's address.
    host_port readyAddress; ///< Serves the readiness page; empty: readiness is on the status page only.
    std::chrono::milliseconds stopDeadline {60'000}; ///< Longest duration of a graceful stop.
    gateway_limits limits;
    measuring_limits measuring;
    link_settings link;
    repeat_limits repeats;
    hedge_limits hedging;
    quota_settings quotas;
    probing_settings probing;
    std::chrono::milliseconds leavingBound {3000}; ///< Time within which an endpoint that announced that it is leaving gets no new calls any more.
    bool isFirstStart = false; ///< All instances are starting for the first time, at about the same time, and there are no calls yet.
    std::chrono::milliseconds configurationBound {0}; ///< Time within which a new configuration must be in force on all instances; 0: as soon as possible.
    std::chrono::milliseconds revocationBound {0}; ///< Time after which a key that a configuration removed admits no call; 0: as soon as possible.

    /// Returns the region of a data centre, or an empty id when no region lists it. Thread safe.
    region_id regionOf(const data_centre_id &centre) const;

    friend bool operator==(const instance_settings &, const instance_settings &) = default;
};

/// Copies the settings that can change while an instance runs: the log level, the seeds, and the limits on repeats and hedges. Not thread safe.
void copyReloadable(const instance_settings &from, instance_settings &to);

/// The effect of a changed settings file on a running instance.
struct settings_reload {
    instance_settings next; ///< The settings to run with from now on.
    bool appliesNow = false; ///< At least one changed setting applies immediately.
    bool needsRestart = false; ///< At least one changed setting applies only after a restart.
};

/// Returns the effect of the settings read from the file on an instance that runs with other settings. Thread safe.
settings_reload planReload(const instance_settings &running, const instance_settings &read);

/// Parses quota settings from the text "WINDOW-SECONDS,OVERSHOOT,SLACK", which a deployment fills in. Values that are all empty mean that quotas are not
/// enforced. The error names the expected form. Thread safe.
tl::expected<quota_settings, std::string> parseQuotaSettings(const std::string &text);

/// Parses settings from YAML text. The error lists all faults, each with its line and the allowed values. Thread safe.
tl::expected<instance_settings, std::vector<table_fault>> parseSettings(const std::string &text);

} // namespace sequoiawharf
