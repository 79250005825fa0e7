#pragma once

#include "sequoiawharf/config_follower.h"
#include "sequoiawharf/member_directory.h"
#include "sequoiawharf/membership.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sequoiawharf::testing
{

/// One instance of a fleet: membership and follower, with a bare version in place of the tables.
struct fleet_instance {
    std::string name;
    membership_settings settings;
    std::unique_ptr<membership> members;
    config_follower follower;
    config_version version = 0;
    config_version highest = 0; ///< Highest version that it ever had.
    bool wentBack = false;
    bool dead = false;
    mono_time pausedUntil;
    std::chrono::seconds skew {0}; ///< Of its wall clock.
    std::set<std::string> leavingSeen;
    std::map<std::string, mono_time> leavingAt;
    std::uint64_t bytes = 0; ///< Sent and received, as bounds of the encoded sizes.
    std::vector<std::pair<mono_time, std::uint64_t>> sent; ///< For checks of any window.
};

/// Instances on links in virtual time. Links delay, drop, double and reorder; a test cuts them by a predicate on names.
class fleet
{
public:
    explicit fleet(std::uint64_t seed, std::vector<region_id> regions = {region_id("north"), region_id("south")});

    /// Adds an instance; its name must be new or that of a dead one. Data centres are named "region/centre".
    fleet_instance &add(const std::string &name, const std::string &centre, incarnation process = 1);

    /// Ends an instance without a word.
    void kill(const std::string &name);

    /// Lets the instance do nothing for a while; what is sent to it waits or fails.
    void pause(const std::string &name, std::chrono::milliseconds duration);

    /// Gives everybody a list of all instances that live now.
    void publishHints();

    /// Accepts a version at one instance, as if read from the log, and passes it on.
    void accept(const std::string &name, config_version version);

    /// Lets virtual time pass.
    void run(std::chrono::milliseconds duration);

    fleet_instance &at(const std::string &name);
    std::vector<fleet_instance *> live();
    mono_time now() const
    {
        return m_now;
    }

    std::function<bool(const std::string &from, const std::string &to)> cut; ///< True: nothing passes.
    std::vector<host_port> seeds; ///< Of instances that are added from now on.
    double dropRate = 0;
    double doubleRate = 0;
    std::chrono::milliseconds jitter {5};
    std::uint64_t farChanges = 0; ///< Changes that were passed on between regions.
    std::function<void()> onStep; ///< Runs after every step of virtual time.

private:
    struct delivery {
        fleet_instance *to = nullptr;
        std::function<void()> run;
    };

    void step();
    void tickInstance(fleet_instance &instance);
    void sendHeartbeat(fleet_instance &from, heartbeat_action action);
    void noteHeard(fleet_instance &at, const heartbeat_message &message);
    void adopt(fleet_instance &at, config_version version, bool pushOn);
    void ask(fleet_instance &from, const change_query &request);
    bool later(const fleet_instance &from, fleet_instance &to, std::function<void()> action);
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
