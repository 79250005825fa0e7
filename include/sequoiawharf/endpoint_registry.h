#pragma once

#include "sequoiawharf/ids.h"
#include "sequoiawharf/pool_table.h"
#include "sequoiawharf/time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sequoiawharf
{

/// The newest report of an endpoint to discovery.
struct endpoint_entry {
    std::string identity; ///< Unique name of the endpoint.
    std::uint64_t incarnation = 0; ///< Grows with each start of the endpoint under one identity.
    std::uint64_t sequence = 0; ///< Grows with each report of one incarnation.
    pool_name pool;
    host_port address;
    data_centre_id dataCentre;
    std::uint32_t slots = 1;
    bool leaving = false; ///< The endpoint takes no new calls.
    std::chrono::milliseconds warmUp {0}; ///< Remaining time for which the endpoint is slow after its start.
};

/// A report of an endpoint, or its removal, with its position in discovery's log.
struct discovery_record {
    std::string identity;
    log_position position {};
    std::optional<endpoint_entry> entry {}; ///< Empty: the endpoint was removed.
};

/// Records read from discovery, either all current ones or those from a position on.
struct discovery_page {
    std::vector<discovery_record> records;
    log_position next {}; ///< Where to read next. A later era than that of the page before: discovery was restored from an earlier copy.
    bool isSnapshot = false; ///< The records are the complete list: endpoints that are not named were removed.
};

/// Keeps the endpoints that discovery reports: which of them exist, which are leaving, and which of several at one address is the current one.
/// Reports may arrive late, twice or not at all. No endpoint is dropped while discovery is unavailable. After discovery was restored from an earlier copy,
/// its records are news only as far as they were written again or are newer than what is known. Owns no socket or clock. Not thread safe.
class endpoint_registry
{
public:
    /// returnGrace: time after the end of a discovery outage, or after a restore, during which removed entries are kept, so that endpoints whose entries
    /// expired or were lost can report again. maxSilence: a failed read counts as an outage when no answer of discovery is known for longer than this;
    /// otherwise only this instance's path to discovery was cut.
    explicit endpoint_registry(std::chrono::milliseconds returnGrace, std::chrono::milliseconds maxSilence = std::chrono::milliseconds(0));

    /// Sets the pools that the configuration names; none are named before the first call. An entry of any other pool loses its address to an entry of one of
    /// these, whatever it states of itself.
    void setPools(std::set<pool_name> pools);

    /// Applies a report. A report of an earlier incarnation, or at an earlier position than the known report of the same incarnation, changes nothing.
    void report(const endpoint_entry &entry, log_position position, mono_time now);

    /// Removes an entry, unless it was reported at a later position.
    void remove(const std::string &identity, log_position position, mono_time now);

    /// Removes all entries but the named ones. identities: the complete list in discovery as of the position asOf. Entries reported at a later position are
    /// kept.
    void keepOnly(const std::set<std::string> &identities, log_position asOf, mono_time now);

    /// Applies the records of a page in order and, when the page is a complete list, removes all other entries. The return grace also follows the first page. A
    /// page of an earlier era than a known one is ignored.
    void applyPage(const discovery_page &page, mono_time now);

    /// Returns the records that changed since the position from, for another instance; with the first position all entries. The removal of an entry that
    /// this instance keeps for its grace is among them, since the other instance decides by its own grace. next: position up to which this instance
    /// has read discovery's records.
    discovery_page changesSince(log_position from, log_position next, mono_time now) const;

    /// Returns the era of discovery's log as of the newest page; 0 before the first one.
    std::uint64_t era() const
    {
        return m_next.era;
    }

    /// Records that this instance cannot read discovery. Removed entries are kept until discovery is known to have answered, and for the return grace
    /// if it was away.
    void discoveryLost(mono_time now);

    /// Records that discovery answered this instance or another one at a time. An answer that is not newer than the known ones changes nothing.
    void discoveryAnswered(mono_time asOf);

    /// Returns the endpoints of each pool, ordered by address, without removed ones whose grace is over. Resets hasChanged().
    std::map<pool_name, std::vector<endpoint>> endpoints(mono_time now);

    /// Returns whether the next result of endpoints() may differ from the previous one.
    bool hasChanged(mono_time now) const;

    /// Returns the number of entries, including removed ones in the grace.
    std::size_t size() const
    {
        return m_entries.size();
    }

private:
    struct known_endpoint {
        endpoint_entry entry;
        log_position position;
        log_position changedAt; ///< Position up to which discovery had been read when the entry last changed.
        mono_time warmupEnd {}; ///< End of the warm-up.
        std::optional<mono_time> removedAt; ///< Time of removal. The entry is dropped once the grace of an outage is over.
    };

    void enterEra(const discovery_page &page, mono_time now);
    bool isOfCopy(log_position position, log_position known) const;
    bool inGrace(mono_time now) const;
    void dropRemoved(mono_time now);

    std::chrono::milliseconds m_returnGrace;
    std::chrono::milliseconds m_maxSilence;
    std::set<pool_name> m_pools;
    std::map<std::string, known_endpoint> m_entries;

    /// A dropped endpoint.
    struct removed_endpoint {
        std::uint64_t incarnation = 0;
        log_position position;
        log_position changedAt; ///< Position up to which discovery had been read when the endpoint was removed.
    };

    std::map<std::string, removed_endpoint> m_removed; ///< Keeps late reports from restoring an endpoint, and passes removals on to other instances.
    log_position m_next; ///< Position after the latest one that was applied.
    log_position
        m_eraStart; ///< End of the log in the first page after a restore: earlier records of its era may be of the copy. The first position: no restore.
    bool m_isLost = false;
    mono_time m_answeredAt {}; ///< Time of discovery's newest known answer; the epoch if there was none.
    mono_time m_returnedAt {}; ///< End of the last outage; the epoch if there was none.
    bool m_changed = true;
};

} // namespace sequoiawharf
