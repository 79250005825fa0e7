#pragma once

#include "sequoiawharf/configuration.h"
#include "sequoiawharf/key_index.h"
#include "sequoiawharf/pool_balancer.h"

#include <memory>
#include <unordered_map>

namespace sequoiawharf
{

/// A configuration together with the balancers of its pools, which hold the live balancing state. Immutable and thread safe, as are the balancers.
class routing
{
public:
    /// Creates the routing of an empty configuration of version 0.
    routing();

    /// Creates the routing of a configuration for an instance at place. A pool keeps its balancer of the previous routing if its definition, the place
    /// and the policy are unchanged; otherwise it gets a new balancer, which keeps the state of endpoints that are in the previous one too.
    /// keySeed: secret seed of the index of keys, drawn once per process. Precondition: config and policy are not null.
    routing(std::shared_ptr<const configuration> config,
            const locality &place,
            const std::shared_ptr<const selection_policy> &policy,
            const routing &previous,
            mono_time now,
            std::uint64_t keySeed = 0);

    const configuration &config() const
    {
        return *m_config;
    }

    /// Returns the location of this instance, by which endpoints are near or far.
    const locality &place() const
    {
        return m_place;
    }

    /// Returns the organisation that holds the key, or null. It lives as long as the routing. Thread safe.
    const organisation *findOrganisation(std::string_view key) const
    {
        return m_keys->find(key);
    }

    /// Returns the data centres whose endpoints may serve a call: those in the homes of both the route and the organisation, which may be null. Thread
    /// safe.
    centre_mask centresFor(const route &rule, const organisation *caller) const;

    /// Marks the endpoints at the address as leaving in all pools, so that they get no new calls. Thread safe; the cost is linear in the number of
    /// pools.
    void markLeaving(const host_port &address, mono_time now) const;

    /// Returns notices of the endpoints, in all pools, that this instance learned to be leaving at since or later; see pool_balancer. Thread safe.
    std::vector<leaving_notice> leavingSince(mono_time since, mono_time now) const;

    /// Returns the balancers of all pools by name. Thread safe.
    const std::unordered_map<pool_name, std::shared_ptr<const pool_balancer>> &balancers() const
    {
        return m_balancers;
    }

    /// Returns the balancer of the pool, or null if there is no such pool. Thread safe.
    std::shared_ptr<const pool_balancer> find(const pool_name &name) const;

private:
    std::shared_ptr<const configuration> m_config;
    locality m_place;
    std::shared_ptr<const selection_policy> m_policy;
    std::shared_ptr<const key_index> m_keys; ///< Shared with the previous routing while the organisations are the same.
    std::unordered_map<pool_name, std::shared_ptr<const pool_balancer>> m_balancers;
};

} // namespace sequoiawharf
