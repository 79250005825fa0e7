#pragma once

#include "sequoiawharf/centre_table.h"
#include "sequoiawharf/configuration.h"
#include "sequoiawharf/heartbeat.h"
#include "sequoiawharf/member.h"
#include "sequoiawharf/placement_limits.h"
#include "sequoiawharf/random_source.h"
#include "sequoiawharf/time.h"

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sequoiawharf
{

/// Snapshot of the instances in other regions that may take calls of each pool. Immutable; built on the control thread and read on gateway
/// threads.
class far_capacity
{
public:
    /// A data centre that serves a pool, with its weight in the random choice.
    struct weighted_centre {
        std::size_t centre = 0; ///< Index into the reachable data centres.
        unsigned weight = 1; ///< Grows with the spare capacity.
    };

    /// A reachable data centre of another region.
    struct reachable_centre {
        region_id region;
        std::vector<member_row> entries; ///< Not empty.
        centre_mask centre = kAllCentres; ///< The bit of the data centre.
    };

    far_capacity() = default;
    far_capacity(std::vector<reachable_centre> centres, std::unordered_map<std::uint32_t, std::vector<weighted_centre>> centresByPool);

    /// Returns whether an instance of another region in one of the allowed data centres can take a call of the pool. Thread safe.
    bool available(const pool_name &pool, centre_mask allowed = kAllCentres) const;

    /// Returns a random instance of an allowed data centre chosen by weight, or null when no other region can take a call of the pool. Thread safe.
    const member_row *choose(const pool_name &pool, random_source &random, centre_mask allowed = kAllCentres) const;

private:
    unsigned weightFor(const weighted_centre &item, centre_mask allowed) const;

    std::vector<reachable_centre> m_centres;
    std::unordered_map<std::uint32_t, std::vector<weighted_centre>> m_centresByPool;
};

/// Keeps the summaries of pools in other data centres. A pool without a summary is assumed to have ample capacity in each data centre for which
/// the pool table lists endpoints. Not thread safe.
class far_pools
{
public:
    /// Stores the summaries of one data centre. A summary whose stamp is not newer than the stored one is ignored.
    void take(const centre_pools &rows, mono_time now);

    /// Returns the data centres outside the region own that have a fresh summary and spare capacity, by pool. limits numbers
    /// the data centres; null: all count as allowed.
    std::shared_ptr<const far_capacity>
    capacity(const configuration &config, const centre_table &centres, const region_id &own, mono_time now, const placement_limits *limits = nullptr);

private:
    struct row {
        pool_summary summary;
        std::uint64_t stamp = 0;
        mono_time receivedAt;
    };

    /// The data centres with endpoints of a pool that are not leaving.
    struct served_pool {
        std::uint32_t key = 0;
        std::vector<data_centre_id> centres;
    };

    void updateServedPools(const configuration &config);
    unsigned weightAt(const data_centre_id &centre, std::uint32_t pool, mono_time now) const;

    std::map<data_centre_id, std::unordered_map<std::uint32_t, row>> m_rows;
    std::vector<served_pool> m_served; ///< Pools of configuration m_version.
    std::optional<config_version> m_version;
};

} // namespace sequoiawharf
