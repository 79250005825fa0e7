#pragma once

#include "sequoiawharf/call_ending.h"
#include "sequoiawharf/route_table.h"
#include "src/shell/metrics/added_time.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace sequoiawharf
{

inline constexpr std::size_t kEndingCount = static_cast<std::size_t>(call_ending::Unknown) + 1;
inline constexpr std::size_t kReasonCount = kCallReasonCount;

/// Directions of the bytes of calls through an instance.
enum class byte_direction { FromCallers, ToCallers, FromTargets, ToTargets };

inline constexpr std::size_t kByteDirectionCount = 4;

/// Counters of one gateway thread. The owning thread writes; any thread reads the atomics.
struct alignas(64) thread_metrics {
    std::array<std::atomic<std::uint64_t>, kEndingCount> endings {};
    std::array<std::atomic<std::uint64_t>, kReasonCount> reasons {};
    std::array<std::atomic<std::uint64_t>, kByteDirectionCount> bytes {};
    std::atomic<std::uint64_t> attempts {0};
    std::atomic<std::uint64_t> retries {0};
    std::atomic<std::uint64_t> relays {0};
    std::atomic<std::uint64_t> connectionsOpened {0};
    std::atomic<std::uint64_t> connectionsClosed {0};
    std::atomic<std::uint64_t> rests {0}; ///< Answers by which an endpoint asked for a rest.
    std::atomic<std::uint64_t> unreadableRests {0}; ///< Answers that asked for a rest without a readable time.
    std::atomic<std::uint64_t> bodiesEnded {0}; ///< Unfinished bodies that were ended to free memory.
    std::atomic<std::int64_t> callMemoryBytes {0}; ///< Held by the calls of all threads; set by the first thread only.
    std::atomic<std::int64_t> callsInFlight {0};
    std::atomic<std::int64_t> callerConnections {0};
    std::array<added_time, kRouteClassCount> addedTime;

    /// Counts a call that ended. Runs on the owning thread.
    void countEnding(call_ending ending, call_reason reason);

    /// Counts transferred bytes. Runs on the owning thread.
    void countBytes(byte_direction direction, std::uint64_t count);
};

/// The metrics of one instance's gateway, with separate counters for each thread, so that threads do not contend for them.
class gateway_metrics
{
public:
    /// Creates the counters. threads: number of gateway threads.
    explicit gateway_metrics(unsigned threads);

    /// Returns the counters of one thread. Precondition: index is below the number of threads.
    thread_metrics &forThread(unsigned index)
    {
        return *m_threads[index];
    }

    /// Returns all metrics, summed over the threads, in Prometheus' text format. The added times are per thread. Thread safe.
    std::string text() const;

private:
    std::vector<std::unique_ptr<thread_metrics>> m_threads;
};

} // namespace sequoiawharf
