#include "sequoiawharf/routing.h"

#include "sequoiawharf/heartbeat.h"

#include <algorithm>

namespace sequoiawharf
{

routing::routing()
    : m_config(std::make_shared<const configuration>())
    , m_keys(std::make_shared<const key_index>())
{
}

routing::routing(std::shared_ptr<const configuration> config,
                 const locality &place,
                 const std::shared_ptr<const selection_policy> &policy,
                 const routing &previous,
                 mono_time now,
                 std::uint64_t keySeed)
    : m_config(std::move(config))
    , m_place(place)
    , m_policy(policy)
{
    m_keys
        = m_config->organisations == previous.m_config->organisations ? previous.m_keys : std::make_shared<const key_index>(m_config->organisations, keySeed);
    const bool isSamePlace = place == previous.m_place && policy == previous.m_policy;
    std::ranges::for_each(m_config->pools.pools(), [&](const pool &entry) {
        auto old = previous.find(entry.name);
        const bool isKept = isSamePlace && old && old->definition() == entry;
        m_balancers.emplace(entry.name, isKept ? std::move(old) : std::make_shared<const pool_balancer>(entry, place, policy, old.get(), now));
    });
}

centre_mask routing::centresFor(const route &rule, const organisation *caller) const
{
    const auto maskOf = [this](const std::vector<region_id> &homes) {
        if (homes.empty()) {
            return kAllCentres;
        }
        return m_place.limits ? m_place.limits->maskOf(homes) : centre_mask {0};
    };
    return maskOf(rule.homes) & (caller == nullptr ? kAllCentres : maskOf(caller->homes));
}

void routing::markLeaving(const host_port &address, mono_time now) const
{
    std::ranges::for_each(m_balancers, [&](const auto &entry) {
        entry.second->markLeaving(address, now);
    });
}

std::vector<leaving_notice> routing::leavingSince(mono_time since, mono_time now) const
{
    std::vector<leaving_notice> notices;
    std::ranges::for_each(m_balancers, [&](const auto &entry) {
        std::ranges::move(entry.second->leavingSince(since, now), std::back_inserter(notices));
    });
    return notices;
}

std::shared_ptr<const pool_balancer> routing::find(const pool_name &name) const
{
    const auto position = m_balancers.find(name);
    return position == m_balancers.end() ? nullptr : position->second;
}

} // namespace sequoiawharf
