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

/// Bounds on what one caller connection may ask of an instance.
struct gateway_limits {
    std::uint32_t headerBytes = 16U << 10U;
    std::uint32_t heldBodyBytes = 64U << 10U; ///< Requests and answers up to this size are held whole; larger ones stream.
    std::uint32_t callerConnections = 20'000;
    std::chrono::milliseconds idleTimeout {60'000};
    std::chrono::milliseconds maxDeadline {600'000};

    friend bool operator==(const gateway_limits &, const gateway_limits &) = default;
};

/// What measuring of load may cost an instance.
struct measuring_limits {
    std::uint64_t bytesPerSecond = 4096;
    std::uint32_t messagesPerSecond = 20;

    friend bool operator==(const measuring_limits &, const measuring_limits &) = default;
};

/// The instance's part of the link between regions.
struct link_settings {
    std::uint64_t bytesPerSecond = 3'750'000; ///< Rate of the whole link in one direction; all instances share it.
    std::uint64_t controlBytesPerSecond = 4096; ///< Part that is kept for control, for each instance.

    friend bool operator==(const link_settings &, const link_settings &) = default;
};

/// How many repeats (retries and hedges) all instances together may send to one pool within any window.
struct repeat_limits {
    double ratio = 0; ///< Of the calls for the pool; 0 with slack 0: each pool's own budget holds instead.
    double slack = 0; ///< Repeats beyond the ratio, shared by the instances.
    std::chrono::milliseconds window {10'000};

    bool isSet() const
    {
        return ratio > 0 || slack > 0;
    }
    friend bool operator==(const repeat_limits &, const repeat_limits &) = default;
};

/// How endpoints are asked for their load right before a call is sent to one of them.
struct probing_settings {
    unsigned count = 0; ///< Endpoints asked in the own data centre; 0: none, the selection policy decides by what is known.
    unsigned wideCount = 3; ///< Endpoints asked in other data centres of the region when the own one looks slow or full.
    double perEndpointPerSecond = 0; ///< Most probes that all instances together send to an endpoint, on the mean; 0: no bound.
    std::uint32_t wideBytes = 8192; ///< A call with a larger body leaves its data centre only when nothing there can take it.

    friend bool operator==(const probing_settings &, const probing_settings &) = default;
};

/// Everything that an instance learns from its settings file.
struct instance_settings {
    instance_id id;
    region_id region;
    data_centre_id dataCentre;
    host_port gateway; ///< Serves callers and the directory.
    host_port peer; ///< Serves other instances.
    host_port admin; ///< Serves operators: metrics, status, events.
    std::vector<host_port> platform; ///< Addresses of the platform's service.
    std::vector<host_port> seeds; ///< Addresses for other instances of some that may run; asked when the platform's list cannot be read.
    std::map<region_id, std::vector<data_centre_id>> regions; ///< Every region with its data centres.
    unsigned threads = 4;
    std::string policy = "two-choices";
    std::string logLevel = "info";
    std::uint64_t seed = 0; ///< 0: drawn from the system at start.
    std::chrono::milliseconds directoryLifetime {10'000}; ///< How long callers may keep an answer of the directory.
    std::chrono::milliseconds directoryOverrun {0}; ///< How much longer some callers keep it.
    unsigned directoryEntries = 4; ///< Most entries of one answer of the directory.
    bool directoryNearOnly = false; ///< Name other data centres only when the caller's own has too few instances.
    host_port directoryAddress; ///< Serves the directory on an address of its own; empty: the gateway's address serves it.
    host_port readyAddress; ///< Serves the readiness page; empty: the status page tells.
    std::chrono::milliseconds stopDeadline {60'000}; ///< Longest duration of a planned stop.
    gateway_limits limits;
    measuring_limits measuring;
    link_settings link;
    repeat_limits repeats;
    probing_settings probing;
    std::chrono::milliseconds leavingBound {3000}; ///< Time after which an endpoint that said that it leaves gets no new calls.
    bool isFirstStart = false; ///< All instances start for the first time, within a moment, and no calls come yet.
    std::chrono::milliseconds configurationBound {0}; ///< Time within which a new configuration must be in force everywhere; 0: as soon as can be.

    /// Returns the region of a data centre, or an empty id when no region lists it.
    region_id regionOf(const data_centre_id &centre) const;

    friend bool operator==(const instance_settings &, const instance_settings &) = default;
};

/// Copies those settings that may change while an instance runs: the level of the log, the seeds, and the limits of repeats. Touches no others.
void copyReloadable(const instance_settings &from, instance_settings &to);

/// What a changed settings file means for an instance that runs.
struct settings_reload {
    instance_settings next; ///< To run with from now on.
    bool appliesNow = false; ///< Something changes now.
    bool needsRestart = false; ///< Something else holds from the next start only.
};

/// Returns what to do when the file holds other settings than those that an instance runs with. Thread safe.
settings_reload planReload(const instance_settings &running, const instance_settings &read);

/// Reads settings from YAML text. The error lists every fault at once, each with its line and the allowed range. Thread safe.
tl::expected<instance_settings, std::vector<table_fault>> parseSettings(const std::string &text);

} // namespace sequoiawharf
