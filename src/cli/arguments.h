#pragma once

#include "sequoiawharf/ids.h"
#include "src/cli/exit_codes.h"

#include <tclap/CmdLine.h>

#include <optional>
#include <string>
#include <vector>

namespace sequoiawharf::cli
{

/// Parses the words according to the command line without ever ending the process. Returns an exit code when the command must not run, that is after
/// --help or on a wrong argument, and nothing otherwise. Precondition: words is not empty and starts with the subcommand's name.
std::optional<exit_code> parseArguments(TCLAP::CmdLine &line, std::vector<std::string> &words);

/// Options that several commands share.
class common_arguments
{
public:
    /// Adds the options to the line. Precondition: the line outlives the object.
    explicit common_arguments(TCLAP::CmdLine &line);

    /// Returns the platform's addresses, or nothing after printing the first malformed one to standard error. Precondition: the line is parsed.
    std::optional<std::vector<host_port>> platform() const;

    /// Returns whether the output must be JSON. Precondition: the line is parsed.
    bool json() const
    {
        return m_json.getValue();
    }

private:
    TCLAP::MultiArg<std::string> m_platform;
    TCLAP::SwitchArg m_json;
};

/// Parses addresses of the form IP:PORT. Returns nothing after printing the first malformed one to standard error.
std::optional<std::vector<host_port>> parseAddresses(const std::vector<std::string> &texts);

} // namespace sequoiawharf::cli
