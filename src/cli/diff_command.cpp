#include "src/cli/arguments.h"
#include "src/cli/commands.h"
#include "src/cli/log_view.h"
#include "src/cli/printing.h"
#include "src/cli/table_files.h"
#include "src/cli/version.h"

#include <fmt/format.h>

namespace sequoiawharf::cli
{

namespace
{

constexpr std::chrono::seconds kDiffReadTimeout {10};

class diff_command final : public command
{
public:
    std::string_view name() const override
    {
        return "diff";
    }
    std::string_view summary() const override
    {
        return "Lists the changes between a version and two files or another version.";
    }
    exit_code run(std::vector<std::string> arguments) override;

private:
    static void print(const configuration &from, const whole_tables &to, bool asJson)
    {
        const auto lines = describe(makeDelta(from, to), from);
        if (asJson) {
            fmt::print("{}\n", boost::json::serialize(boost::json::object {{"from", from.version}, {"changes", toJson(lines)}}));
            return;
        }
        fmt::print("{} changes from version {}\n", lines.size(), from.version);
        printIndented(lines);
    }
};

exit_code diff_command::run(std::vector<std::string> arguments)
{
    TCLAP::CmdLine line("Lists the changes between a version (by default the one in force) and two files, or the version given by --to. "
                        "Exit codes: 0 listed, 1 not found or the log cannot be read, 2 wrong arguments, 3 the files have faults.",
                        ' ',
                        kVersion);
    const common_arguments common(line);
    TCLAP::ValueArg<std::uint64_t> from("", "from", "Version to start from.", false, 0, "VERSION", line);
    TCLAP::ValueArg<std::uint64_t> to("", "to", "Version to compare with, in place of files.", false, 0, "VERSION", line);
    TCLAP::UnlabeledMultiArg<std::string> tables("files", "YAML files of the tables of routes and pools.", false, "ROUTES POOLS", line);
    if (const auto code = parseArguments(line, arguments)) {
        return *code;
    }
    const auto platform = common.platform();
    if (!platform) {
        return exit_code::BadArguments;
    }
    const auto &paths = tables.getValue();
    if (paths.size() != (to.isSet() ? 0 : 2)) {
        fmt::print(stderr, "sequoiawharf diff: expected either ROUTES and POOLS or --to\n");
        return exit_code::BadArguments;
    }
    const auto files = to.isSet() ? std::optional(whole_tables {}) : loadTables(paths[0], paths[1], common.json());
    if (!files) {
        return exit_code::FaultyTables;
    }
    log_view log(*platform);
    if (!log.read(kDiffReadTimeout)) {
        return exit_code::Failed;
    }
    const auto left = from.isSet() ? log.find(from.getValue()) : log.reader().state().current();
    const auto right = to.isSet() ? log.find(to.getValue()) : nullptr;
    if (!left || (to.isSet() && !right)) {
        fmt::print(stderr, "sequoiawharf: the log does not contain the requested version\n");
        return exit_code::Failed;
    }
    print(*left, right ? whole_tables {right->routes, right->pools, right->organisations} : *files, common.json());
    return exit_code::Done;
}

} // namespace

std::unique_ptr<command> makeDiffCommand()
{
    return std::make_unique<diff_command>();
}

} // namespace sequoiawharf::cli
