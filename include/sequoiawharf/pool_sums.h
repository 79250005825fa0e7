#pragma once

#include "sequoiawharf/heartbeat.h"
#include "sequoiawharf/time.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace sequoiawharf
{

/// What this instance sees of one pool's endpoints in its own data centre.
struct pool_facts {
    pool_name pool;
    unsigned endpoints = 0;
    unsigned fitEndpoints = 0;
    unsigned slots = 4; ///< Of one endpoint.
    unsigned inFlight = 0; ///< Own calls.
};

/// Sums what the instances of a data centre see of its pools. Pools that have plenty of room are left out: that is what a reader assumes.
/// Not thread safe.
class pool_sums
{
public:
    /// Takes the own figures of all pools that have endpoints in the data centre.
    void setOwn(std::vector<pool_facts> facts);

    /// Returns the own figures that other members need.
    std::vector<pool_share> ownShares() const;

    /// Takes the figures of a member; they count for a few seconds.
    void recordShares(const instance_id &from, const std::vector<pool_share> &shares, mono_time now);

    /// Returns the pools with little room, by key. others: live members besides this one.
    std::vector<pool_summary> summaries(std::size_t others, mono_time now);

private:
    struct member_shares {
        std::unordered_map<std::uint32_t, std::uint16_t> inFlight;
        mono_time heard;
    };

    std::vector<pool_facts> m_own;
    std::map<instance_id, member_shares> m_members;
};

} // namespace sequoiawharf
