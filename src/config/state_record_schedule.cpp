#include "sequoiawharf/state_record_schedule.h"

#include <algorithm>
#include <xxhash.h>

namespace sequoiawharf
{

namespace
{

using std::chrono::milliseconds;

constexpr unsigned kMaxTurns = 16;
constexpr int kUrgentSpeedUp = 8;
constexpr milliseconds kUrgentInterval {1000};

// Tells whether the anchor stands in the oldest part of what the log holds: the first 1/divisor, by position or by age.
bool isInOldestPart(const recovery_point &recoveryPoint, const log_page &page, unsigned divisor)
{
    const auto held = page.next - page.first;
    if (held == 0) {
        return true;
    }
    const auto before = recoveryPoint.offset > page.first ? recoveryPoint.offset - page.first : 0;
    const auto age = page.now - page.oldest;
    const auto timeBefore = std::max(recoveryPoint.time - page.oldest, wall_time::duration::zero());
    return before * divisor < held || timeBefore * divisor < age;
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
    noteAnchor(state.recoveryPoint(), now);
    const bool caughtUp = !state.hasGap() && state.asOf() + 1 >= page.next;
    if (state.version() == 0 || !caughtUp || !isInOldestPart(state.recoveryPoint(), page, 2)) {
        m_dueSince.reset();
        return false;
    }
    if (!m_dueSince) {
        m_dueSince = now;
        m_jitter = milliseconds(random.below(static_cast<std::uint32_t>(m_limits.stagger.count()) + 1));
    }
    // Records are already expiring, and the anchor is among the next to go.
    const bool urgent = page.first > 1 && isInOldestPart(state.recoveryPoint(), page, kUrgentSpeedUp);
    const auto turn = (std::min(rank, kMaxTurns) * m_limits.stagger + m_jitter) / (urgent ? kUrgentSpeedUp : 1);
    const auto lastWrite = std::max(m_lastWrite.value_or(mono_time::min()), m_anchor > 1 ? *m_anchorSeen : mono_time::min());
    return now >= *m_dueSince + turn && (lastWrite == mono_time::min() || now >= lastWrite + interval(urgent));
}

void state_record_schedule::recordWritten(std::size_t bytes, mono_time now)
{
    m_lastWrite = now;
    m_bytes = bytes;
}

void state_record_schedule::noteAnchor(const recovery_point &recoveryPoint, mono_time now)
{
    if (!m_anchorSeen || recoveryPoint.offset != m_anchor) {
        m_anchor = recoveryPoint.offset;
        m_bytes = std::max(m_bytes, recoveryPoint.bytes);
        m_anchorSeen = now;
        m_dueSince.reset();
    }
}

milliseconds state_record_schedule::interval(bool urgent) const
{
    if (urgent) {
        return kUrgentInterval;
    }
    const auto byBytes = milliseconds(m_bytes * 1000 / std::max<std::uint64_t>(m_limits.bytesPerSecond, 1));
    return std::max(m_limits.minInterval, byBytes);
}

} // namespace sequoiawharf
