#include "src/cli/command.h"
#include "src/cli/version.h"

#include <fmt/format.h>

#include <algorithm>

namespace
{

using namespace sequoiawharf::cli;

void printOverview(std::FILE *out, const std::vector<std::unique_ptr<command>> &commands)
{
    fmt::print(out, "Operators' command of the sequoiawharf load balancer.\n\nUsage: sequoiawharf COMMAND [OPTION...]\n\nCommands:\n");
    std::ranges::for_each(commands, [out](const auto &entry) {
        fmt::print(out, "  {:<10} {}\n", entry->name(), entry->summary());
    });
    fmt::print(out, "\nsequoiawharf COMMAND --help describes a command; sequoiawharf --version prints the version.\n");
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    const auto commands = allCommands();
    if (words.empty()) {
        printOverview(stderr, commands);
        return static_cast<int>(exit_code::BadArguments);
    }
    if (words.front() == "--help" || words.front() == "-h") {
        printOverview(stdout, commands);
        return static_cast<int>(exit_code::Done);
    }
    if (words.front() == "--version") {
        fmt::print("sequoiawharf {}\n", kVersion);
        return static_cast<int>(exit_code::Done);
    }
    const auto chosen = std::ranges::find_if(commands, [&](const auto &entry) {
        return entry->name() == words.front();
    });
    if (chosen == commands.end()) {
        fmt::print(stderr, "sequoiawharf: \"{}\" is not a command\n\n", words.front());
        printOverview(stderr, commands);
        return static_cast<int>(exit_code::BadArguments);
    }
    return static_cast<int>((*chosen)->run(words));
}
