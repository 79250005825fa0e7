#pragma once

#include "sequoiawharf/settings.h"

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>

namespace sequoiawharf
{

class surroundings;

/// Reads the settings. The error describes the faults.
using settings_reader = std::function<tl::expected<instance_settings, std::string>()>;

/// Result of a stop.
struct stop_report {
    std::size_t callsCut = 0; ///< Calls that were cut at the stop's deadline.
};

/// One entry instance: wires together the gateway, the control plane, the directory and the operators' pages. Owns its threads.
class instance
{
public:
    /// reread: reads the settings again, on the control thread; null: the settings never change. Precondition: outside outlives the instance.
    instance(instance_settings settings, surroundings &outside, settings_reader reread = nullptr);
    ~instance();
    instance(const instance &) = delete;
    instance &operator=(const instance &) = delete;

    /// Listens at all addresses and starts the threads. Fails with a message that names the address that cannot be used. Precondition: called once.
    tl::expected<void, std::string> start();

    /// Serves until SIGTERM or SIGINT, then stops gracefully: leaves the directory, keeps serving until the directory answers already given have
    /// expired, and lets calls in flight end. A second signal skips the wait. Precondition: start() succeeded.
    stop_report runUntilStopped();

private:
    class implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace sequoiawharf
