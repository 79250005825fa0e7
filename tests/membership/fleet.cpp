#include "tests/membership/fleet.h"

#include <algorithm>
#include <ranges>

namespace sequoiawharf::testing
{

namespace
{

using namespace std::chrono_literals;

constexpr auto kStep = 10ms;
constexpr auto kTick = 100ms;
constexpr auto kReplyTimeout = 1000ms;

std::string regionOf(const std::string &centre)
{
    return centre.substr(0, centre.find('/'));
}

} // namespace

fleet::fleet(std::uint64_t seed, std::vector<region_id> regions)
    : m_random(seed)
    , m_regions(std::move(regions))
    , m_now(mono_time {} + 1h)
{
}

fleet_instance &fleet::add(const std::string &name, const std::string &centre, incarnation process)
{
    auto instance = std::make_unique<fleet_instance>();
    instance->name = name;
    auto &row = instance->settings.self;
    const auto port = static_cast<std::uint16_t>(1000 + m_ports++);
    row.id = instance_id(name);
    row.process = process;
    row.gateway = {"10.0.0.1", port};
    row.peer = {"10.0.0.2", port};
    row.dataCentre = data_centre_id(centre);
    row.region = region_id(regionOf(centre));
    instance->settings.regions = m_regions;
    instance->settings.seeds = seeds;
    instance->members = std::make_unique<membership>(instance->settings, m_now);
    auto &slot = m_instances[name];
    if (slot) {
        slot->dead = true;
        m_instances[name + "#" + std::to_string(port)] = std::move(slot);
    }
    slot = std::move(instance);
    return *slot;
}

void fleet::kill(const std::string &name)
{
    at(name).dead = true;
}

void fleet::pause(const std::string &name, std::chrono::milliseconds duration)
{
    at(name).pausedUntil = m_now + duration;
}

void fleet::publishHints()
{
    std::vector<member_hint> hints;
    std::ranges::for_each(live(), [&](const fleet_instance *instance) {
        const auto &row = instance->settings.self;
        hints.push_back({row.id, row.peer, row.dataCentre, row.region});
    });
    std::ranges::for_each(live(), [&](fleet_instance *instance) {
        instance->members->setHints(hints);
    });
}

fleet_instance &fleet::at(const std::string &name)
{
    return *m_instances.at(name);
}

std::vector<fleet_instance *> fleet::live()
{
    std::vector<fleet_instance *> all;
    std::ranges::for_each(m_instances | std::views::values, [&](const auto &instance) {
        if (!instance->dead) {
            all.push_back(instance.get());
        }
    });
    return all;
}

void fleet::accept(const std::string &name, config_version version, bool pushes)
{
    adopt(at(name), version, pushes);
}

void fleet::adopt(fleet_instance &at, config_version version, bool pushOn)
{
    if (version <= at.version) {
        return;
    }
    at.versionDecreased = at.versionDecreased || version < at.highestVersion;
    at.highestVersion = version;
    at.version = version;
    const auto self = at.members->self();
    at.members->setSelf(version, self.load, self.ready);
    if (!pushOn) {
        return;
    }
    std::ranges::for_each(at.members->members().inState(member_state::Live, m_now), [&](const member_entry *entry) {
        if (auto *const to = byPeer(entry->row.peer)) {
            transmit(at, *to, [this, to, version] {
                adopt(*to, version, false);
            });
        }
    });
}

void fleet::run(std::chrono::milliseconds duration)
{
    const auto end = m_now + duration;
    while (m_now < end) {
        step();
    }
}

void fleet::step()
{
    m_now += kStep;
    while (!m_queue.empty() && m_queue.begin()->first <= m_now) {
        const auto next = m_queue.begin()->second;
        m_queue.erase(m_queue.begin());
        if (!next.to->dead && next.to->pausedUntil <= m_now) {
            next.run();
        }
    }
    if (m_now.time_since_epoch() % kTick == 0ms) {
        std::ranges::for_each(live(), [&](fleet_instance *instance) {
            if (instance->pausedUntil <= m_now) {
                tickInstance(*instance);
            }
        });
    }
    if (onStep) {
        onStep();
    }
}

void fleet::tickInstance(fleet_instance &instance)
{
    const wall_time wall {std::chrono::hours(400'000) + instance.skew + m_now.time_since_epoch()};
    instance.members->setSelf(instance.version, instance.members->self().load, instance.members->isViewConfirmed(m_now));
    auto actions = instance.members->tick(m_now, wall, m_random);
    std::ranges::for_each(actions, [&](heartbeat_action &action) {
        sendHeartbeat(instance, std::move(action));
    });
    if (const auto query = instance.follower.next(instance.version, m_now)) {
        sendQuery(instance, *query);
    }
    const auto updates = instance.members->drainUpdates();
    std::ranges::for_each(updates.leaving, [&](const leaving_notice &notice) {
        instance.leavingAt.emplace(toString(notice.endpoint), m_now);
    });
}

void fleet::sendHeartbeat(fleet_instance &from, heartbeat_action action)
{
    const auto size = encodedBound(action.message);
    from.bytes += size;
    from.sent.emplace_back(m_now, size);
    const auto fail = [this, &from, action] {
        m_queue.emplace(m_now + kReplyTimeout, delivery {&from, [this, &from, action] {
                                                             from.members->handleFailure(action, m_now);
                                                         }});
    };
    auto *const to = byPeer(action.to);
    const bool sent = to != nullptr && transmit(from, *to, [this, &from, to, action, size, fail] {
                          to->bytes += size;
                          const auto reply = to->members->take(action.message, m_now, m_random);
                          recordVersions(*to, action.message);
                          const bool isReplySent = reply && transmit(*to, from, [this, &from, action, answer = *reply] {
                                                       from.bytes += encodedBound(answer);
                                                       auto next = from.members->handleReply(action, answer, m_now, m_random);
                                                       recordVersions(from, answer);
                                                       if (next) {
                                                           sendHeartbeat(from, std::move(*next));
                                                       }
                                                   });
                          to->bytes += isReplySent ? encodedBound(*reply) : 0;
                          if (!isReplySent) {
                              fail();
                          }
                      });
    if (!sent) {
        fail();
    }
}

void fleet::recordVersions(fleet_instance &at, const heartbeat_message &message)
{
    const auto note = [&](const member_row &row) {
        const auto &self = at.settings.self;
        const auto distance = row.dataCentre == self.dataCentre ? nearness::DataCentre : (row.region == self.region ? nearness::Region : nearness::Far);
        if (row.version > at.version && row.id != self.id) {
            at.follower.heard(row.peer, distance, row.version, m_now, m_random);
        }
    };
    note(message.sender);
    std::ranges::for_each(message.centres, [&](const centre_summary &summary) {
        std::ranges::for_each(summary.entries, note);
    });
}

void fleet::sendQuery(fleet_instance &from, const change_query &query)
{
    auto *const to = byPeer(query.to);
    const bool sent = to != nullptr && transmit(from, *to, [this, &from, to, query] {
                          crossRegionChanges += query.distance == nearness::Far && to->version > query.since ? 1 : 0;
                          const auto wait = to->transfers.reserve(changeBytes, m_now);
                          const auto sending = std::chrono::nanoseconds(changeBytes * std::nano::den / linkBytesPerSecond);
                          const auto answer = [this, &from, query, version = to->version, isRefused = !wait] {
                              from.follower.finishQuery(query, isRefused, m_now);
                              if (!isRefused) {
                                  adopt(from, version, query.distance != nearness::DataCentre);
                              }
                          };
                          transmit(*to, from, answer, std::chrono::duration_cast<std::chrono::milliseconds>(wait ? *wait + sending : 0ns));
                      });
    if (!sent) {
        from.follower.finishQuery(query, true, m_now);
    }
}

bool fleet::transmit(const fleet_instance &from, fleet_instance &to, std::function<void()> action, std::chrono::milliseconds sending)
{
    if ((cut && (cut(from.name, to.name) || cut(to.name, from.name))) || to.dead || m_random.unit() < dropRate) {
        return false;
    }
    const auto copies = m_random.unit() < duplicateRate ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        m_queue.emplace(m_now + sending + delay(from, to), delivery {&to, action});
    }
    return true;
}

std::chrono::milliseconds fleet::delay(const fleet_instance &from, const fleet_instance &to)
{
    const auto extra = std::chrono::milliseconds(m_random.below(static_cast<std::uint32_t>(jitter.count()) + 1));
    return (from.settings.self.region == to.settings.self.region ? 1ms : 30ms) + extra;
}

fleet_instance *fleet::byPeer(const host_port &peer)
{
    const auto match = std::ranges::find_if(m_instances | std::views::values, [&](const auto &instance) {
        return !instance->dead && instance->settings.self.peer == peer;
    });
    return match.base() == m_instances.end() ? nullptr : match.base()->second.get();
}

} // namespace sequoiawharf::testing
