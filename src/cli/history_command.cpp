#include "src/cli/arguments.h"
#include "src/cli/commands.h"
#include "src/cli/log_view.h"
#include "src/cli/printing.h"
#include "src/cli/version.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace sequoiawharf::cli
{

namespace
{

constexpr std::chrono::seconds kHistoryReadTimeout {10};

class history_command final : public command
{
public:
    std::string_view name() const override
    {
        return "history";
    }
    std::string_view summary() const override
    {
        return "Lists the records of the log and the verdict on each.";
    }

    exit_code run(std::vector<std::string> arguments) override
    {
        TCLAP::CmdLine line("Lists the records that the log still holds, oldest first, and the verdict on each. "
                            "Exit codes: 0 listed, 1 the log cannot be read or (with --id) holds no such publication.",
                            ' ',
                            kVersion);
        const common_arguments common(line);
        TCLAP::ValueArg<std::string> id("", "id", "Show one publication only.", false, "", "ID", line);
        TCLAP::ValueArg<unsigned> last("", "last", "Show the newest records only.", false, 0, "COUNT", line);
        if (const auto code = parseArguments(line, arguments)) {
            return *code;
        }
        const auto platform = common.platform();
        if (!platform) {
            return exit_code::BadArguments;
        }
        log_view log(*platform);
        if (!log.read(kHistoryReadTimeout)) {
            return exit_code::Failed;
        }
        std::vector<record_verdict> shown;
        std::ranges::copy_if(log.reader().verdicts(), std::back_inserter(shown), [&](const record_verdict &entry) {
            return !id.isSet() || entry.id.str() == id.getValue();
        });
        if (last.isSet() && shown.size() > last.getValue()) {
            shown.erase(shown.begin(), shown.end() - last.getValue());
        }
        print(shown, log.reader().state().version(), common.json());
        return id.isSet() && shown.empty() ? exit_code::Failed : exit_code::Done;
    }

private:
    static void print(const std::vector<record_verdict> &shown, config_version version, bool asJson)
    {
        if (!asJson) {
            std::ranges::for_each(shown, [](const record_verdict &entry) {
                fmt::print("{}\n", toLine(entry));
            });
            fmt::print("in force: version={}\n", version);
            return;
        }
        boost::json::array list;
        std::ranges::for_each(shown, [&](const record_verdict &entry) {
            list.push_back(toJson(entry));
        });
        fmt::print("{}\n", boost::json::serialize(boost::json::object {{"version", version}, {"records", std::move(list)}}));
    }
};

} // namespace

std::unique_ptr<command> makeHistoryCommand()
{
    return std::make_unique<history_command>();
}

} // namespace sequoiawharf::cli
