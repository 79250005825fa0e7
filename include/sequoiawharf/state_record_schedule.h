#pragma once

#include "sequoiawharf/configuration_state.h"
#include "sequoiawharf/ids.h"
#include "sequoiawharf/random_source.h"
#include "sequoiawharf/time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace sequoiawharf
{

/// Bounds on what state records may cost all instances together.
struct state_record_limits {
    std::chrono::milliseconds minInterval {5000}; ///< Between two state records.
    std::uint64_t bytesPerSecond = 20'000; ///< Mean rate; a large state is written less often.
    std::chrono::milliseconds stagger {2000}; ///< Between the turns of two writers.
};

/// Returns how many live instances come before this one in the order of writers. The order changes with the anchor, so that the work goes
/// round. Thread safe.
unsigned writerRank(const instance_id &self, const std::vector<instance_id> &live, log_offset recoveryPoint);

/// Decides when an instance writes a state record again. One is due when the anchor stands in the older half of what the log holds, by position or
/// by age; so retention need not be known. Twice does no harm. Not thread safe.
class state_record_schedule
{
public:
    explicit state_record_schedule(state_record_limits limits = {});

    /// Tells whether to write now. rank: from writerRank(). page: the newest answer of the log.
    bool shouldWrite(const configuration_state &state, const log_page &page, unsigned rank, mono_time now, random_source &random);

    /// Tells whether a state record was due at the last look, so that the log should be looked at again soon.
    bool isDue() const
    {
        return m_dueSince.has_value();
    }

    /// Notes an append, whatever became of it.
    void recordWritten(std::size_t bytes, mono_time now);

private:
    void noteAnchor(const recovery_point &recoveryPoint, mono_time now);
    std::chrono::milliseconds interval(bool urgent) const;

    state_record_limits m_limits;
    log_offset m_anchor = 0;
    std::optional<mono_time> m_anchorSeen; ///< When the newest anchor was first seen.
    std::optional<mono_time> m_dueSince;
    std::optional<mono_time> m_lastWrite;
    std::chrono::milliseconds m_jitter {0};
    std::size_t m_bytes = 0; ///< Size of the newest state record seen or written.
};

} // namespace sequoiawharf
