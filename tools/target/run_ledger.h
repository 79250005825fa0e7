#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace sequoiawharf::stand_in
{

/// Counts how often each request ran, over all endpoints of the process. Not thread safe.
class run_ledger
{
public:
    /// Counts a run of the request. A request is repeatable if its method may run more than once.
    void add(std::string_view requestId, bool repeatable);

    std::uint64_t runs() const
    {
        return m_runs;
    }

    /// Returns the number of repeated runs of requests that must run at most once.
    std::uint64_t doubled() const
    {
        return m_doubled;
    }

    /// Returns one line for each request: the XXH3 hash of its id in hexadecimal, the number of runs, and "once" or "repeatable".
    std::string list() const;

private:
    struct entry {
        std::uint32_t runs = 0;
        bool repeatable = false;
    };

    std::unordered_map<std::uint64_t, entry> m_entries;
    std::uint64_t m_runs = 0;
    std::uint64_t m_doubled = 0;
};

} // namespace sequoiawharf::stand_in
