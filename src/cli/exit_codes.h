#pragma once

namespace sequoiawharf::cli
{

/// Exit codes of the operators' command line tool. docs/OPERATIONS.md documents them.
enum class exit_code {
    Done = 0,
    Failed = 1, ///< A service or instance could not be reached; nothing was changed.
    BadArguments = 2,
    FaultyTables = 3,
    Refused = 4, ///< The publication will never be in force.
    Unknown = 5, ///< The publication may or may not be in the log.
    Lagging = 6, ///< Accepted, but not in force at every live instance within the time limit.
};

} // namespace sequoiawharf::cli
