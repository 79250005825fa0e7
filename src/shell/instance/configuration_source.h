#pragma once

#include "sequoiawharf/configuration_state.h"
#include "sequoiawharf/ids.h"
#include "sequoiawharf/reading_plan.h"
#include "sequoiawharf/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sequoiawharf
{

/// Receives configurations and verdicts. The methods run on the source's thread.
class config_observer
{
public:
    virtual ~config_observer() = default;

    /// Called when a newer configuration is in force.
    virtual void onConfiguration(std::shared_ptr<const configuration> config) = 0;

    /// Called when the service has shown that no configuration was newer than the one in force at the time at which the read was sent.
    virtual void onConfigurationProven(boot_time /*sentAt*/)
    {
    }

    /// Called after a record of the log was accepted or refused.
    virtual void onVerdict(const record_verdict &entry) = 0;

    /// Called when the set of evacuated data centres has changed; it is empty at first.
    virtual void onEvacuations(const std::set<data_centre_id> & /*centres*/)
    {
    }
};

/// The data centres that the operators have evacuated.
struct evacuation_state {
    std::set<data_centre_id> centres;
    log_position asOf {}; ///< All records before this position have been read; the first position: not known.

    friend bool operator==(const evacuation_state &, const evacuation_state &) = default;
};

/// Counters of a source since its start.
struct config_source_counters {
    std::uint64_t reads = 0;
    std::uint64_t failedReads = 0;
    std::uint64_t stateRecords = 0;
    std::uint64_t stateRecordBytes = 0;
    std::uint64_t readBytes = 0; ///< Of configurations read from the service.
    std::uint64_t peerBytes = 0; ///< Of configurations that peers passed on.
    std::uint64_t announcements = 0; ///< Newer versions that a peer announced without passing them on.
};

/// Source of the configuration in force. Its version never decreases. The observer outlives the source. All methods run on the control thread.
class configuration_source
{
public:
    virtual ~configuration_source() = default;

    /// Starts to follow the operators' changes. Precondition: called once.
    virtual void start() = 0;

    /// Sets whether this instance follows the operators' changes all the time, or may rely on peers that pass them on.
    virtual void setFollowing(bool following) = 0;

    /// Sets the times of the reads that wait for changes; nothing: the source's own, which cost the fewest reads. A waiting read that would take longer
    /// is ended. A source whose reads are short anyway may ignore it.
    virtual void setPollTimes(std::optional<poll_times> /*times*/)
    {
    }

    /// Returns whether this instance currently follows the operators' changes itself.
    virtual bool isFollowing() const = 0;

    /// Sets the live instances of the data centre.
    virtual void setLive(std::vector<instance_id> live) = 0;

    /// Applies changes that a peer passed on. Returns whether a newer configuration is in force now.
    virtual bool applyPeer(const change_set &changes) = 0;

    /// Records that a peer which follows the service has read all records before a position, and that these hold no version above the given one. A source
    /// that has this version starts its next read there.
    virtual void recordPosition(config_version version, log_position next) = 0;

    /// Returns the evacuated data centres. A source whose service has no evacuations returns an unknown state.
    virtual evacuation_state evacuations() const
    {
        return {};
    }

    /// Takes the evacuated data centres from a peer. A state that is older than the source's own is ignored.
    virtual void applyPeerEvacuations(const evacuation_state & /*told*/)
    {
    }

    /// Restarts the calls to the service that still wait for an answer. Called when the service is back after an outage, since it may have lost
    /// these calls.
    virtual void reconnect() = 0;

    /// Starts the readiness check again, so that the source is asked before callers are served. Called after a pause of the process.
    virtual void resetReadiness() = 0;

    /// Returns whether callers may be served, or why not. peersPending: number of instances that were asked for their version and may still
    /// answer.
    virtual readiness_reason updateReadiness(unsigned peersPending) = 0;

    /// Returns whether the source has answered with the newest configuration since the start or the last pause. Other instances need not be asked
    /// then.
    virtual bool isNewest() const = 0;

    /// Returns the configuration in force. Never null.
    virtual std::shared_ptr<const configuration> current() const = 0;

    /// Returns the changes that an instance at the given version lacks.
    virtual change_set changesSince(config_version version) const = 0;

    /// Returns the position up to which this source has read the service's records; the first position: nothing.
    virtual log_position asOf() const = 0;

    /// Returns the state in force as the text of a state record, or nothing while the state is not known.
    virtual std::optional<std::string> stateText() const = 0;

    /// Returns the counters since the start.
    virtual const config_source_counters &counters() const = 0;
};

} // namespace sequoiawharf
