#pragma once

#include "sequoiawharf/ids.h"
#include "sequoiawharf/time.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>

namespace sequoiawharf
{

/// Decides whether the configuration in force is recent enough to check keys with it. A freshness proof is a time at which the configuration in force
/// was known to be the newest one. A key that a newer version removes can therefore have been removed only after that time. A new object has no
/// proof. The methods that change the object run on one thread; the const methods are thread safe and take no lock.
class configuration_freshness
{
public:
    /// Reserve for the time between the check and the sending of a call, and for clocks of other instances that run at another rate.
    static constexpr std::chrono::milliseconds kMargin {250};

    /// bound: time after the acknowledgement of a version from which its removed keys admit no calls; 0: keyed calls are always admitted.
    explicit configuration_freshness(std::chrono::milliseconds bound);

    /// Returns whether keyed calls need a proof.
    bool isOn() const
    {
        return m_bound.count() > 0;
    }

    /// Records that the store answered a read, sent at the given time, and showed no version above ownVersion. Precondition: gateway threads already
    /// use ownVersion.
    void recordOwnRead(boot_time sentAt, config_version ownVersion);

    /// Records the proof that another instance stated in its answer to a query sent at askedAt. statedAge: of its proof when it answered; nothing: it has
    /// none. While ownVersion is below peerVersion, the proof is kept until recordVersion() reports peerVersion.
    void recordPeer(boot_time askedAt, std::optional<std::chrono::milliseconds> statedAge, config_version peerVersion, config_version ownVersion);

    /// Records that gateway threads use another version.
    void recordVersion(config_version ownVersion);

    /// Returns whether keyed calls are admitted. Precondition: the caller loads the configuration after this call, so that it is at least as new as the
    /// proof.
    bool admitsKeyedCalls(boot_time now) const;

    /// Returns the age of the proof, or nothing when there is none.
    std::optional<std::chrono::nanoseconds> age(boot_time now) const;

    /// Returns whether the proof is older than half of the bound, so that another instance should be asked for a younger one.
    bool shouldAskPeers(boot_time now) const;

    /// Returns whether the proof is older than it gets while the data centre's reader and the store answer, so that the store should be read.
    bool shouldReadStore(boot_time now) const;

    /// Returns the version for which the proof was recorded. Not thread safe.
    config_version provenVersion() const
    {
        return m_provenVersion;
    }

private:
    struct peer_proof {
        boot_time provenAt {};
        config_version version = 0;
    };

    void advance(boot_time provenAt, config_version version);
    bool isOlderThan(std::chrono::nanoseconds limit, boot_time now) const;

    std::chrono::nanoseconds m_bound;
    std::atomic<std::int64_t> m_provenAtNs; ///< Of boot_time; the lowest value: no proof.
    config_version m_provenVersion = 0;
    std::optional<peer_proof> m_pending; ///< Newest proof for a version that is not in force yet.
};

} // namespace sequoiawharf
