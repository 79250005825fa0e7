#include "src/cli/arguments.h"
#include "src/cli/commands.h"
#include "src/cli/table_files.h"
#include "src/cli/version.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace sequoiawharf::cli
{

namespace
{

class check_command final : public command
{
public:
    std::string_view name() const override
    {
        return "check";
    }
    std::string_view summary() const override
    {
        return "Checks the files of both tables and lists every fault.";
    }

    exit_code run(std::vector<std::string> arguments) override
    {
        TCLAP::CmdLine line("Checks the files of both tables and lists every fault. Exit codes: 0 no fault, 2 wrong arguments, 3 faults.", ' ', kVersion);
        TCLAP::SwitchArg json("", "json", "Print JSON.", line);
        TCLAP::UnlabeledValueArg<std::string> routes("routes", "YAML file of the table of routes.", true, "", "ROUTES", line);
        TCLAP::UnlabeledValueArg<std::string> pools("pools", "YAML file of the table of pools.", true, "", "POOLS", line);
        if (const auto code = parseArguments(line, arguments)) {
            return *code;
        }
        const auto tables = loadTables(routes.getValue(), pools.getValue(), json.getValue());
        if (!tables) {
            return exit_code::FaultyTables;
        }
        const auto routeCount = tables->routes.routes().size();
        const auto poolCount = tables->pools.pools().size();
        if (json.getValue()) {
            fmt::print("{}\n", boost::json::serialize(boost::json::object {{"outcome", "valid"}, {"routes", routeCount}, {"pools", poolCount}}));
        } else {
            fmt::print("valid: {} routes, {} pools\n", routeCount, poolCount);
        }
        return exit_code::Done;
    }
};

} // namespace

std::unique_ptr<command> makeCheckCommand()
{
    return std::make_unique<check_command>();
}

} // namespace sequoiawharf::cli
