#include "src/config/log_reader.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

constexpr unsigned kRecordsPerRead = 500;
constexpr std::chrono::milliseconds kRetryPause {200};

} // namespace

log_reader::log_reader(publication_log &log)
    : m_log(log)
{
}

tl::expected<void, log_access_error> log_reader::catchUp(mono_time deadline)
{
    while (true) {
        const auto atEnd = readOnce(std::chrono::milliseconds(0));
        if (atEnd && *atEnd) {
            return {};
        }
        if (!atEnd && m_log.now() + kRetryPause >= deadline) {
            return tl::unexpected(atEnd.error());
        }
        if (!atEnd) {
            m_log.pause(kRetryPause);
        }
    }
}

tl::expected<bool, log_access_error> log_reader::readOnce(std::chrono::milliseconds wait)
{
    const auto page = m_log.read(m_state.nextToRead(), kRecordsPerRead, wait);
    if (!page) {
        return tl::unexpected(page.error());
    }
    // Applies one record at a time, so that each version that came into force is kept.
    auto partial = *page;
    const auto apply = [&](const log_page &part) {
        const auto before = m_state.version();
        std::ranges::move(m_state.applyLog(part), std::back_inserter(m_verdicts));
        if (m_state.version() != before) {
            m_versions.push_back(m_state.current());
        }
    };
    partial.records.clear();
    apply(partial);
    std::ranges::for_each(page->records, [&](const log_record &record) {
        partial.records.assign(1, record);
        apply(partial);
    });
    return m_state.nextToRead() >= page->next;
}

const record_verdict *log_reader::find(const publication_id &id) const
{
    const auto position = std::ranges::find(m_verdicts, id, &record_verdict::id);
    return position == m_verdicts.end() ? nullptr : &*position;
}

} // namespace sequoiawharf
