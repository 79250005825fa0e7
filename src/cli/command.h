#pragma once

#include "src/cli/exit_codes.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiawharf::cli
{

/// A subcommand of the operators' command line tool.
class command
{
public:
    virtual ~command() = default;

    /// Returns the name that selects the subcommand on the command line.
    virtual std::string_view name() const = 0;

    /// Returns a one-line description for the overview.
    virtual std::string_view summary() const = 0;

    /// Runs the subcommand and returns the exit code of the process. arguments: the command line starting with the subcommand's name.
    virtual exit_code run(std::vector<std::string> arguments) = 0;
};

/// Returns all subcommands in the order of the overview. New subcommands are added in command_table.cpp.
std::vector<std::unique_ptr<command>> allCommands();

} // namespace sequoiawharf::cli
