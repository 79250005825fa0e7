#include "src/daemon/daemon.h"

#include "sequoiawharf/selection_policy.h"
#include "sequoiawharf/settings.h"
#include "src/shell/instance/instance.h"
#include "src/shell/instance/surroundings.h"
#include "src/shell/net/log.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <fstream>
#include <optional>
#include <sstream>

namespace
{

using namespace sequoiawharf;

constexpr const char *kVersion = "0.1.0";
constexpr int kExitOk = 0;
constexpr int kExitBadSettings = 2;
constexpr int kExitCannotListen = 3;
constexpr int kExitCallsCut = 4;

struct arguments {
    std::string settingsPath;
    std::string quotas; ///< Empty: as the settings file says.
    bool checkOnly = false;
};

arguments parseArguments(int argc, char **argv, const std::string &defaultSettings)
{
    TCLAP::CmdLine line("Entry instance of the sequoiawharf load balancer. Exit codes: 0 stopped, 1 bad arguments, 2 bad settings, "
                        "3 cannot listen at an address, 4 calls were cut at the stop's deadline.",
                        ' ',
                        kVersion);
    TCLAP::ValueArg<std::string> settingsPath("s", "settings", "Settings file in YAML.", defaultSettings.empty(), defaultSettings, "FILE", line);
    TCLAP::ValueArg<std::string> quotas(
        "", "quotas", "Enforcement of the quotas of organisations, in place of that in the settings file.", false, "", "SECONDS,OVERSHOOT,SLACK", line);
    TCLAP::SwitchArg checkOnly("", "check-settings", "Check the settings file and exit.", line);
    line.parse(argc, argv);
    return {settingsPath.getValue(), quotas.getValue(), checkOnly.getValue()};
}

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// Returns the settings, or an error with one line per fault.
tl::expected<instance_settings, std::string> readSettings(const arguments &options)
{
    const auto &path = options.settingsPath;
    const auto text = readFile(path);
    if (!text) {
        return tl::unexpected(fmt::format("{}: the file cannot be read\n", path));
    }
    auto settings = parseSettings(*text);
    if (!settings) {
        std::string faults;
        std::ranges::for_each(settings.error(), [&](const table_fault &fault) {
            faults += fmt::format("{}:{}: {}\n", path, fault.line, fault.message);
        });
        return tl::unexpected(std::move(faults));
    }
    if (!makeSelectionPolicy(settings->policy)) {
        return tl::unexpected(fmt::format("{}: settings: \"policy\" names \"{}\", which does not exist\n", path, settings->policy));
    }
    if (!options.quotas.empty()) {
        const auto quotas = parseQuotaSettings(options.quotas);
        if (!quotas) {
            return tl::unexpected(fmt::format("--quotas: {}\n", quotas.error()));
        }
        settings->quotas = *quotas;
    }
    return std::move(*settings);
}

int runInstance(instance_settings settings, surroundings &outside, const arguments &options)
{
    setLogLevel(toLogLevel(settings.logLevel));
    instance entry(std::move(settings), outside, [options] {
        return readSettings(options);
    });
    if (const auto started = entry.start(); !started) {
        fmt::print(stderr, "{}\n", started.error());
        return kExitCannotListen;
    }
    return entry.runUntilStopped().callsCut == 0 ? kExitOk : kExitCallsCut;
}

} // namespace

int sequoiawharf::runDaemon(int argc, char **argv, surroundings &outside, const std::string &defaultSettings)
{
    const auto options = parseArguments(argc, argv, defaultSettings);
    auto settings = readSettings(options);
    if (!settings) {
        fmt::print(stderr, "{}", settings.error());
        return kExitBadSettings;
    }
    if (options.checkOnly) {
        fmt::print("{}: the settings are valid\n", options.settingsPath);
        return kExitOk;
    }
    return runInstance(std::move(*settings), outside, options);
}
