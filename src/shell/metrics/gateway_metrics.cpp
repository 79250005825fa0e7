#include "src/shell/metrics/gateway_metrics.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <numeric>

namespace sequoiawharf
{

namespace
{

using text_buffer = fmt::memory_buffer;
using thread_list = std::vector<std::unique_ptr<thread_metrics>>;

constexpr std::array<std::string_view, kRouteClassCount> kClassNames {"urgent", "normal", "bulk"};
constexpr std::array<std::string_view, kByteDirectionCount> kDirectionNames {"from_callers", "to_callers", "from_targets", "to_targets"};

template<typename... args> void print(text_buffer &out, fmt::format_string<args...> format, args &&...values)
{
    fmt::format_to(std::back_inserter(out), format, std::forward<args>(values)...);
}

void printHead(text_buffer &out, std::string_view name, std::string_view type, std::string_view help)
{
    print(out, "# HELP {} {}\n# TYPE {} {}\n", name, help, name, type);
}

template<typename reader> auto sumOf(const thread_list &threads, reader read)
{
    using number = decltype(read(*threads.front()));
    return std::transform_reduce(threads.begin(), threads.end(), number {0}, std::plus<> {}, [&](const auto &thread) {
        return read(*thread);
    });
}

template<typename number>
void printSum(text_buffer &out,
              const thread_list &threads,
              std::string_view name,
              std::string_view type,
              std::string_view help,
              std::atomic<number> thread_metrics::*member)
{
    printHead(out, name, type, help);
    print(out, "{} {}\n", name, sumOf(threads, [&](const thread_metrics &thread) {
              return (thread.*member).load(std::memory_order_relaxed);
          }));
}

void printEndings(text_buffer &out, const thread_list &threads)
{
    printHead(out, "sequoiawharf_calls_total", "counter", "Calls that ended, by how they ended.");
    for (std::size_t i = 0; i < kEndingCount; ++i) {
        const auto count = sumOf(threads, [&](const thread_metrics &thread) {
            return thread.endings[i].load(std::memory_order_relaxed);
        });
        print(out, "sequoiawharf_calls_total{{ending=\"{}\"}} {}\n", toString(static_cast<call_ending>(i)), count);
    }
    printHead(out, "sequoiawharf_call_reasons_total", "counter", "Calls without a target's whole answer, by reason.");
    for (std::size_t i = 1; i < kReasonCount; ++i) {
        const auto count = sumOf(threads, [&](const thread_metrics &thread) {
            return thread.reasons[i].load(std::memory_order_relaxed);
        });
        print(out, "sequoiawharf_call_reasons_total{{reason=\"{}\"}} {}\n", toString(static_cast<call_reason>(i)), count);
    }
}

void printBytes(text_buffer &out, const thread_list &threads)
{
    printHead(out, "sequoiawharf_call_bytes_total", "counter", "Bytes of calls, by direction.");
    for (std::size_t i = 0; i < kByteDirectionCount; ++i) {
        const auto count = sumOf(threads, [&](const thread_metrics &thread) {
            return thread.bytes[i].load(std::memory_order_relaxed);
        });
        print(out, "sequoiawharf_call_bytes_total{{direction=\"{}\"}} {}\n", kDirectionNames[i], count);
    }
}

void printAddedTime(text_buffer &out, const added_time &added, std::string_view className, std::size_t thread)
{
    constexpr auto kName = "sequoiawharf_added_seconds";
    const auto seconds = [](std::chrono::nanoseconds value) {
        return std::chrono::duration<double>(value).count();
    };
    for (std::size_t i = 0; i < added_time::kQuantiles.size(); ++i) {
        const auto value = seconds(added.quantile(i));
        print(out, "{}{{class=\"{}\",thread=\"{}\",quantile=\"{}\"}} {:.9f}\n", kName, className, thread, added_time::kQuantiles[i], value);
    }
    print(out, "{}_sum{{class=\"{}\",thread=\"{}\"}} {:.9f}\n", kName, className, thread, seconds(added.sum()));
    print(out, "{}_count{{class=\"{}\",thread=\"{}\"}} {}\n", kName, className, thread, added.count());
}

} // namespace

void thread_metrics::countEnding(call_ending ending, call_reason reason)
{
    endings[static_cast<std::size_t>(ending)].fetch_add(1, std::memory_order_relaxed);
    reasons[static_cast<std::size_t>(reason)].fetch_add(1, std::memory_order_relaxed);
}

void thread_metrics::countBytes(byte_direction direction, std::uint64_t count)
{
    bytes[static_cast<std::size_t>(direction)].fetch_add(count, std::memory_order_relaxed);
}

gateway_metrics::gateway_metrics(unsigned threads)
{
    std::generate_n(std::back_inserter(m_threads), threads, [] {
        return std::make_unique<thread_metrics>();
    });
}

std::string gateway_metrics::text() const
{
    text_buffer out;
    printEndings(out, m_threads);
    printBytes(out, m_threads);
    printSum(out, m_threads, "sequoiawharf_calls_in_flight", "gauge", "Calls that have come and not ended.", &thread_metrics::callsInFlight);
    printSum(out, m_threads, "sequoiawharf_caller_connections", "gauge", "Open connections of callers.", &thread_metrics::callerConnections);
    printSum(out, m_threads, "sequoiawharf_call_memory_bytes", "gauge", "Memory that calls hold.", &thread_metrics::callMemoryBytes);
    printSum(out, m_threads, "sequoiawharf_bodies_ended_total", "counter", "Unfinished bodies ended to free memory.", &thread_metrics::bodiesEnded);
    printSum(out, m_threads, "sequoiawharf_attempts_total", "counter", "Attempts of calls at endpoints.", &thread_metrics::attempts);
    printSum(out, m_threads, "sequoiawharf_retries_total", "counter", "Attempts after a failed one.", &thread_metrics::retries);
    printSum(out, m_threads, "sequoiawharf_relays_total", "counter", "Calls carried to another region.", &thread_metrics::relays);
    printSum(out, m_threads, "sequoiawharf_target_connections_opened_total", "counter", "Connections opened to targets.", &thread_metrics::connectionsOpened);
    printSum(out, m_threads, "sequoiawharf_target_connections_closed_total", "counter", "Connections to targets closed.", &thread_metrics::connectionsClosed);
    printSum(out, m_threads, "sequoiawharf_endpoint_rests_total", "counter", "Answers by which an endpoint asked for a rest.", &thread_metrics::rests);
    printSum(out,
             m_threads,
             "sequoiawharf_endpoint_rests_unreadable_total",
             "counter",
             "Answers that asked for a rest without a readable time.",
             &thread_metrics::unreadableRests);
    printHead(out, "sequoiawharf_added_seconds", "summary", "Time added to calls: total less the target's. Quantiles of the last complete window.");
    for (std::size_t thread = 0; thread < m_threads.size(); ++thread) {
        for (std::size_t i = 0; i < kRouteClassCount; ++i) {
            printAddedTime(out, m_threads[thread]->addedTime[i], kClassNames[i], thread);
        }
    }
    return fmt::to_string(out);
}

} // namespace sequoiawharf
