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

/// Limits on the cost of state records, for all instances together.
struct state_record_limits {
    std::chrono::milliseconds minInterval {5000}; ///< Least time between two state records.
    std::uint64_t bytesPerSecond = 20'000; ///< Mean rate. The larger a state record is, the less often it is written.
    std::chrono::milliseconds stagger {2000}; ///< Time between the turns of two successive writers.
};

/// Returns this instance's rank in the order of writers: the number of live instances that come before it. The order depends on the offset of the
/// recovery point, so that instances take turns. Thread safe.
unsigned writerRank(const instance_id &self, const std::vector<instance_id> &live, log_offset recoveryPoint);

/// Decides when an instance writes a state record. One is due when the recovery point is in the older half of the records that the log holds, by
/// position or by age, so that the retention of the log need not be known. If two instances write one at the same time, readers ignore the second.
/// Not thread safe.
class state_record_schedule
{
public:
    explicit state_record_schedule(state_record_limits limits = {});

    /// Returns whether to write a state record now. rank: from writerRank(). page: the newest page read from the log.
    bool shouldWrite(const configuration_state &state, const log_page &page, unsigned rank, mono_time now, random_source &random);

    /// Returns whether a state record was due at the last shouldWrite(), so that the log should be read again soon.
    bool isDue() const
    {
        return m_dueSince.has_value();
    }

    /// Registers an attempt to append a state record of that size, whether or not it succeeds.
    void recordWritten(std::size_t bytes, mono_time now);

private:
    void updateRecoveryPoint(const recovery_point &recoveryPoint, mono_time now);
    std::chrono::milliseconds interval(bool urgent) const;

    state_record_limits m_limits;
    log_offset m_recoveryOffset = 0;
    std::optional<mono_time> m_recoveryPointSince; ///< When the current recovery point was first observed.
    std::optional<mono_time> m_dueSince;
    std::optional<mono_time> m_lastWrite;
    std::chrono::milliseconds m_jitter {0};
    std::size_t m_recordBytes = 0; ///< Size of the last state record written here, or of a larger one observed since.
};

} // namespace sequoiawharf
