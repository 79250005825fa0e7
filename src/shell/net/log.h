#pragma once

#include <fmt/format.h>

#include <string_view>

namespace sequoiawharf
{

enum class log_level { Debug, Info, Warning, Error };

/// Returns the level of a name such as "info"; Info for other names. Thread safe.
log_level toLogLevel(std::string_view name);

/// Sets the lowest level that is logged. Thread safe.
void setLogLevel(log_level level);

/// Returns whether messages of the level are logged. Thread safe.
bool isLogged(log_level level);

/// Writes one line to standard output with the time, the level, the part's name and the message, in which bytes that are not printable ASCII stand as \xNN.
/// Never blocks: lines beyond the limit per second and lines for which standard output has no room are dropped, and the next line reports their number. Thread
/// safe.
void writeLog(log_level level, std::string_view part, std::string_view message);

/// Formats and writes one line. The message is a sentence followed by key=value pairs. Thread safe.
template<typename... args> void logTo(log_level level, std::string_view part, fmt::format_string<args...> format, args &&...values)
{
    if (isLogged(level)) {
        writeLog(level, part, fmt::format(format, std::forward<args>(values)...));
    }
}

} // namespace sequoiawharf
