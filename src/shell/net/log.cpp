#include "src/shell/net/log.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <fmt/chrono.h>
#include <iterator>
#include <poll.h>
#include <string>
#include <unistd.h>

namespace sequoiawharf
{

namespace
{

std::atomic<log_level> minimumLevel {log_level::Info};

// Limits the volume of the log. The first lines of a busy second show its cause, and the next line after dropped ones reports their number.
constexpr std::uint32_t kLinesPerSecond = 200;
constexpr std::size_t kLineBytes = 4000; // below PIPE_BUF, so that lines of several threads do not mix

std::atomic<std::int64_t> currentSecond {0};
std::atomic<std::uint32_t> linesInSecond {0};
std::atomic<std::uint64_t> droppedLines {0};

// Counts a line against the limit of the given second and returns whether it may be written.
bool reserveLine(std::int64_t second)
{
    auto before = currentSecond.load(std::memory_order_relaxed);
    if (before != second && currentSecond.compare_exchange_strong(before, second, std::memory_order_relaxed)) {
        linesInSecond.store(0, std::memory_order_relaxed);
    }
    return linesInSecond.fetch_add(1, std::memory_order_relaxed) < kLinesPerSecond;
}

// Writes the line without blocking. Returns false when the line was not written in full.
bool writeWithoutBlocking(std::string_view line)
{
    pollfd out {.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    if (::poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0) {
        return false;
    }
    return ::write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

std::string_view nameOf(log_level level)
{
    switch (level) {
    case log_level::Debug:
        return "debug";
    case log_level::Info:
        return "info";
    case log_level::Warning:
        return "warning";
    case log_level::Error:
        return "error";
    }
    return "info";
}

// Replaces all bytes but printable ASCII. Names in a message may come from outside, and a line break in one would look like a line of its own.
std::string printable(std::string_view text)
{
    std::string out;
    out.reserve(text.size());
    std::ranges::for_each(text, [&out](char c) {
        if (c >= ' ' && c <= '~') {
            out.push_back(c);
        } else {
            fmt::format_to(std::back_inserter(out), "\\x{:02x}", static_cast<unsigned char>(c));
        }
    });
    return out;
}

} // namespace

log_level toLogLevel(std::string_view name)
{
    static constexpr std::array kLevels {log_level::Debug, log_level::Info, log_level::Warning, log_level::Error};
    const auto *const found = std::ranges::find(kLevels, name, nameOf);
    return found == kLevels.end() ? log_level::Info : *found;
}

void setLogLevel(log_level level)
{
    minimumLevel.store(level, std::memory_order_relaxed);
}

bool isLogged(log_level level)
{
    return level >= minimumLevel.load(std::memory_order_relaxed);
}

void writeLog(log_level level, std::string_view part, std::string_view message)
{
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto seconds = std::chrono::time_point_cast<std::chrono::seconds>(now);
    const auto millis = (now - seconds).count();
    if (!reserveLine(seconds.time_since_epoch().count())) {
        droppedLines.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    const auto leftOut = droppedLines.exchange(0, std::memory_order_relaxed);
    const auto note = leftOut == 0 ? std::string {} : fmt::format(" lines_left_out={}", leftOut);
    auto line = fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {}: {}{}", fmt::gmtime(seconds), millis, nameOf(level), part, printable(message), note);
    line.resize(std::min(line.size(), kLineBytes));
    line.push_back('\n');
    if (!writeWithoutBlocking(line)) {
        droppedLines.fetch_add(leftOut + 1, std::memory_order_relaxed);
    }
}

} // namespace sequoiawharf
