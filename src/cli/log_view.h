#pragma once

#include "sequoiawharf/ids.h"
#include "src/config/log_reader.h"
#include "src/shell/platform/platform_session.h"

#include <chrono>
#include <memory>
#include <vector>

namespace sequoiawharf::cli
{

/// Snapshot of the log for subcommands that print it.
class log_view
{
public:
    /// Creates a view of the log at the platform's addresses. Precondition: platform is not empty.
    explicit log_view(const std::vector<host_port> &platform);

    /// Reads the log to its end. Returns false after printing an error to standard error when the log cannot be read within the timeout or holds no
    /// state record to start from.
    bool read(std::chrono::milliseconds timeout);

    /// Returns the reader with the state, verdicts and versions read so far.
    const log_reader &reader() const
    {
        return m_reader;
    }

    /// Returns the configuration of that version, or null when the log no longer contains it.
    std::shared_ptr<const configuration> find(config_version version) const;

private:
    platform_session m_session;
    log_reader m_reader;
};

} // namespace sequoiawharf::cli
