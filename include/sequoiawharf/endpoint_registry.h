#pragma once

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

/// What an endpoint last said of itself to discovery.
struct endpoint_entry {
    std::string identity; ///< Names the endpoint; unique.
    std::uint64_t incarnation = 0; ///< Grows with each start of the endpoint under one identity.
    std::uint64_t sequence = 0; ///< Grows with each report of one incarnation.
    pool_name pool;
    host_port address;
    data_centre_id dataCentre;
    std::uint32_t slots = 1;
    bool leaving = false;
    std::chrono::milliseconds warmUp {0}; ///< How much longer the endpoint is slow after its start.
};

/// One report of an endpoint, or its removal, with its place in discovery's order.
struct discovery_record {
    std::string identity;
    std::uint64_t offset = 0;
    std::optional<endpoint_entry> entry {}; ///< Nothing: the endpoint is gone.
};

/// Part of what discovery holds.
struct discovery_page {
    std::vector<discovery_record> records;
    std::uint64_t next = 0; ///< From where to read on.
    bool isSnapshot = false; ///< All entries are named: others are gone.
};

/// The endpoints that discovery tells of, as of now: which of them exist, which leave, and which of several at one address is the one that lives.
/// Reports may come late, twice or not at all, and while discovery is away nothing is forgotten. Owns no socket or clock. Not thread safe.
class endpoint_registry
{
public:
    /// returnGrace: time that entries which lapsed while discovery was away have to come back after its return.
    explicit endpoint_registry(std::chrono::milliseconds returnGrace);

    /// Takes a report; one of an earlier incarnation, or older than what is known, changes nothing. offset: its place in discovery's order.
    void report(const endpoint_entry &entry, std::uint64_t offset, mono_time now);

    /// Takes the removal of an entry.
    void remove(const std::string &identity, std::uint64_t offset, mono_time now);

    /// Takes the whole list of identities that discovery holds as of an offset: all others are removed, unless reported later than that.
    void keepOnly(const std::set<std::string> &identities, std::uint64_t asOf, mono_time now);

    /// Takes the records of a page and, when it is whole, removes all others.
    void applyPage(const discovery_page &page, mono_time now);

    /// Returns what changed since another instance had read up to the offset, or with 0 all entries. next: up to where this instance has read.
    discovery_page changesSince(std::uint64_t from, std::uint64_t next, mono_time now) const;

    /// Notes that discovery cannot be read: entries that lapse until it has been back for the grace are kept that long.
    void discoveryLost(mono_time now);

    /// Notes that discovery answers again.
    void discoveryAnswered(mono_time now);

    /// Returns the endpoints of each pool, ordered by address; those that were removed are left out.
    std::map<pool_name, std::vector<endpoint>> endpoints(mono_time now);

    /// Tells whether what endpoints() returns may differ from its last result.
    bool hasChanged(mono_time now) const;

    std::size_t size() const
    {
        return m_entries.size();
    }

private:
    struct known_endpoint {
        endpoint_entry entry;
        std::uint64_t offset = 0;
        std::uint64_t changedAt = 0; ///< Up to where discovery had been read when the entry last changed.
        mono_time warmupEnd {};
        std::optional<mono_time> removedAt; ///< Removed, and dropped when the grace of an outage is over.
    };

    bool inGrace(mono_time now) const;
    void dropRemoved(mono_time now);

    std::chrono::milliseconds m_returnGrace;
    std::map<std::string, known_endpoint> m_entries;
    /// An endpoint that was removed.
    struct removed_endpoint {
        std::uint64_t incarnation = 0;
        std::uint64_t offset = 0;
        std::uint64_t droppedAt = 0; ///< Up to where discovery had been read then.
    };

    std::map<std::string, removed_endpoint> m_removed; ///< So that late reports bring nothing back, and others learn of it.
    std::uint64_t m_readTo = 0; ///< Highest offset that was taken in, and one.
    bool m_isLost = false;
    mono_time m_returnedAt {}; ///< End of the last outage; the epoch: none.
    bool m_changed = true;
};

} // namespace sequoiawharf
