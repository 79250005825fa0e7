#pragma once

#include "sequoiawharf/random_source.h"
#include "sequoiawharf/time.h"
#include "tools/target/run_ledger.h"
#include "tools/target/target_options.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>
#include <memory>
#include <string>
#include <string_view>

namespace sequoiawharf::stand_in
{

/// Faults and modes of one endpoint, switched at run time.
struct endpoint_switches {
    enum class lie_kind { None, Idle, Sick };

    bool leaving = false;
    bool shed = false;
    bool fail = false;
    bool truncate = false;
    lie_kind lie = lie_kind::None;
    double slowFactor = 1.0;
    double moveFactor = 1.0;
    std::chrono::milliseconds coldFor {0};
    mono_time coldSince;
    mono_time leavingSince;
};

/// Counters of one endpoint since its start.
struct endpoint_counts {
    std::uint64_t accepted = 0;
    std::uint64_t refusedConnections = 0;
    std::uint64_t runs = 0;
    std::uint64_t lateRuns = 0; ///< Runs that began 3 s or more after the endpoint started leaving.
    std::uint64_t shed = 0;
    std::uint64_t failed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t expired = 0;
    std::uint64_t bytesIn = 0;
};

/// Simulates one endpoint with slots, a bounded queue and service times. Not thread safe.
class target_endpoint
{
public:
    target_endpoint(host_port address, const target_options &options, run_ledger &ledger, std::uint64_t seed);

    /// Waits for a slot until the deadline. Returns false if the queue is full or the deadline passes; otherwise the caller must call release().
    boost::asio::awaitable<bool> acquireSlot(mono_time deadline);

    /// Releases the slot, which goes to the longest waiting call. Requires an earlier acquireSlot() that returned true.
    void release();

    /// Counts a run of the request.
    void countRun(std::string_view requestId, bool repeatable, mono_time now);

    /// Returns a random service time for a call on the path.
    std::chrono::nanoseconds serviceTime(std::string_view path, mono_time now);

    /// Returns the load that the endpoint reports: calls in progress and queued, divided by the slots, or a false value while the endpoint lies.
    double claimedLoad() const;

    /// Returns whether the health page reports the endpoint as healthy.
    bool claimedHealthy() const;

    /// Returns the load page.
    std::string loadPage() const;

    /// Returns the counters as one JSON object.
    std::string countsPage() const;

    const host_port &address() const
    {
        return m_address;
    }

    endpoint_switches switches;
    endpoint_counts counts;
    std::uint32_t connections = 0;
    std::uint64_t connectionSerial = 0; ///< Number of the newest connection.
    std::uint64_t silentUpTo = 0; ///< Connections up to this number get no answers.

private:
    struct waiter {
        explicit waiter(const boost::asio::any_io_executor &executor)
            : timer(executor)
        {
        }
        boost::asio::steady_timer timer;
        bool granted = false;
    };

    double coldFactor(mono_time now) const;

    host_port m_address;
    const target_options &m_options;
    run_ledger &m_ledger;
    random_source m_random;
    std::uint32_t m_busy = 0;
    std::list<waiter *> m_waiting;
};

} // namespace sequoiawharf::stand_in
