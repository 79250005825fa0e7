#pragma once

#include "src/cli/command.h"

#include <memory>

namespace sequoiawharf::cli
{

// Factories of the subcommands. Each is defined in the source file of its subcommand.
std::unique_ptr<command> makeCheckCommand();
std::unique_ptr<command> makePublishCommand();
std::unique_ptr<command> makeShowCommand();
std::unique_ptr<command> makeDiffCommand();
std::unique_ptr<command> makeHistoryCommand();
std::unique_ptr<command> makeStatusCommand();
std::unique_ptr<command> makeTimelineCommand();
std::unique_ptr<command> makeExplainCommand();

} // namespace sequoiawharf::cli
