#include "sequoiawharf/member_table.h"

#include <algorithm>
#include <ranges>

namespace sequoiawharf
{

namespace
{

member_beat beatOf(const member_row &row)
{
    return {memberKey(row.id, row.process), row.beat, row.load, row.linkPercent, row.ready, row.leaving};
}

} // namespace

member_table::member_table(instance_id self, member_timeouts timeouts)
    : m_self(std::move(self))
    , m_timeouts(timeouts)
{
}

member_update member_table::applyRow(const member_row &row, mono_time now)
{
    if (row.id == m_self) {
        return member_update::Stale;
    }
    const auto known = m_entries.find(row.id);
    if (known != m_entries.end() && row.process < known->second.row.process) {
        return member_update::Stale;
    }
    if (known != m_entries.end() && row.process == known->second.row.process) {
        auto &entry = known->second;
        const auto update = refresh(entry, beatOf(row), now);
        entry.row.version = std::max(entry.row.version, row.version);
        return update;
    }
    if (known != m_entries.end()) {
        m_idsByKey.erase(known->second.key);
    }
    const auto key = memberKey(row.id, row.process);
    m_entries.insert_or_assign(row.id, member_entry {row, key, now});
    m_idsByKey.insert_or_assign(key, row.id);
    return member_update::Joined;
}

member_update member_table::applyBeat(const member_beat &beat, mono_time now)
{
    const auto owner = m_idsByKey.find(beat.key);
    if (owner == m_idsByKey.end()) {
        return member_update::Unknown;
    }
    return refresh(m_entries.at(owner->second), beat, now);
}

member_update member_table::refresh(member_entry &entry, const member_beat &beat, mono_time now)
{
    if (beat.beat <= entry.row.beat) {
        return member_update::Stale;
    }
    const auto before = stateOf(entry, now);
    const bool startsLeaving = beat.leaving && !entry.row.leaving;
    entry.row.beat = beat.beat;
    entry.row.load = beat.load;
    entry.row.linkPercent = beat.linkPercent;
    entry.row.ready = beat.ready;
    entry.row.leaving = entry.row.leaving || beat.leaving;
    entry.lastHeartbeat = now;
    if (startsLeaving) {
        return member_update::Left;
    }
    return before == member_state::Live || before == member_state::Leaving ? member_update::Refreshed : member_update::Returned;
}

void member_table::expire(mono_time now)
{
    std::erase_if(m_entries, [&](const auto &item) {
        const bool isExpired = now - item.second.lastHeartbeat > m_timeouts.forget;
        if (isExpired) {
            m_idsByKey.erase(item.second.key);
        }
        return isExpired;
    });
}

void member_table::limitSilence(mono_time now)
{
    std::ranges::for_each(m_entries | std::views::values, [&](member_entry &entry) {
        entry.lastHeartbeat = std::max(entry.lastHeartbeat, now - m_timeouts.suspect);
    });
}

member_state member_table::stateOf(const instance_id &id, mono_time now) const
{
    const auto known = m_entries.find(id);
    return known == m_entries.end() ? member_state::Unknown : stateOf(known->second, now);
}

member_state member_table::stateOf(const member_entry &entry, mono_time now) const
{
    const auto silence = now - entry.lastHeartbeat;
    if (silence >= m_timeouts.gone) {
        return member_state::Gone;
    }
    if (entry.row.leaving) {
        return member_state::Leaving;
    }
    return silence >= m_timeouts.suspect ? member_state::Suspect : member_state::Live;
}

const member_row *member_table::find(std::uint64_t key) const
{
    const auto owner = m_idsByKey.find(key);
    return owner == m_idsByKey.end() ? nullptr : &m_entries.at(owner->second).row;
}

std::vector<const member_entry *> member_table::inState(member_state state, mono_time now) const
{
    std::vector<const member_entry *> found;
    std::ranges::for_each(m_entries | std::views::values, [&](const member_entry &entry) {
        if (stateOf(entry, now) == state) {
            found.push_back(&entry);
        }
    });
    return found;
}

} // namespace sequoiawharf
