#include "src/cli/arguments.h"
#include "src/cli/commands.h"
#include "src/cli/fleet_wait.h"
#include "src/cli/printing.h"
#include "src/cli/table_files.h"
#include "src/cli/version.h"
#include "src/config/publisher.h"
#include "src/shell/platform/platform_session.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <random>

namespace sequoiawharf::cli
{

namespace
{

namespace json = boost::json;
using std::chrono::seconds;

constexpr seconds kPublishStatusTimeout {2};

constexpr const char *kDescription
    = "Puts both tables in force. Exit codes: 0 accepted, or in force already; 1 nothing was appended; 2 wrong arguments; 3 the tables have faults; "
      "4 refused, another publication came first; 5 unknown, run again with the printed --id; 6 accepted, but instances lag (with --wait).";

publication_id randomPublicationId()
{
    std::random_device device;
    const auto bits = (static_cast<std::uint64_t>(device()) << 32U) | device();
    return publication_id(fmt::format("{:016x}", bits));
}

std::string defaultAuthor()
{
    const char *const user = std::getenv("USER");
    return user == nullptr ? std::string() : std::string(user);
}

exit_code toExitCode(publish_outcome outcome)
{
    switch (outcome) {
    case publish_outcome::Accepted:
    case publish_outcome::Unchanged:
        return exit_code::Done;
    case publish_outcome::Refused:
        return exit_code::Refused;
    case publish_outcome::NotSent:
        return exit_code::Failed;
    case publish_outcome::Unknown:
        return exit_code::Unknown;
    }
    return exit_code::Unknown;
}

json::object reportToJson(const publish_report &report)
{
    json::object out;
    const auto outcome = toString(report.outcome);
    out["outcome"] = json::string_view(outcome.data(), outcome.size());
    out["id"] = report.id.str();
    out["base"] = report.base;
    out["version"] = report.version;
    out["record_bytes"] = report.recordBytes;
    out["changes"] = toJson(report.changes);
    out["problem"] = report.problem;
    if (report.winner) {
        out["winner"] = toJson(*report.winner);
        out["winner_changes"] = toJson(report.winnerChanges);
    }
    return out;
}

void printText(const publish_report &report)
{
    fmt::print("{}: version={} base={} id={}\n", toString(report.outcome), report.version, report.base, report.id.str());
    if (!report.problem.empty()) {
        fmt::print("why: {}\n", report.problem);
    }
    if (report.outcome == publish_outcome::Accepted) {
        fmt::print("{} changes in {} bytes:\n", report.changes.size(), report.recordBytes);
        printIndented(report.changes);
    }
    if (report.winner) {
        fmt::print("came first: {}\n", toLine(*report.winner));
        fmt::print("changed since version {}:\n", report.base);
        printIndented(report.winnerChanges);
        fmt::print("Review these changes and publish again.\n");
    }
    if (report.outcome == publish_outcome::Unknown) {
        fmt::print("To determine the outcome, run the same command with --id {}, or run sequoiawharf history --id {}.\n", report.id.str(), report.id.str());
    }
}

// Returns whether any instance still has a configuration. That instance writes a state record to the log, so a rebuild is not needed.
bool anyInstanceHasState(platform_session &session, const std::vector<host_port> &admins)
{
    auto instances = findInstances(session, admins).value_or(std::vector<instance_status>());
    fetchStatus(instances, kPublishStatusTimeout);
    const auto holder = std::ranges::find_if(instances, [](const instance_status &instance) {
        return instance.version > 0;
    });
    if (holder == instances.end()) {
        return false;
    }
    fmt::print(stderr, "sequoiawharf: instance {} has version {} and will write it to the log; a rebuild is not needed\n", holder->id.str(), holder->version);
    return true;
}

class publish_command final : public command
{
public:
    std::string_view name() const override
    {
        return "publish";
    }
    std::string_view summary() const override
    {
        return "Publishes both tables and reports the outcome.";
    }
    exit_code run(std::vector<std::string> arguments) override;
};

exit_code publish_command::run(std::vector<std::string> arguments)
{
    TCLAP::CmdLine line(kDescription, ' ', kVersion);
    const common_arguments common(line);
    TCLAP::ValueArg<std::string> author("a", "author", "Author of the publication.", false, defaultAuthor(), "NAME", line);
    TCLAP::ValueArg<std::string> note("n", "note", "Reason for the publication.", false, "", "TEXT", line);
    TCLAP::ValueArg<std::string> id("", "id", "Id of an earlier attempt whose outcome is unknown.", false, "", "ID", line);
    TCLAP::ValueArg<unsigned> timeout("t", "timeout", "Longest time to reach an outcome.", false, 30, "SECONDS", line);
    TCLAP::ValueArg<unsigned> wait("w", "wait", "Longest time to wait until every live instance has the version.", false, 0, "SECONDS", line);
    TCLAP::SwitchArg rebuild("", "rebuild", "Rebuild the state from these tables after it was lost at every instance.", line);
    TCLAP::MultiArg<std::string> instances(
        "i", "instance", "Admin address of an instance to wait for, in place of the platform's list.", false, "IP:PORT", line);
    TCLAP::UnlabeledValueArg<std::string> routes("routes", "YAML file of the table of routes.", true, "", "ROUTES", line);
    TCLAP::UnlabeledValueArg<std::string> pools("pools", "YAML file of the table of pools.", true, "", "POOLS", line);
    if (const auto code = parseArguments(line, arguments)) {
        return *code;
    }
    const auto platform = common.platform();
    const auto admins = parseAddresses(instances.getValue());
    if (!platform || !admins) {
        return exit_code::BadArguments;
    }
    auto tables = loadTables(routes.getValue(), pools.getValue(), common.json());
    if (!tables) {
        return exit_code::FaultyTables;
    }

    platform_session session(*platform);
    publish_request request;
    request.tables = std::move(*tables);
    request.id = id.isSet() ? publication_id(id.getValue()) : randomPublicationId();
    request.author = author.getValue();
    request.note = note.getValue();
    request.timeout = seconds(timeout.getValue());
    if (rebuild.getValue() && anyInstanceHasState(session, *admins)) {
        return exit_code::Failed;
    }
    const auto report = rebuild.getValue() ? publisher(session).rebuild(request) : publisher(session).publish(request);

    auto code = toExitCode(report.outcome);
    auto out = reportToJson(report);
    if (code == exit_code::Done && wait.isSet()) {
        const auto found = findInstances(session, *admins);
        const auto lagging = waitForVersion(session, found.value_or(std::vector<instance_status>()), report.version, seconds(wait.getValue()));
        json::array list;
        std::ranges::for_each(lagging, [&](const instance_status &instance) {
            list.push_back(toJson(instance));
            if (!common.json()) {
                fmt::print(
                    "lags: instance={} admin={} version={} why=\"{}\"\n", instance.id.str(), toString(instance.admin), instance.version, instance.reason);
            }
        });
        out["instances"] = found ? found->size() : 0;
        out["lagging"] = std::move(list);
        code = found && lagging.empty() ? exit_code::Done : exit_code::Lagging;
    }
    if (common.json()) {
        fmt::print("{}\n", json::serialize(out));
    } else {
        printText(report);
    }
    return code;
}

} // namespace

std::unique_ptr<command> makePublishCommand()
{
    return std::make_unique<publish_command>();
}

} // namespace sequoiawharf::cli
