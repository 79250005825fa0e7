#pragma once

#include "sequoiawharf/quota_exchange.h"
#include "sequoiawharf/quota_holder.h"
#include "sequoiawharf/random_source.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace sequoiawharf::testing
{

/// Instances of data centres with their quota modules, on virtual time and a network that loses, delays, repeats and reorders messages.
class quota_fleet
{
public:
    /// Behaviour of the network.
    struct network {
        double loss = 0;
        double repeats = 0;
        std::chrono::milliseconds minDelay {1};
        std::chrono::milliseconds maxDelay {1};
    };

    struct waiting_call {
        std::uint64_t organisation = 0;
        std::chrono::nanoseconds until {};
    };

    /// One machine with its process.
    struct instance {
        instance_id id;
        unsigned centre = 0;
        std::chrono::nanoseconds bootOffset {}; ///< Boot clock minus the fleet's time.
        incarnation process = 0;
        std::unique_ptr<quota_exchange> exchange; ///< Null: the process is down.
        std::unique_ptr<quota_holder> holder;
        std::chrono::nanoseconds pausedUntil {};
        std::vector<std::function<void()>> held; ///< Messages that arrived during the pause.
        std::vector<waiting_call> waiting;
    };

    quota_fleet(unsigned centres, const quota_settings &settings, std::uint64_t seed);

    /// Adds an instance that is down.
    std::size_t add(unsigned centre);

    /// Starts a new process with quotas; the previous one ends.
    void start(std::size_t at, const std::vector<organisation_quota> &quotas);
    void stop(std::size_t at);

    /// Pauses the process, or suspends the machine: nothing runs there until then, and its boot clock goes on.
    void pause(std::size_t at, std::chrono::nanoseconds time);

    void setQuotas(std::size_t at, const std::vector<organisation_quota> &quotas);
    void setInstances(std::size_t at, std::uint32_t count);

    /// Sets the instances that an instance considers live; the holders are chosen from them.
    void setView(std::size_t at, const std::vector<std::size_t> &live);

    /// Forbids messages between both, or allows them.
    void setCut(std::size_t one, std::size_t other, bool isCut);

    /// A call arrives. It is admitted, waits or is refused.
    void call(std::size_t at, std::uint64_t organisation);

    /// Lets time pass.
    void run(std::chrono::milliseconds time, const std::function<void()> &everyMs = {});

    /// Returns the largest sum of the shares that the running holders of one data centre may use now.
    double largestShare();

    std::chrono::nanoseconds now() const
    {
        return m_now;
    }
    instance &at(std::size_t index)
    {
        return m_instances[index];
    }
    std::size_t size() const
    {
        return m_instances.size();
    }

    network net;
    std::chrono::milliseconds maxWait {300};
    std::map<std::uint64_t, std::vector<std::chrono::nanoseconds>> admitted; ///< Times, by organisation.
    std::map<std::uint64_t, unsigned> refused;
    unsigned waited = 0;
    std::uint64_t requests = 0;

private:
    boot_time clockOf(const instance &item) const
    {
        return boot_time {m_now + item.bootOffset};
    }
    bool isRunning(const instance &item) const
    {
        return item.exchange && item.pausedUntil <= m_now;
    }
    void send(std::size_t from, std::size_t to, std::function<void()> deliver);
    void deliver(std::size_t to, std::function<void()> message);
    void request(std::size_t from, const quota_exchange::action &action);
    void step(std::size_t at);

    unsigned m_centres;
    quota_settings m_settings;
    random_source m_random;
    std::vector<instance> m_instances;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    std::multimap<std::chrono::nanoseconds, std::pair<std::size_t, std::function<void()>>> m_messages;
    std::chrono::nanoseconds m_now {std::chrono::hours(1)};
    incarnation m_lastProcess = 0;
};

} // namespace sequoiawharf::testing
