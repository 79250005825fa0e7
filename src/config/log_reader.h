#pragma once

#include "src/config/publication_log.h"

#include <memory>
#include <vector>

namespace sequoiawharf
{

/// Reads the log for an operator's command and keeps the verdict on each record. Not thread safe.
class log_reader
{
public:
    /// Precondition: `log` outlives the object.
    explicit log_reader(publication_log &log);

    /// Reads to the end of the log, retrying failed reads until the deadline. The error is that of the last read.
    tl::expected<void, log_access_error> catchUp(mono_time deadline);

    /// Reads one page, waiting up to the given time for new records. Returns whether the end of the log was reached.
    tl::expected<bool, log_access_error> readOnce(std::chrono::milliseconds wait);

    /// Returns the state after all records read so far.
    const configuration_state &state() const
    {
        return m_state;
    }
    /// Returns the verdicts on all records evaluated so far, in the order of the log.
    const std::vector<record_verdict> &verdicts() const
    {
        return m_verdicts;
    }
    /// Returns the configurations that came into force while reading, oldest first.
    const std::vector<std::shared_ptr<const configuration>> &versions() const
    {
        return m_versions;
    }
    /// Returns the verdict on the first record of that publication, or null.
    const record_verdict *find(const publication_id &id) const;

private:
    publication_log &m_log;
    configuration_state m_state;
    std::vector<record_verdict> m_verdicts;
    std::vector<std::shared_ptr<const configuration>> m_versions;
};

} // namespace sequoiawharf
