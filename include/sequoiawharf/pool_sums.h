#pragma once

#include "sequoiawharf/heartbeat.h"
#include "sequoiawharf/time.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace sequoiawharf
{

/// Figures of one pool's endpoints in the own data centre, as this instance sees them.
struct pool_totals {
    pool_name pool;
    unsigned endpoints = 0;
    unsigned fitEndpoints = 0; ///< Endpoints that may get calls.
    unsigned slots = 4; ///< Calls that one endpoint handles at a time.
    unsigned inFlight = 0; ///< Calls of this instance in flight.
};

/// Adds up the figures of the instances of a data centre for its pools. Pools with ample spare capacity are left out of the summaries, because
/// readers assume that of a pool without a summary. Not thread safe.
class pool_sums
{
public:
    /// Sets this instance's figures of all pools that have endpoints in the data centre.
    void setOwn(std::vector<pool_totals> facts);

    /// Returns this instance's calls in flight for the other members: pools with at least one, those with the most first.
    std::vector<pool_share> ownShares() const;

    /// Stores the calls in flight of another member. They count for 5 seconds.
    void recordShares(const instance_id &from, const std::vector<pool_share> &shares, mono_time now);

    /// Returns a summary of each pool with little spare capacity or many unfit endpoints. others: number of live members besides this one.
    std::vector<pool_summary> summaries(std::size_t others, mono_time now);

private:
    struct member_shares {
        std::unordered_map<std::uint32_t, std::uint16_t> inFlight;
        mono_time receivedAt;
    };

    std::vector<pool_totals> m_own;
    std::map<instance_id, member_shares> m_members;
};

} // namespace sequoiawharf
