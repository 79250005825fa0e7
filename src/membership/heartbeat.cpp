#include "sequoiawharf/heartbeat.h"

#include <algorithm>
#include <bit>
#include <numeric>
#include <xxhash.h>

namespace sequoiawharf
{

namespace
{

// Encoded sizes, each with the tag of its field.
constexpr std::size_t kFieldBytes = 4; ///< Tag and length of a nested message or string, at most.
constexpr std::size_t kFlagBytes = 2; ///< A boolean.
constexpr std::size_t kSmallBytes = 3; ///< A number of at most 14 bits.
constexpr std::size_t kKeyBytes = 9; ///< A 64-bit key.
constexpr std::size_t kCountBytes = 4; ///< A number of at most 16 bits.
constexpr std::size_t kSummaryBytes = kFieldBytes + 5 + 3 * kCountBytes + kSmallBytes;
constexpr std::size_t kShareBytes = kFieldBytes + 5 + 4;

/// Returns the encoded size of a number with its tag; each byte holds 7 bits.
std::size_t numberSize(std::uint64_t value)
{
    return 1 + (static_cast<std::size_t>(std::bit_width(value | 1U)) + 6) / 7;
}

std::size_t textBound(const std::string &text)
{
    return text.empty() ? 0 : text.size() + kFieldBytes;
}

std::size_t addressBound(const host_port &address)
{
    return address.host.empty() ? 0 : kFieldBytes + textBound(address.host) + 4;
}

std::size_t beatBound(const member_beat &beat)
{
    return kFieldBytes + kKeyBytes + numberSize(beat.beat) + 2 * kSmallBytes + 2 * kFlagBytes;
}

template<typename part> std::size_t sumOf(const std::vector<part> &parts)
{
    return std::accumulate(parts.begin(), parts.end(), std::size_t {0}, [](std::size_t sum, const part &item) {
        return sum + encodedBound(item);
    });
}

} // namespace

std::uint64_t memberKey(const instance_id &id, incarnation process)
{
    return XXH64(id.str().data(), id.str().size(), process);
}

std::uint32_t poolKey(const pool_name &name)
{
    return XXH32(name.str().data(), name.str().size(), 0);
}

std::size_t encodedBound(const member_row &row)
{
    const auto names = textBound(row.id.str()) + textBound(row.dataCentre.str()) + textBound(row.region.str());
    const auto addresses = addressBound(row.gateway) + addressBound(row.peer);
    const auto numbers = numberSize(row.process) + numberSize(row.version) + numberSize(row.beat);
    return kFieldBytes + names + addresses + numbers + 2 * kSmallBytes + 2 * kFlagBytes;
}

std::size_t encodedBound(const centre_summary &summary)
{
    const auto names = textBound(summary.dataCentre.str()) + textBound(summary.region.str());
    const auto numbers = numberSize(summary.stamp) + numberSize(summary.live) + numberSize(summary.version);
    return kFieldBytes + names + numbers + kSmallBytes + sumOf(summary.entries);
}

std::size_t encodedBound(const centre_pools &pools)
{
    return kFieldBytes + textBound(pools.dataCentre.str()) + numberSize(pools.stamp) + pools.rows.size() * kSummaryBytes;
}

std::size_t encodedBound(const leaving_notice &notice)
{
    return kFieldBytes + textBound(notice.pool.str()) + addressBound(notice.endpoint)
           + numberSize(static_cast<std::uint64_t>(std::max<std::int64_t>(notice.age.count(), 0)));
}

std::size_t encodedBound(const heartbeat_message &message)
{
    const auto beats = std::accumulate(message.beats.begin(), message.beats.end(), std::size_t {0}, [](std::size_t sum, const member_beat &beat) {
        return sum + beatBound(beat);
    });
    const auto fixed = message.wanted.size() * kKeyBytes + message.shares.size() * kShareBytes;
    const auto lists = sumOf(message.rows) + sumOf(message.centres) + sumOf(message.pools) + sumOf(message.leaving);
    return kFieldBytes * 4 + numberSize(message.receiverStamp) + encodedBound(message.sender) + beats + fixed + lists;
}

} // namespace sequoiawharf
