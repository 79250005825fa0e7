#pragma once

#include "sequoiawharf/config_follower.h"
#include "sequoiawharf/member_directory.h"
#include "sequoiawharf/membership.h"
#include "sequoiawharf/transfer_schedule.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sequoiawharf::testing
{

/// One simulated instance: membership and configuration follower, with a version number in place of the configuration tables.
struct fleet_instance {
    std::string name;
    membership_settings settings;
    std::unique_ptr<membership> members;
    config_follower follower;
    transfer_schedule transfers {kTransferBytesPerSecond, kMaxTransferWait};
    config_version version = 0;
    config_version highestVersion = 0; ///< Highest version it has had.
    bool versionDecreased = false;
    bool dead = false; ///< Killed or replaced.
    mono_time pausedUntil;
    std::chrono::seconds skew {0}; ///< Offset of its wall clock.
    std::set<std::string> leavingSeen;
    std::map<std::string, mono_time> leavingAt; ///< Time at which it learned that an endpoint is leaving, by address.
    std::uint64_t bytes = 0; ///< Sent and received, by upper bounds of the encoded sizes.
    std::vector<std::pair<mono_time, std::uint64_t>> sent; ///< Time and size of each heartbeat sent, to check the budget in any window.
};

/// Simulates instances and their network in virtual time. The network delays, drops, duplicates and reorders messages; a test cuts connections by
/// a predicate on names.
class fleet
{
public:
    explicit fleet(std::uint64_t seed, std::vector<region_id> regions = {region_id("north"), region_id("south")});

    /// Adds an instance and returns it. An instance of the same name is replaced and counts as dead. Data centres are named "region/centre".
    fleet_instance &add(const std::string &name, const std::string &centre, incarnation process = 1);

    /// Stops an instance without any notice to the others.
    void kill(const std::string &name);

    /// Pauses an instance: until the end of the duration it doesn't tick, and messages that arrive are lost.
    void pause(const std::string &name, std::chrono::milliseconds duration);

    /// Sets all current instances as hints at each of them.
    void publishHints();

    /// Sets the version of one instance, as if read from the log. pushes: sends it to the live members of its data centre as well.
    void accept(const std::string &name, config_version version, bool pushes = true);

    /// Advances virtual time by the duration.
    void run(std::chrono::milliseconds duration);

    /// Returns the current instance of the name. Precondition: it was added.
    fleet_instance &at(const std::string &name);

    /// Returns the instances that are not dead.
    std::vector<fleet_instance *> live();

    /// Returns the virtual time.
    mono_time now() const
    {
        return m_now;
    }

    std::function<bool(const std::string &from, const std::string &to)> cut; ///< Returns true when messages between the two are dropped.
    std::vector<host_port> seeds; ///< Seeds of instances that are added from now on.
    double dropRate = 0;
    double duplicateRate = 0;
    std::chrono::milliseconds jitter {5};
    std::uint64_t changeBytes = 0; ///< Size of a configuration change, which takes time on the sender's link.
    std::uint64_t linkBytesPerSecond = 1'250'000; ///< Of each instance's link, for changes only.
    std::uint64_t crossRegionChanges = 0; ///< Configuration changes that were sent between regions.
    std::function<void()> onStep; ///< Runs after every step of virtual time.

private:
    struct delivery {
        fleet_instance *to = nullptr;
        std::function<void()> run;
    };

    void step();
    void tickInstance(fleet_instance &instance);
    void sendHeartbeat(fleet_instance &from, heartbeat_action action);
    void recordVersions(fleet_instance &at, const heartbeat_message &message);
    void adopt(fleet_instance &at, config_version version, bool pushOn);
    void sendQuery(fleet_instance &from, const change_query &query);
    bool transmit(const fleet_instance &from, fleet_instance &to, std::function<void()> action, std::chrono::milliseconds sending = {});
    std::chrono::milliseconds delay(const fleet_instance &from, const fleet_instance &to);
    fleet_instance *byPeer(const host_port &peer);

    random_source m_random;
    std::vector<region_id> m_regions;
    mono_time m_now;
    std::map<std::string, std::unique_ptr<fleet_instance>> m_instances;
    std::multimap<mono_time, delivery> m_queue;
    unsigned m_ports = 0;
};

} // namespace sequoiawharf::testing
