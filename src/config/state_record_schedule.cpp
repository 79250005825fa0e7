#include "sequoiawharf/state_record_schedule.h"

#include <algorithm>
#include <xxhash.h>

namespace sequoiawharf
{

namespace
{

using std::chrono::milliseconds;

constexpr unsigned kMaxRank = 16; // bounds the delay of the last writers
constexpr int kUrgentDivisor = 8; // a recovery point in the oldest 1/8 is urgent; the turns of writers are then 8 times shorter
constexpr milliseconds kUrgentInterval {1000};

// Returns whether the recovery point is in the oldest 1/divisor of the records that the log holds, by position or by age.
bool isInOldestPart(const recovery_point &recoveryPoint, const log_page &page, unsigned divisor)
{
    const auto heldRecords = page.next - page.first;
    if (heldRecords == 0) {
        return true;
    }
    const auto recordsBefore = recoveryPoint.offset > page.first ? recoveryPoint.offset - page.first : 0;
    const auto age = page.now - page.oldest;
    const auto timeBefore = std::max(recoveryPoint.time - page.oldest, wall_time::duration::zero());
    return recordsBefore * divisor < heldRecords || timeBefore * divisor < age;
}

} // namespace

unsigned writerRank(const instance_id &self, const std::vector<instance_id> &live, log_offset recoveryPoint)
{
    const auto scoreOf = [recoveryPoint](const instance_id &instance) {
        return XXH3_64bits_withSeed(instance.str().data(), instance.str().size(), recoveryPoint);
    };
    const auto own = scoreOf(self);
    return static_cast<unsigned>(std::ranges::count_if(live, [&](const instance_id &instance) {
        return scoreOf(instance) < own;
    }));
}

state_record_schedule::state_record_schedule(state_record_limits limits)
    : m_limits(limits)
{
}

bool state_record_schedule::shouldWrite(const configuration_state &state, const log_page &page, unsigned rank, mono_time now, random_source &random)
{
    updateRecoveryPoint(state.recoveryPoint(), now);
    const bool caughtUp = !state.hasGap() && state.asOf() + 1 >= page.next;
    if (state.version() == 0 || !caughtUp || !isInOldestPart(state.recoveryPoint(), page, 2)) {
        m_dueSince.reset();
        return false;
    }
    if (!m_dueSince) {
        m_dueSince = now;
        m_jitter = milliseconds(random.below(static_cast<std::uint32_t>(m_limits.stagger.count()) + 1));
    }
    // Records are already expiring, and that of the recovery point is among the next to expire.
    const bool urgent = page.first > 1 && isInOldestPart(state.recoveryPoint(), page, kUrgentDivisor);
    const auto delay = (std::min(rank, kMaxRank) * m_limits.stagger + m_jitter) / (urgent ? kUrgentDivisor : 1);
    const auto lastWrite = std::max(m_lastWrite.value_or(mono_time::min()), m_recoveryOffset > 1 ? *m_recoveryPointSince : mono_time::min());
    return now >= *m_dueSince + delay && (lastWrite == mono_time::min() || now >= lastWrite + interval(urgent));
}

void state_record_schedule::recordWritten(std::size_t bytes, mono_time now)
{
    m_lastWrite = now;
    m_recordBytes = bytes;
}

void state_record_schedule::updateRecoveryPoint(const recovery_point &recoveryPoint, mono_time now)
{
    if (!m_recoveryPointSince || recoveryPoint.offset != m_recoveryOffset) {
        m_recoveryOffset = recoveryPoint.offset;
        m_recordBytes = std::max(m_recordBytes, recoveryPoint.bytes);
        m_recoveryPointSince = now;
        m_dueSince.reset();
    }
}

milliseconds state_record_schedule::interval(bool urgent) const
{
    if (urgent) {
        return kUrgentInterval;
    }
    const auto byBytes = milliseconds(m_recordBytes * 1000 / std::max<std::uint64_t>(m_limits.bytesPerSecond, 1));
    return std::max(m_limits.minInterval, byBytes);
}

} // namespace sequoiawharf
