#include "tools/target/run_ledger.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <xxhash.h>

namespace sequoiawharf::stand_in
{

void run_ledger::add(std::string_view requestId, bool repeatable)
{
    ++m_runs;
    if (requestId.empty()) {
        return;
    }
    auto &request = m_entries[XXH3_64bits(requestId.data(), requestId.size())];
    request.repeatable = repeatable;
    ++request.runs;
    if (!repeatable && request.runs > 1) {
        ++m_doubled;
    }
}

std::string run_ledger::list() const
{
    std::string text;
    std::ranges::for_each(m_entries, [&](const auto &item) {
        fmt::format_to(std::back_inserter(text), "{:016x} {} {}\n", item.first, item.second.runs, item.second.repeatable ? "repeatable" : "once");
    });
    return text;
}

} // namespace sequoiawharf::stand_in
