#include "src/cli/commands.h"
#include "src/cli/event_reader.h"
#include "src/cli/version.h"

#include <charconv>
#include <fmt/format.h>

namespace sequoiawharf::cli
{

namespace
{

constexpr std::size_t kCallIdDigits = 16;

std::optional<call_id> parseCallId(const std::string &text)
{
    call_id id = 0;
    const auto *const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, id, 16);
    const bool whole = text.size() == kCallIdDigits && result.ec == std::errc {} && result.ptr == end;
    return whole && id != 0 ? std::optional(id) : std::nullopt;
}

class explain_command final : public command
{
public:
    std::string_view name() const override
    {
        return "explain";
    }
    std::string_view summary() const override
    {
        return "Shows the decisions about one call at every instance that handled it.";
    }

    exit_code run(std::vector<std::string> arguments) override
    {
        TCLAP::CmdLine line("Shows the decisions of each instance about one call. Of the calls that ended with an answer, instances record only a sample. "
                            "Exit codes: 0 all instances answered, 1 the list of instances cannot be read, 6 some did not answer.",
                            ' ',
                            kVersion);
        const common_arguments common(line);
        TCLAP::MultiArg<std::string> given("i", "instance", "Admin address of an instance, in place of the platform's list.", false, "IP:PORT", line);
        TCLAP::UnlabeledValueArg<std::string> call("call", "The header Sequoiawharf-Call of the answer.", true, "", "CALL-ID", line);
        if (const auto code = parseArguments(line, arguments)) {
            return *code;
        }
        const auto id = parseCallId(call.getValue());
        const auto platform = common.platform();
        if (!id || !platform) {
            fmt::print(
                stderr, "sequoiawharf: {}\n", id ? "the platform's address is malformed" : "a call id must have 16 hexadecimal digits and must not be zero");
            return exit_code::BadArguments;
        }
        const auto admins = findAdmins(*platform, given.getValue());
        if (!admins) {
            return exit_code::Failed;
        }
        event_query query;
        query.call = *id;
        const auto found = fetchEvents(*admins, query);
        printEvents(found, common.json());
        if (found.events.empty() && !common.json()) {
            fmt::print("no instance that answered has an event of this call\n");
        }
        return found.unanswered.empty() ? exit_code::Done : exit_code::Lagging;
    }
};

} // namespace

std::unique_ptr<command> makeExplainCommand()
{
    return std::make_unique<explain_command>();
}

} // namespace sequoiawharf::cli
