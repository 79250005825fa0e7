#include "sequoiawharf/endpoint_registry.h"

#include <algorithm>
#include <ranges>
#include <tuple>
#include <utility>

namespace sequoiawharf
{

namespace
{

// Reports carry the remaining warm-up time. A computed end that differs from the known one by no more than this counts as unchanged.
constexpr std::chrono::milliseconds kWarmUpPrecision {500};

// Returns whether the two entries are equal in all fields that affect routing.
bool routesIdentically(const endpoint_entry &a, const endpoint_entry &b)
{
    const auto key = [](const endpoint_entry &entry) {
        return std::tie(entry.incarnation, entry.pool, entry.address, entry.dataCentre, entry.slots, entry.leaving);
    };
    return key(a) == key(b);
}

log_position after(log_position position)
{
    return {position.era, position.offset + 1};
}

} // namespace

endpoint_registry::endpoint_registry(std::chrono::milliseconds returnGrace, std::chrono::milliseconds maxSilence)
    : m_returnGrace(returnGrace)
    , m_maxSilence(maxSilence)
{
}

void endpoint_registry::setPools(std::set<pool_name> pools)
{
    m_changed = m_changed || pools != m_pools;
    m_pools = std::move(pools);
}

void endpoint_registry::report(const endpoint_entry &entry, log_position position, mono_time now)
{
    m_next = std::max(m_next, after(position));
    const auto gone = m_removed.find(entry.identity);
    if (gone != m_removed.end()) {
        const auto &removed = gone->second;
        const bool mayPrecedeRemoval = entry.incarnation == removed.incarnation && isOfCopy(position, removed.position);
        if (entry.incarnation < removed.incarnation || position < removed.position || mayPrecedeRemoval) {
            return;
        }
    }
    auto &known = m_entries[entry.identity];
    const bool isNew = known.entry.identity.empty();
    if (!isNew && entry.incarnation <= known.entry.incarnation) {
        const bool isOlderOfCopy = isOfCopy(position, known.position) && (known.removedAt || entry.sequence < known.entry.sequence);
        if (entry.incarnation < known.entry.incarnation || position < known.position || isOlderOfCopy) {
            return;
        }
    }
    const bool isNewIncarnation = isNew || entry.incarnation != known.entry.incarnation;
    const auto warmupEnd = entry.warmUp.count() > 0 ? now + entry.warmUp : mono_time {};
    if (isNewIncarnation || warmupEnd + kWarmUpPrecision < known.warmupEnd || warmupEnd > known.warmupEnd + kWarmUpPrecision) {
        m_changed = m_changed || known.warmupEnd != warmupEnd;
        known.warmupEnd = warmupEnd;
    }
    const bool isChanged = isNewIncarnation || known.removedAt.has_value() || !routesIdentically(known.entry, entry);
    if (isChanged) {
        known.changedAt = m_next;
    }
    m_changed = m_changed || isChanged;
    known.entry = entry;
    known.position = std::max(known.position, position);
    known.removedAt.reset();
}

void endpoint_registry::remove(const std::string &identity, log_position position, mono_time now)
{
    m_next = std::max(m_next, after(position));
    const auto found = m_entries.find(identity);
    if (found == m_entries.end()) {
        // Another instance may have taken the endpoint for present since the first removal.
        if (const auto gone = m_removed.find(identity); gone != m_removed.end() && gone->second.position < position) {
            gone->second.position = position;
            gone->second.changedAt = m_next;
        }
        return;
    }
    if (found->second.position > position || found->second.removedAt) {
        return;
    }
    found->second.position = position;
    found->second.changedAt = m_next;
    found->second.removedAt = now;
    m_changed = true;
}

void endpoint_registry::keepOnly(const std::set<std::string> &identities, log_position asOf, mono_time now)
{
    std::vector<std::string> gone;
    std::ranges::for_each(m_entries, [&](const auto &item) {
        if (!identities.contains(item.first) && item.second.position <= asOf) {
            gone.push_back(item.first);
        }
    });
    std::ranges::for_each(gone, [&](const std::string &identity) {
        remove(identity, asOf, now);
    });
}

void endpoint_registry::applyPage(const discovery_page &page, mono_time now)
{
    if (page.next.era < m_next.era) {
        return;
    }
    enterEra(page, now);
    std::set<std::string> named;
    std::ranges::for_each(page.records, [&](const discovery_record &record) {
        if (record.entry) {
            named.insert(record.identity);
            report(*record.entry, record.position, now);
        } else {
            remove(record.identity, record.position, now);
        }
    });
    if (page.isSnapshot) {
        keepOnly(named, page.next, now);
    }
    m_next = std::max(m_next, page.next);
}

void endpoint_registry::enterEra(const discovery_page &page, mono_time now)
{
    const bool isFirst = m_next == log_position {};
    const bool isRestored = !isFirst && page.next.era > m_next.era;
    // An instance that starts cannot tell whether discovery was away just before.
    if (isFirst || isRestored) {
        m_returnedAt = now;
    }
    if (isRestored) {
        m_eraStart = page.next;
    }
}

// Returns whether a record may come from the copy from which discovery was restored after the known record had been read. Such a record may be older than the
// known one.
bool endpoint_registry::isOfCopy(log_position position, log_position known) const
{
    return known.era < position.era && position < m_eraStart;
}

discovery_page endpoint_registry::changesSince(log_position from, log_position next, mono_time now) const
{
    discovery_page page {.records = {}, .next = next, .isSnapshot = from == log_position {}};
    std::ranges::for_each(m_entries, [&](const auto &item) {
        const auto &known = item.second;
        if (known.changedAt < from) {
            return;
        }
        // An instance that knows no endpoints yet must know the removed ones to keep them for its grace.
        if (!known.removedAt || page.isSnapshot) {
            auto entry = known.entry;
            entry.warmUp = std::max(std::chrono::milliseconds(0), std::chrono::duration_cast<std::chrono::milliseconds>(known.warmupEnd - now));
            page.records.push_back({item.first, known.position, std::move(entry)});
        }
        if (known.removedAt) {
            page.records.push_back({item.first, known.position, std::nullopt});
        }
    });
    if (!page.isSnapshot) {
        std::ranges::for_each(m_removed, [&](const auto &item) {
            if (item.second.changedAt >= from && !m_entries.contains(item.first)) {
                page.records.push_back({item.first, item.second.position, std::nullopt});
            }
        });
    }
    return page;
}

void endpoint_registry::discoveryLost(mono_time /*now*/)
{
    m_isLost = true;
}

void endpoint_registry::discoveryAnswered(mono_time asOf)
{
    if (asOf <= m_answeredAt) {
        return;
    }
    if (std::exchange(m_isLost, false) && asOf - m_answeredAt > m_maxSilence) {
        m_returnedAt = asOf;
    }
    m_answeredAt = asOf;
}

bool endpoint_registry::inGrace(mono_time now) const
{
    return m_isLost || (m_returnedAt != mono_time {} && now - m_returnedAt < m_returnGrace);
}

void endpoint_registry::dropRemoved(mono_time now)
{
    if (inGrace(now)) {
        return;
    }
    for (auto item = m_entries.begin(); item != m_entries.end();) {
        if (!item->second.removedAt) {
            ++item;
            continue;
        }
        auto &removed = m_removed[item->first];
        removed.incarnation = std::max(removed.incarnation, item->second.entry.incarnation);
        removed.position = std::max(removed.position, item->second.position);
        removed.changedAt = std::max(removed.changedAt, item->second.changedAt);
        item = m_entries.erase(item);
    }
}

bool endpoint_registry::hasChanged(mono_time now) const
{
    return m_changed || (!inGrace(now) && std::ranges::any_of(m_entries, [](const auto &item) {
               return item.second.removedAt.has_value();
           }));
}

std::map<pool_name, std::vector<endpoint>> endpoint_registry::endpoints(mono_time now)
{
    dropRemoved(now);
    m_changed = false;
    // An address that was reassigned belongs to the entry that is not removed, with the highest incarnation, then the latest position. An entry of a pool
    // that is not configured may be of another writer, which copied the address of an endpoint.
    std::map<host_port, const known_endpoint *> owners;
    std::ranges::for_each(m_entries | std::views::values, [&](const known_endpoint &known) {
        auto &owner = owners[known.entry.address];
        const auto precedence = [this](const known_endpoint &one) {
            return std::tuple(m_pools.contains(one.entry.pool), !one.removedAt.has_value(), one.entry.incarnation, one.position);
        };
        if (owner == nullptr || precedence(*owner) < precedence(known)) {
            owner = &known;
        }
    });
    std::map<pool_name, std::vector<endpoint>> result;
    std::ranges::for_each(owners, [&](const auto &item) {
        const auto &[address, known] = item;
        result[known->entry.pool].push_back({.address = address,
                                             .dataCentre = known->entry.dataCentre,
                                             .leaving = known->entry.leaving,
                                             .identity = known->entry.identity,
                                             .incarnation = known->entry.incarnation,
                                             .warmupEnd = known->warmupEnd,
                                             .slots = known->entry.slots});
    });
    return result;
}

} // namespace sequoiawharf
