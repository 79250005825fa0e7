#pragma once

#include <fmt/format.h>

#include <iterator>
#include <string>
#include <string_view>

namespace sequoiawharf
{

/// Builds a page of metrics in Prometheus' text format. Not thread safe.
class metrics_text
{
public:
    /// Adds the head of a metric. type: counter, gauge or summary.
    void begin(std::string_view name, std::string_view type, std::string_view help)
    {
        line("# HELP {} {}\n# TYPE {} {}\n", name, help, name, type);
    }

    /// Adds formatted text. Precondition: the text ends with a newline.
    template<typename... args> void line(fmt::format_string<args...> format, args &&...values)
    {
        fmt::format_to(std::back_inserter(m_text), format, std::forward<args>(values)...);
    }

    /// Adds a metric that has a single value, with its head.
    template<typename number> void single(std::string_view name, std::string_view type, std::string_view help, number value)
    {
        begin(name, type, help);
        line("{} {}\n", name, value);
    }

    /// Returns the page's text.
    std::string str() const
    {
        return fmt::to_string(m_text);
    }

private:
    fmt::memory_buffer m_text;
};

} // namespace sequoiawharf
