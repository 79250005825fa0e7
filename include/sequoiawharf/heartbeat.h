#pragma once

#include "sequoiawharf/ids.h"
#include "sequoiawharf/member.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace sequoiawharf
{

/// Short form of a member_row: the values that change with each heartbeat. The receiver finds the row by the key and asks for it if it is
/// missing.
struct member_beat {
    std::uint64_t key = 0; ///< memberKey() of the process.
    std::uint64_t beat = 0; ///< Heartbeat counter of the process.
    std::uint8_t load = 0; ///< Processor use in percent.
    std::uint8_t linkPercent = 0; ///< Use of the link between regions by its calls, in percent.
    bool ready = false;
    bool leaving = false;

    friend bool operator==(const member_beat &, const member_beat &) = default;
};

/// Summary of one data centre for the others.
struct centre_summary {
    data_centre_id dataCentre;
    region_id region;
    std::uint64_t stamp = 0; ///< Grows with each summary of the data centre; one with a stamp that is not newer is ignored.
    std::uint32_t live = 0; ///< Instances that are live and not leaving.
    std::uint8_t linkPercent = 0; ///< Use of the link between regions by calls of its instances, in percent.
    config_version version = 0; ///< Newest configuration version of its live instances.
    std::vector<member_row> entries; ///< A few instances that are live, ready and not leaving; without gateway addresses for other regions.

    friend bool operator==(const centre_summary &, const centre_summary &) = default;
};

/// Endpoints and spare capacity of one pool in one data centre.
struct pool_summary {
    std::uint32_t pool = 0; ///< poolKey() of its name.
    std::uint16_t fitEndpoints = 0;
    std::uint16_t endpoints = 0;
    std::uint16_t spareCalls = 0; ///< Calls that the pool could take in addition.
    std::uint8_t missing = 0; ///< Instances whose calls are not included in the figures.

    friend bool operator==(const pool_summary &, const pool_summary &) = default;
};

/// Summaries of pools in one data centre, all with the same stamp.
struct centre_pools {
    data_centre_id dataCentre;
    std::uint64_t stamp = 0;
    std::vector<pool_summary> rows;

    friend bool operator==(const centre_pools &, const centre_pools &) = default;
};

/// Calls of one instance at a pool in its own data centre. The data centre's summary adds them up.
struct pool_share {
    std::uint32_t pool = 0; ///< poolKey() of its name.
    std::uint16_t inFlight = 0; ///< Calls of the instance in flight at the pool's endpoints in this data centre.

    friend bool operator==(const pool_share &, const pool_share &) = default;
};

/// Notice that an endpoint takes no new calls.
struct leaving_notice {
    pool_name pool;
    host_port endpoint;
    std::chrono::milliseconds age {0}; ///< Time since the instance that announced it learned of it, without network delays.

    friend bool operator==(const leaving_notice &, const leaving_notice &) = default;
};

/// Gossip message between two instances. Every list may be empty, and the sender bounds its length.
struct heartbeat_message {
    member_row sender;
    std::uint64_t receiverStamp = 0; ///< Newest stamp that the sender knows of the receiver's data centre; 0 within one data centre.
    std::vector<member_beat> beats;
    std::vector<std::uint64_t> wanted; ///< Keys of beats whose rows the sender does not have.
    std::vector<member_row> rows; ///< Rows that the receiver asked for.
    std::vector<centre_summary> centres;
    std::vector<centre_pools> pools;
    std::vector<pool_share> shares; ///< Calls of the sender by pool; within one data centre only.
    std::vector<leaving_notice> leaving;

    friend bool operator==(const heartbeat_message &, const heartbeat_message &) = default;
};

/// Returns the key that identifies a pool in summaries. Thread safe.
std::uint32_t poolKey(const pool_name &name);

/// Returns an upper bound of the message's encoded size in bytes. Thread safe.
std::size_t encodedBound(const heartbeat_message &message);

/// Returns an upper bound of the encoded size of a part of a message in bytes. Thread safe.
std::size_t encodedBound(const member_row &row);
std::size_t encodedBound(const centre_summary &summary);
std::size_t encodedBound(const centre_pools &pools);
std::size_t encodedBound(const leaving_notice &notice);

} // namespace sequoiawharf
