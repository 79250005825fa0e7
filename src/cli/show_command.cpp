#include "src/cli/arguments.h"
#include "src/cli/commands.h"
#include "src/cli/log_view.h"
#include "src/cli/version.h"
#include "src/config/table_yaml.h"
#include "src/shell/net/http_client.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace sequoiawharf::cli
{

namespace
{

constexpr std::chrono::seconds kShowReadTimeout {10};

class show_command final : public command
{
public:
    std::string_view name() const override
    {
        return "show";
    }
    std::string_view summary() const override
    {
        return "Prints a table in force, as YAML that can be published again.";
    }

    exit_code run(std::vector<std::string> arguments) override
    {
        TCLAP::CmdLine line("Prints a table in force, or of an earlier version that the log still holds, as YAML that can be published again. "
                            "With --json both tables are printed as a state record. Exit codes: 0 printed, 1 not found or the log cannot be read.",
                            ' ',
                            kVersion);
        const common_arguments common(line);
        TCLAP::ValueArg<std::uint64_t> version("", "at", "Version to show in place of the one in force.", false, 0, "VERSION", line);
        TCLAP::ValueArg<std::string> instance("i", "instance", "Admin address of an instance to ask in place of the log.", false, "", "IP:PORT", line);
        std::vector<std::string> kinds {"routes", "pools", "version"};
        TCLAP::ValuesConstraint<std::string> allowed(kinds);
        TCLAP::UnlabeledValueArg<std::string> kind("what", "Table to print, or version for the version number alone.", true, "", &allowed, line);
        if (const auto code = parseArguments(line, arguments)) {
            return *code;
        }
        const auto platform = common.platform();
        const auto admins = parseAddresses(instance.isSet() ? std::vector<std::string> {instance.getValue()} : std::vector<std::string> {});
        if (!platform || !admins) {
            return exit_code::BadArguments;
        }
        const auto chosen
            = admins->empty() ? readLog(*platform, version.isSet() ? std::optional(version.getValue()) : std::nullopt) : fetchConfiguration(admins->front());
        if (!chosen) {
            return exit_code::Failed;
        }
        print(*chosen, kind.getValue(), common.json());
        return exit_code::Done;
    }

private:
    using configuration_pointer = std::shared_ptr<const configuration>;

    static configuration_pointer readLog(const std::vector<host_port> &platform, std::optional<config_version> version)
    {
        log_view log(platform);
        if (!log.read(kShowReadTimeout)) {
            return nullptr;
        }
        auto chosen = version ? log.find(*version) : log.reader().state().current();
        if (!chosen) {
            fmt::print(stderr, "sequoiawharf: the log does not contain version {}\n", *version);
        }
        return chosen;
    }

    static configuration_pointer fetchConfiguration(const host_port &admin)
    {
        http_request request;
        request.server = admin;
        request.path = "/configuration";
        const auto answer = fetchNow(request, kShowReadTimeout);
        const auto record = answer ? decodeRecord(answer->body) : tl::unexpected(record_fault {});
        const auto *const state = record ? std::get_if<state_record>(&*record) : nullptr;
        if (state == nullptr) {
            fmt::print(stderr, "sequoiawharf: instance {} did not return a readable configuration\n", toString(admin));
            return nullptr;
        }
        return std::make_shared<const configuration>(configuration {state->version, state->tables.routes, state->tables.pools});
    }

    static void print(const configuration &config, const std::string &kind, bool json)
    {
        if (json) {
            fmt::print("{}\n", encodeRecord(state_record {config.version, config.version, {config.routes, config.pools, config.organisations}}));
        } else if (kind == "version") {
            fmt::print("{}\n", config.version);
        } else {
            fmt::print("# version {}\n{}", config.version, kind == "routes" ? formatRoutes(config.routes) : formatPools(config.pools));
        }
    }
};

} // namespace

std::unique_ptr<command> makeShowCommand()
{
    return std::make_unique<show_command>();
}

} // namespace sequoiawharf::cli
