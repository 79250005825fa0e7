#include "src/cli/arguments.h"

#include "src/base/yaml_fields.h"

#include <fmt/format.h>

#include <algorithm>

namespace sequoiawharf::cli
{

std::optional<exit_code> parseArguments(TCLAP::CmdLine &line, std::vector<std::string> &words)
{
    line.setExceptionHandling(false);
    words.front().insert(0, "sequoiawharf ");
    try {
        line.parse(words);
    } catch (const TCLAP::ArgException &error) {
        fmt::print(stderr, "{}: {} {}\nTry {} --help\n", words.empty() ? "sequoiawharf" : words.front(), error.error(), error.argId(), line.getProgramName());
        return exit_code::BadArguments;
    } catch (const TCLAP::ExitException &) {
        return exit_code::Done;
    }
    return std::nullopt;
}

common_arguments::common_arguments(TCLAP::CmdLine &line)
    : m_platform("p", "platform", "Address of the platform's service; may be given more than once.", true, "IP:PORT", line)
    , m_json("", "json", "Print JSON.", line)
{
}

std::optional<std::vector<host_port>> common_arguments::platform() const
{
    return parseAddresses(m_platform.getValue());
}

std::optional<std::vector<host_port>> parseAddresses(const std::vector<std::string> &texts)
{
    std::vector<host_port> addresses;
    const bool readable = std::ranges::all_of(texts, [&](const std::string &text) {
        const auto address = parseHostPort(text);
        if (!address) {
            fmt::print(stderr, "sequoiawharf: \"{}\" is not an IP number and a port, such as 127.0.0.1:7000\n", text);
            return false;
        }
        addresses.push_back(*address);
        return true;
    });
    return readable ? std::optional(addresses) : std::nullopt;
}

} // namespace sequoiawharf::cli
