#pragma once

#include "sequoiawharf/heartbeat.h"
#include "sequoiawharf/member.h"
#include "sequoiawharf/time.h"

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace sequoiawharf
{

/// Time without a heartbeat after which an instance changes its state.
struct member_timeouts {
    std::chrono::milliseconds suspect {3000};
    std::chrono::milliseconds gone {30'000};
    std::chrono::milliseconds forget {120'000}; ///< Its entry is kept until then, so that late rows and beats of it are recognised as stale.
};

/// An instance of the own data centre with the last row received.
struct member_entry {
    member_row row;
    std::uint64_t key = 0; ///< memberKey() of its process.
    mono_time lastHeartbeat; ///< When its heartbeat counter last grew at this instance.
};

/// Effect of a received row or beat on the table.
enum class member_update {
    Stale, ///< Nothing changed: it was not newer than the entry, or described this instance.
    Unknown, ///< A beat of a process that has no entry.
    Joined, ///< A new instance, or a new process of a known one.
    Refreshed, ///< A newer beat of an instance that was live or leaving.
    Returned, ///< A newer beat of an instance that was suspect or gone.
    Left, ///< The instance announced that it stops.
};

/// Keeps the other instances of the own data centre. Rows and beats are ordered by incarnation and heartbeat counter, not by time, so the
/// instances' clocks may differ. Owns no socket or clock. Not thread safe.
class member_table
{
public:
    /// self: this instance, of which the table keeps no entry.
    member_table(instance_id self, member_timeouts timeouts = {});

    /// Applies a row that came from the instance itself or through another one. A row with a lower incarnation than the known one is stale.
    member_update applyRow(const member_row &row, mono_time now);

    /// Applies the short form of a row.
    member_update applyBeat(const member_beat &beat, mono_time now);

    /// Removes instances without a heartbeat for member_timeouts::forget.
    void expire(mono_time now);

    /// Limits the time without a heartbeat of each instance to member_timeouts::suspect, so that none counts as gone. For use after a pause of
    /// this process, during which it received no heartbeats even from live instances.
    void limitSilence(mono_time now);

    /// Returns the state of an instance; Unknown when the table has no entry of it.
    member_state stateOf(const instance_id &id, mono_time now) const;

    /// Returns the state of an entry.
    member_state stateOf(const member_entry &entry, mono_time now) const;

    /// Returns the row of the process with the key, or null.
    const member_row *find(std::uint64_t key) const;

    /// Returns all entries, ordered by instance.
    const std::map<instance_id, member_entry> &entries() const
    {
        return m_entries;
    }

    /// Returns the entries that are in the state, ordered by instance.
    std::vector<const member_entry *> inState(member_state state, mono_time now) const;

private:
    member_update refresh(member_entry &entry, const member_beat &beat, mono_time now);

    instance_id m_self;
    member_timeouts m_timeouts;
    std::map<instance_id, member_entry> m_entries;
    std::map<std::uint64_t, instance_id> m_idsByKey;
};

} // namespace sequoiawharf
