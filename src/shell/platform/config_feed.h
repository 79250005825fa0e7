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

/// Times of a feed.
struct config_feed_options {
    std::chrono::milliseconds pollWait {5000}; ///< Longest wait of one read of the log.
    std::chrono::milliseconds lowestRetry {200};
    std::chrono::milliseconds highestRetry {2000};
    std::chrono::milliseconds fallback {15'000}; ///< Without a word from a peer for so long, also an instance that does not follow the log reads it.
    state_record_limits stateRecords;
};

/// Keeps the configuration in force by following the log and by what peers pass on. All methods run on the context's thread. The object, the
/// client and the observer outlive the context's last run.
class config_feed : public configuration_source
{
public:
    config_feed(
        boost::asio::io_context &context, log_client &log, instance_id self, config_observer &observer, std::uint64_t seed, config_feed_options options = {});

    /// Begins to read the log. Call it once.
    void start() override;

    /// Ends after the read in progress.
    void stop();

    /// Chooses whether this instance follows the log all the time, which is the default, or leaves that to peers that pass changes on.
    void setFollowing(bool following) override;
    void reconnect() override
    {
        // Its polls wait for a second only.
    }
    bool isFollowing() const override
    {
        return m_following;
    }

    /// Sets the instances among which the writer of state records is chosen.
    void setLive(std::vector<instance_id> live) override;

    /// Takes in what a peer passed on. Returns true when a newer configuration came in force.
    bool applyPeer(const change_set &changes) override;

    /// Has the log asked again before the instance is ready, as after a pause of the process.
    void resetReadiness() override;

    /// Tells whether callers may be served. peersPending: instances that were asked for their version and may still answer.
    readiness_reason updateReadiness(unsigned peersPending) override;
    bool isNewest() const override;

    std::shared_ptr<const configuration> current() const override;
    change_set changesSince(config_version version) const override;
    log_offset asOf() const override;
    std::optional<std::string> stateText() const override;

    /// Tells whether the last read of the log failed.
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
    void take(const log_page &page, std::uint64_t check);
    void noteFailure(std::uint64_t check);
    void announceIfNewer(config_version before);
    std::chrono::milliseconds nextPause();
    bool isQuiet() const;

    boost::asio::io_context &m_context;
    log_client &m_log;
    instance_id m_self;
    config_observer &m_observer;
    random_source m_random;
    config_feed_options m_options;
    configuration_state m_state;
    state_record_schedule m_schedule;
    std::vector<instance_id> m_live;
    boost::asio::steady_timer m_pause;
    config_source_counters m_counters;
    std::chrono::milliseconds m_retry;
    mono_time m_lastContact; ///< Last answer of the log or word of a peer.
    std::uint64_t m_check = 1; ///< Number of the newest check: the first look at the log, or a resetReadiness().
    std::uint64_t m_checkDone = 0; ///< Number of the newest check that the log answered.
    bool m_logFailed = false;
    bool m_answeredEarly = false; ///< The last read found nothing and did not wait, as it should have.
    bool m_following = true;
    bool m_stopped = false;
};

} // namespace sequoiawharf
