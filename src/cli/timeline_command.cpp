#include "src/base/yaml_fields.h"
#include "src/cli/commands.h"
#include "src/cli/event_reader.h"
#include "src/cli/version.h"

#include <fmt/format.h>

namespace sequoiawharf::cli
{

namespace
{

class timeline_command final : public command
{
public:
    std::string_view name() const override
    {
        return "timeline";
    }
    std::string_view summary() const override
    {
        return "Shows the decisions of all instances in chronological order.";
    }

    exit_code run(std::vector<std::string> arguments) override
    {
        TCLAP::CmdLine line("Shows the decisions of all instances in chronological order. "
                            "Exit codes: 0 all instances answered, 1 the list of instances cannot be read, 6 some did not answer.",
                            ' ',
                            kVersion);
        const common_arguments common(line);
        TCLAP::MultiArg<std::string> given("i", "instance", "Admin address of an instance, in place of the platform's list.", false, "IP:PORT", line);
        TCLAP::ValueArg<std::string> since("s", "since", "How far to look back.", false, "10min", "DURATION", line);
        TCLAP::ValueArg<std::string> pool("", "pool", "Only events of this pool.", false, "", "NAME", line);
        TCLAP::ValueArg<std::string> kind("", "kind", "Only events of this kind.", false, "", "NAME", line);
        if (const auto code = parseArguments(line, arguments)) {
            return *code;
        }
        const auto lookBack = parseDuration(since.getValue());
        if (!lookBack || (!kind.getValue().empty() && !eventKindOf(kind.getValue()))) {
            fmt::print(stderr, "sequoiawharf: {}\n", lookBack ? "--kind is not a known kind of event" : "--since is not a duration such as 10min");
            return exit_code::BadArguments;
        }
        const auto platform = common.platform();
        if (!platform) {
            return exit_code::BadArguments;
        }
        const auto admins = findAdmins(*platform, given.getValue());
        if (!admins) {
            return exit_code::Failed;
        }
        const auto start = std::chrono::system_clock::now() - *lookBack;
        event_query query;
        query.sinceMs = std::chrono::duration_cast<std::chrono::milliseconds>(start.time_since_epoch()).count();
        query.pool = pool.getValue();
        query.kind = kind.getValue();
        const auto found = fetchEvents(*admins, query);
        printEvents(found, common.json());
        return found.unanswered.empty() ? exit_code::Done : exit_code::Lagging;
    }
};

} // namespace

std::unique_ptr<command> makeTimelineCommand()
{
    return std::make_unique<timeline_command>();
}

} // namespace sequoiawharf::cli
