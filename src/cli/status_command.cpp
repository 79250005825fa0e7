#include "src/cli/arguments.h"
#include "src/cli/commands.h"
#include "src/cli/fleet_wait.h"
#include "src/cli/printing.h"
#include "src/cli/version.h"
#include "src/config/log_reader.h"

#include <fmt/format.h>

#include <algorithm>

namespace sequoiawharf::cli
{

namespace
{

constexpr std::chrono::seconds kStatusReadTimeout {3};
constexpr std::chrono::seconds kStatusFetchTimeout {2};

// Returns the newest version known to the log or to an instance. Uses the instances alone when the log cannot be read.
config_version newestVersion(platform_session &session, const std::vector<instance_status> &instances)
{
    log_reader reader(session);
    const bool read = reader.catchUp(session.now() + kStatusReadTimeout).has_value();
    const auto newest = std::ranges::max_element(instances, {}, &instance_status::version);
    const auto known = newest == instances.end() ? 0 : newest->version;
    return read ? std::max(known, reader.state().version()) : known;
}

void printLine(const instance_status &instance, config_version version)
{
    fmt::print("{:<20} {:<22} {:<16} version={} ready={}{}{}{}\n",
               instance.id.str(),
               toString(instance.admin),
               instance.dataCentre.str(),
               instance.version,
               instance.ready ? "yes" : "no",
               lagsBehind(instance, version) ? " lags" : "",
               instance.listedLeaving ? " leaving" : "",
               instance.reason.empty() ? "" : fmt::format(" why=\"{}\"", instance.reason));
}

class status_command final : public command
{
public:
    std::string_view name() const override
    {
        return "status";
    }
    std::string_view summary() const override
    {
        return "Shows the version in force at each instance and which instances lag.";
    }

    exit_code run(std::vector<std::string> arguments) override
    {
        TCLAP::CmdLine line("Shows the version in force at each instance and which instances lag. "
                            "Exit codes: 0 all have the newest version, 1 the list of instances cannot be read, 6 some lag.",
                            ' ',
                            kVersion);
        const common_arguments common(line);
        TCLAP::MultiArg<std::string> given("i", "instance", "Admin address of an instance, in place of the platform's list.", false, "IP:PORT", line);
        if (const auto code = parseArguments(line, arguments)) {
            return *code;
        }
        const auto platform = common.platform();
        const auto admins = parseAddresses(given.getValue());
        if (!platform || !admins) {
            return exit_code::BadArguments;
        }
        platform_session session(*platform);
        auto instances = findInstances(session, *admins);
        if (!instances) {
            fmt::print(stderr, "sequoiawharf: the platform's list of instances cannot be read; name them with --instance\n");
            return exit_code::Failed;
        }
        fetchStatus(*instances, kStatusFetchTimeout);
        return print(*instances, newestVersion(session, *instances), common.json());
    }

private:
    static exit_code print(const std::vector<instance_status> &instances, config_version version, bool asJson)
    {
        const auto lagging = std::ranges::count_if(instances, [version](const instance_status &instance) {
            return lagsBehind(instance, version);
        });
        boost::json::array list;
        std::ranges::for_each(instances, [&](const instance_status &instance) {
            list.push_back(toJson(instance));
            if (!asJson) {
                printLine(instance, version);
            }
        });
        if (asJson) {
            fmt::print("{}\n", boost::json::serialize(boost::json::object {{"version", version}, {"lagging", lagging}, {"instances", std::move(list)}}));
        } else {
            fmt::print("newest version={} instances={} lagging={}\n", version, instances.size(), lagging);
        }
        return lagging == 0 ? exit_code::Done : exit_code::Lagging;
    }
};

} // namespace

std::unique_ptr<command> makeStatusCommand()
{
    return std::make_unique<status_command>();
}

} // namespace sequoiawharf::cli
