#include "src/cli/commands.h"

namespace sequoiawharf::cli
{

std::vector<std::unique_ptr<command>> allCommands()
{
    std::vector<std::unique_ptr<command>> commands;
    commands.push_back(makeCheckCommand());
    commands.push_back(makePublishCommand());
    commands.push_back(makeShowCommand());
    commands.push_back(makeDiffCommand());
    commands.push_back(makeHistoryCommand());
    commands.push_back(makeStatusCommand());
    commands.push_back(makeTimelineCommand());
    commands.push_back(makeExplainCommand());
    return commands;
}

} // namespace sequoiawharf::cli
