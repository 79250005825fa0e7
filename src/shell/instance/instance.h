#pragma once

#include "sequoiawharf/settings.h"

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>

namespace sequoiawharf
{

class surroundings;

/// Reads the settings, or says what is wrong with them.
using settings_reader = std::function<tl::expected<instance_settings, std::string>()>;

/// How an instance came to its end.
struct stop_report {
    std::size_t callsCut = 0; ///< Calls that the stop's deadline ended.
};

/// One entry instance: the gateway, the configuration feed, the directory and the operators' pages, wired together. Owns its threads.
class instance
{
public:
    /// outside outlives the instance. reread: reads the settings again, on the control thread; null: they never change.
    instance(instance_settings settings, surroundings &outside, settings_reader reread = nullptr);
    ~instance();
    instance(const instance &) = delete;
    instance &operator=(const instance &) = delete;

    /// Listens at all addresses and starts the threads. The error names the address that cannot be used. Precondition: called once.
    tl::expected<void, std::string> start();

    /// Serves until SIGTERM or SIGINT, then stops gracefully: leaves the directory, serves on for the lifetime of answers already given, and lets
    /// calls in flight end. A second signal skips the wait. Precondition: start() succeeded.
    stop_report runUntilStopped();

private:
    class implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace sequoiawharf
