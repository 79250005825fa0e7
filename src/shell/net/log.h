#pragma once

#include <fmt/format.h>

#include <string_view>

namespace sequoiawharf
{

enum class log_level { Debug, Info, Warning, Error };

/// Returns the level of a name such as "info"; Info for other names. Thread safe.
log_level toLogLevel(std::string_view name);

/// Sets the lowest level that is written. Thread safe.
void setLogLevel(log_level level);

/// Tells whether a message of the level is written. Thread safe.
bool isLogged(log_level level);

/// Writes one line to standard output: time, level, the part's fixed prefix and the message. Never waits: lines over a bound a second, and those
/// that the reader has no room for, are left out and counted on the next line. Thread safe.
void writeLog(log_level level, std::string_view part, std::string_view message);

/// Formats and writes one line. Key=value pairs follow the sentence. Thread safe.
template<typename... args> void logTo(log_level level, std::string_view part, fmt::format_string<args...> format, args &&...values)
{
    if (isLogged(level)) {
        writeLog(level, part, fmt::format(format, std::forward<args>(values)...));
    }
}

} // namespace sequoiawharf
