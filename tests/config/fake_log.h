#pragma once

#include "sequoiawharf/configuration_state.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <string>
#include <vector>

namespace sequoiawharf::testing
{

/// An in-memory log whose records expire on demand. It keeps expired records for tests. Not thread safe.
class fake_log
{
public:
    log_offset append(std::string data)
    {
        m_all.push_back({m_all.size() + 1, m_now, std::move(data)});
        return m_all.size();
    }
    /// Makes the records before the offset unreadable.
    void expireBefore(log_offset first)
    {
        m_first = std::clamp(first, m_first, next());
    }
    void advance(std::chrono::milliseconds time)
    {
        m_now += time;
    }
    log_offset first() const
    {
        return m_first;
    }
    log_offset next() const
    {
        return m_all.size() + 1;
    }
    wall_time now() const
    {
        return m_now;
    }
    /// Returns all records ever appended, including expired ones.
    const std::vector<log_record> &allRecords() const
    {
        return m_all;
    }

    log_page read(log_offset from, std::size_t max) const
    {
        log_page page;
        page.first = m_first;
        page.next = next();
        page.now = m_now;
        page.oldest = m_first < next() ? m_all[m_first - 1].time : m_now;
        const auto start = std::clamp(from, m_first, next());
        const auto count = std::min<std::size_t>(max, next() - start);
        std::copy_n(m_all.begin() + static_cast<std::ptrdiff_t>(start - 1), count, std::back_inserter(page.records));
        return page;
    }

private:
    std::vector<log_record> m_all;
    log_offset m_first = 1;
    wall_time m_now {std::chrono::hours(500'000)};
};

/// Reads the log to its end. Returns the verdicts on the records evaluated.
inline std::vector<record_verdict> readAll(configuration_state &reader, const fake_log &log)
{
    std::vector<record_verdict> verdicts;
    do {
        std::ranges::move(reader.applyLog(log.read(reader.nextToRead(), 3)), std::back_inserter(verdicts));
    } while (reader.nextToRead() < log.next());
    return verdicts;
}

} // namespace sequoiawharf::testing
