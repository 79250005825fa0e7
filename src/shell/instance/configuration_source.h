#pragma once

#include "sequoiawharf/configuration_state.h"
#include "sequoiawharf/ids.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sequoiawharf
{

/// Hears of configurations and verdicts, on the source's thread.
class config_observer
{
public:
    virtual ~config_observer() = default;

    /// A newer configuration is in force.
    virtual void onConfiguration(std::shared_ptr<const configuration> config) = 0;

    /// A record of the log was judged.
    virtual void onVerdict(const record_verdict &entry) = 0;
};

/// What a source has done so far.
struct config_source_counters {
    std::uint64_t reads = 0;
    std::uint64_t failedReads = 0;
    std::uint64_t stateRecords = 0;
    std::uint64_t stateRecordBytes = 0;
};

/// Where an instance learns the configuration in force. The version never decreases. All methods run on the control thread; the observer outlives
/// the source.
class configuration_source
{
public:
    virtual ~configuration_source() = default;

    /// Begins to follow the operators' changes. Called once.
    virtual void start() = 0;

    /// Chooses whether this instance follows them all the time, or may leave that to peers that pass changes on.
    virtual void setFollowing(bool following) = 0;

    /// Tells whether this instance hears of the operators' changes by itself now.
    virtual bool isFollowing() const = 0;

    /// Sets the live instances of the data centre.
    virtual void setLive(std::vector<instance_id> live) = 0;

    /// Takes in what a peer passed on. Returns true when a newer configuration came in force.
    virtual bool applyPeer(const change_set &changes) = 0;

    /// Begins calls to the service again that still wait for an answer: it was away and is back, and may have forgotten them.
    virtual void reconnect() = 0;

    /// Has the source asked again before the instance is ready, as after a pause of the process.
    virtual void resetReadiness() = 0;

    /// Tells whether callers may be served. peersPending: instances that were asked for their version and may still answer.
    virtual readiness_reason updateReadiness(unsigned peersPending) = 0;

    /// Tells whether the source answered since the start or the last pause with the newest configuration there is, so that no other instance
    /// need be asked.
    virtual bool isNewest() const = 0;

    /// Returns the configuration in force. Never null.
    virtual std::shared_ptr<const configuration> current() const = 0;

    /// Returns what an instance at the given version lacks.
    virtual change_set changesSince(config_version version) const = 0;

    /// Returns the last offset of the log that was judged.
    virtual log_offset asOf() const = 0;

    /// Returns the state in force as a state record's text, or nothing while it is not known.
    virtual std::optional<std::string> stateText() const = 0;

    virtual const config_source_counters &counters() const = 0;
};

} // namespace sequoiawharf
