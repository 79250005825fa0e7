#pragma once

#include "sequoiawharf/configuration_state.h"
#include "sequoiawharf/random_source.h"
#include "sequoiawharf/state_record_schedule.h"
#include "src/shell/instance/configuration_source.h"
#include "src/shell/platform/log_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace sequoiawharf
{

/// Timing of a config_feed and limits of its state records.
struct config_feed_options {
    std::chrono::milliseconds pollWait {5000}; ///< Longest time that one read of the log waits for new records.
    std::chrono::milliseconds lowestRetry {200}; ///< Smallest backoff after a failed read, and the pause before a read that is due or follows an early answer.
    std::chrono::milliseconds highestRetry {2000}; ///< Largest backoff after failed reads, and the pause while no read is needed.
    std::chrono::milliseconds fallback {15'000}; ///< Time without contact to the log or a peer after which an instance that does not follow the log reads it.
    state_record_limits stateRecords;
};

/// Maintains the configuration in force from the log and from changes that peers forward. All methods run on the context's thread. The object, the
/// client and the observer outlive the context's last run.
class config_feed : public configuration_source
{
public:
    config_feed(
        boost::asio::io_context &context, log_client &log, instance_id self, config_observer &observer, std::uint64_t seed, config_feed_options options = {});

    /// Starts reading the log. Precondition: start() was not called before.
    void start() override;

    /// Stops reading after the read in progress.
    void stop();

    /// Sets whether this instance reads the log continuously, which is the default, or relies on peers to forward changes.
    void setFollowing(bool following) override;
    void reconnect() override
    {
        // A read of the log ends after a bounded wait, so no pending call needs to be restarted.
    }
    bool isFollowing() const override
    {
        return m_following;
    }

    /// Sets the live instances among which the writer of state records is chosen.
    void setLive(std::vector<instance_id> live) override;

    /// Applies changes that a peer forwarded. Returns whether a newer configuration came into force.
    bool applyPeer(const change_set &changes) override;

    /// Requires another answer of the log before the instance is ready, for example after the process was paused.
    void resetReadiness() override;

    /// Updates and returns the readiness to serve callers. peersPending: number of instances that were asked for their version and may still answer.
    readiness_reason updateReadiness(unsigned peersPending) override;
    bool isNewest() const override;

    std::shared_ptr<const configuration> current() const override;
    void recordPosition(config_version version, log_position next) override;
    change_set changesSince(config_version version) const override;
    log_position asOf() const override;
    std::optional<std::string> stateText() const override;

    /// Returns whether the last read of the log failed.
    bool logFailed() const
    {
        return m_logFailed;
    }
    const configuration_state &state() const
    {
        return m_state;
    }
    const config_source_counters &counters() const override
    {
        return m_counters;
    }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> readOnce(std::chrono::milliseconds wait);
    boost::asio::awaitable<void> writeStateIfDue(log_page page);
    boost::asio::awaitable<void> pauseFor(std::chrono::milliseconds time);
    void applyPage(const log_page &page, std::uint64_t check);
    void recordFailure(std::uint64_t check);
    void announceIfNewer(config_version before);
    std::chrono::milliseconds nextPause();
    bool canSkipRead() const;

    boost::asio::io_context &m_context;
    log_client &m_log;
    instance_id m_self;
    config_observer &m_observer;
    random_source m_random;
    config_feed_options m_options;
    configuration_state m_state;
    state_record_schedule m_schedule;
    std::vector<instance_id> m_live;
    boost::asio::steady_timer m_pauseTimer;
    config_source_counters m_counters;
    std::chrono::milliseconds m_retry;
    mono_time m_lastContact; ///< Time of the last answer of the log or change set of a peer.
    std::uint64_t m_newestCheck = 1; ///< Number of the newest check, which is the first read or a resetReadiness().
    std::uint64_t m_answeredCheck = 0; ///< Number of the newest check that a read has answered.
    bool m_logFailed = false;
    bool m_answeredEarly = false; ///< The last read returned no records in less than half of its wait, although it should have waited in full.
    bool m_following = true;
    bool m_stopped = false;
};

} // namespace sequoiawharf
