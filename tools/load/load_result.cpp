#include "tools/load/load_result.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <sstream>
#include <xxhash.h>

namespace sequoiawharf::stand_in
{

namespace
{

std::string_view nameOf(seen_ending ending)
{
    switch (ending) {
    case seen_ending::Answered:
        return "answered";
    case seen_ending::ServerError:
        return "server_error";
    case seen_ending::NotRun:
        return "not_run";
    case seen_ending::Unknown:
        return "unknown";
    case seen_ending::Refused:
        return "refused";
    case seen_ending::Lost:
        return "lost";
    case seen_ending::NoConnection:
        return "no_connection";
    }
    return "lost";
}

float quantile(std::vector<float> &values, double q)
{
    if (values.empty()) {
        return 0.0F;
    }
    const auto rank = std::min(values.size() - 1, static_cast<std::size_t>(q * static_cast<double>(values.size())));
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

std::uint64_t countOf(const std::map<seen_ending, std::uint64_t> &endings, seen_ending ending)
{
    const auto found = endings.find(ending);
    return found == endings.end() ? 0 : found->second;
}

} // namespace

load_result::load_result(const load_options &options)
    : m_options(options)
{
    std::ranges::for_each(options.kinds, [&](const call_kind &kind) {
        m_kinds.try_emplace(kind.name);
    });
}

void load_result::add(const call_kind &kind, const call_result &result, std::chrono::nanoseconds latency)
{
    ++m_finished;
    auto &own = m_kinds[kind.name];
    ++own.endings[result.ending];
    if (!result.reason.empty()) {
        ++own.reasons[result.reason];
    }
    ++m_endings[result.ending];
    const auto hash = XXH3_64bits(result.requestId.data(), result.requestId.size());
    m_requestHashes.insert(hash);
    m_mismatched += result.mismatched ? 1 : 0;
    if (result.ending == seen_ending::Answered) {
        own.latenciesMs.push_back(std::chrono::duration<float, std::milli>(latency).count());
    }
    if (result.ending == seen_ending::NotRun) {
        m_notRun.insert(hash);
    }
}

void load_result::checkRuns(const std::string &runList)
{
    std::istringstream lines(runList);
    std::string hashText;
    std::string kind;
    std::uint32_t runs = 0;
    while (lines >> hashText >> runs >> kind) {
        std::uint64_t hash = 0;
        std::from_chars(hashText.data(), hashText.data() + hashText.size(), hash, 16);
        if (!m_requestHashes.contains(hash)) {
            continue;
        }
        m_targetRuns += runs;
        m_ranThoughNotRun += m_notRun.contains(hash) ? 1 : 0;
        if (kind == "once") {
            auto &total = m_onceRuns[hash];
            m_doubled += total + runs > 1 ? total + runs - std::max(total, 1U) : 0;
            total += runs;
        }
    }
}

std::string load_result::json() const
{
    std::string kinds;
    for (auto [name, own] : m_kinds) {
        std::string fields;
        std::ranges::for_each(own.endings, [&](const auto &entry) {
            fields += fmt::format("\"{}\":{},", nameOf(entry.first), entry.second);
        });
        std::string reasons;
        std::ranges::for_each(own.reasons, [&](const auto &entry) {
            reasons += fmt::format("{}\"{}\":{}", reasons.empty() ? "" : ",", entry.first, entry.second);
        });
        kinds += fmt::format("{}\"{}\":{{{}\"reasons\":{{{}}},\"p50_ms\":{:.2f},\"p99_ms\":{:.2f},\"p999_ms\":{:.2f}}}",
                             kinds.empty() ? "" : ",",
                             name,
                             fields,
                             reasons,
                             quantile(own.latenciesMs, 0.5),
                             quantile(own.latenciesMs, 0.99),
                             quantile(own.latenciesMs, 0.999));
    }
    std::string totals;
    std::ranges::for_each(m_endings, [&](const auto &entry) {
        totals += fmt::format("\"all_{}\":{},", nameOf(entry.first), entry.second);
    });
    return fmt::format("{{\"seed\":{},\"rate\":{},\"finished\":{},{}\"mismatched\":{},\"doubled_runs\":{},\"ran_though_not_run\":{},"
                       "\"target_runs\":{},\"kinds\":{{{}}}}}\n",
                       m_options.seed,
                       m_options.rate,
                       m_finished,
                       totals,
                       m_mismatched,
                       m_doubled,
                       m_ranThoughNotRun,
                       m_targetRuns,
                       kinds);
}

std::string load_result::markdown() const
{
    std::string text = "| kind | answered | 5xx | not run | unknown | refused | lost | no connection | p50 ms | p99 ms | p99.9 ms |\n"
                       "|---|---|---|---|---|---|---|---|---|---|---|\n";
    for (auto [name, own] : m_kinds) {
        text += fmt::format("| {} | {} | {} | {} | {} | {} | {} | {} | {:.2f} | {:.2f} | {:.2f} |\n",
                            name,
                            countOf(own.endings, seen_ending::Answered),
                            countOf(own.endings, seen_ending::ServerError),
                            countOf(own.endings, seen_ending::NotRun),
                            countOf(own.endings, seen_ending::Unknown),
                            countOf(own.endings, seen_ending::Refused),
                            countOf(own.endings, seen_ending::Lost),
                            countOf(own.endings, seen_ending::NoConnection),
                            quantile(own.latenciesMs, 0.5),
                            quantile(own.latenciesMs, 0.99),
                            quantile(own.latenciesMs, 0.999));
    }
    return text;
}

} // namespace sequoiawharf::stand_in
