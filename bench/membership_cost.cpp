// Measures the control traffic of one instance in virtual time with the real codec: bytes and messages per second, and processor time.
#include "sequoiawharf/config_follower.h"
#include "sequoiawharf/far_capacity.h"
#include "sequoiawharf/member_directory.h"
#include "sequoiawharf/membership.h"
#include "sequoiawharf/pool_sums.h"
#include "src/wire/codec.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <memory>
#include <ranges>
#include <unordered_map>
#include <vector>

using namespace sequoiawharf;
using namespace std::chrono_literals;

namespace
{

constexpr unsigned kRegions = 9;
constexpr unsigned kCentres = 21;
constexpr unsigned kPools = 860;
constexpr unsigned kEndpoints = 19'000;
constexpr std::size_t kExchangeOverhead = 320; ///< Bytes of HTTP/2 and TCP/IP framing per request and answer.
constexpr auto kTick = 100ms;
constexpr auto kWarmUp = 20s;

struct bench_instance {
    membership_settings settings;
    std::unique_ptr<membership> members;
    config_follower follower;
    pool_sums sums;
    far_pools farPools;
    config_version version = 0;
    std::uint64_t bytes = 0; ///< Sent and received, including kExchangeOverhead.
    std::uint64_t messages = 0;
};

double processorSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

class bench_fleet
{
public:
    bench_fleet(unsigned count, std::uint64_t seed)
        : m_random(seed)
        , m_now(mono_time {} + 1h)
    {
        const auto centres = std::clamp(count / 2, 1U, kCentres);
        fillConfiguration(centres);
        std::vector<region_id> regions;
        std::ranges::transform(std::views::iota(0U, std::min(kRegions, centres)), std::back_inserter(regions), [](unsigned i) {
            return region_id(fmt::format("region-{}", i));
        });
        std::ranges::for_each(std::views::iota(0U, count), [&](unsigned i) {
            add(i, i % centres, regions);
        });
        std::vector<member_hint> hints;
        std::ranges::transform(m_all, std::back_inserter(hints), [](const auto &item) {
            const auto &row = item->settings.self;
            return member_hint {row.id, row.peer, row.dataCentre, row.region};
        });
        std::ranges::for_each(m_all, [&](const auto &item) {
            item->members->setHints(hints);
        });
    }

    /// Advances the fleet by the duration. changeEvery is the time between two configuration changes; 0 makes none.
    void run(std::chrono::seconds duration, std::chrono::milliseconds changeEvery)
    {
        const auto end = m_now + duration;
        auto nextChange = m_now;
        while (m_now < end) {
            m_now += kTick;
            if (changeEvery > 0ms && m_now >= nextChange) {
                nextChange += changeEvery;
                adopt(*m_all.front(), m_all.front()->version + 1, true);
            }
            std::ranges::for_each(m_all, [&](const auto &item) {
                tick(*item);
            });
        }
    }

    void resetCounts()
    {
        std::ranges::for_each(m_all, [](const auto &item) {
            item->bytes = 0;
            item->messages = 0;
        });
    }

    std::vector<std::unique_ptr<bench_instance>> &all()
    {
        return m_all;
    }

private:
    void add(unsigned number, unsigned centre, const std::vector<region_id> &regions)
    {
        auto item = std::make_unique<bench_instance>();
        auto &row = item->settings.self;
        row.id = instance_id(fmt::format("entry-{:03}", number));
        row.process = 1'764'800'000'000'000 + number;
        row.gateway = {fmt::format("10.20.{}.{}", centre, number), 8080};
        row.peer = {row.gateway.host, 8081};
        row.dataCentre = data_centre_id(fmt::format("centre-{:02}", centre));
        row.region = regions[centre % regions.size()];
        item->settings.regions = regions;
        item->members = std::make_unique<membership>(item->settings, m_now);
        fillFacts(*item, centre);
        m_byPeer.emplace(row.peer, item.get());
        m_all.push_back(std::move(item));
    }

    void fillConfiguration(unsigned centres)
    {
        std::vector<pool> pools(kPools);
        unsigned number = 0;
        std::ranges::for_each(pools, [&](pool &item) {
            item.name = pool_name(fmt::format("service-{:03}", number));
            std::ranges::for_each(std::views::iota(0U, kEndpoints / kPools), [&](unsigned i) {
                const auto centre = data_centre_id(fmt::format("centre-{:02}", (number + i % 3) % centres));
                item.endpoints.push_back({{"10.99.0.1", static_cast<std::uint16_t>(i)}, centre, false});
            });
            ++number;
        });
        m_config.pools = pool_table(std::move(pools));
    }

    void fillFacts(bench_instance &item, unsigned centre)
    {
        std::vector<pool_totals> facts;
        std::ranges::for_each(m_config.pools.pools(), [&](const auto &definition) {
            const auto here = std::ranges::count(definition.endpoints, data_centre_id(fmt::format("centre-{:02}", centre)), &endpoint::dataCentre);
            if (here > 0) {
                // One pool in ten is short of capacity, since only a third of its endpoints are fit.
                const auto fit = static_cast<unsigned>(poolKey(definition.name) % 10 == 0 ? here / 3 : here);
                facts.push_back({definition.name, static_cast<unsigned>(here), fit, 4, 1});
            }
        });
        item.sums.setOwn(std::move(facts));
    }

    void tick(bench_instance &item)
    {
        const wall_time wall {std::chrono::hours(400'000) + m_now.time_since_epoch()};
        item.members->setSelf(item.version, 40, item.members->isViewConfirmed(m_now));
        auto actions = item.members->tick(m_now, wall, m_random);
        std::ranges::for_each(actions, [&](const heartbeat_action &action) {
            exchange(item, action);
        });
        if (const auto query = item.follower.next(item.version, m_now)) {
            fetch(item, *query);
        }
        const auto updates = item.members->drainUpdates();
        std::ranges::for_each(updates.pools, [&](const centre_pools &rows) {
            item.farPools.take(rows, m_now);
        });
        std::ranges::for_each(updates.shares, [&](const auto &shares) {
            item.sums.recordShares(shares.first, shares.second, m_now);
        });
        publish(item);
    }

    void publish(bench_instance &item)
    {
        const auto sinceStart = m_now.time_since_epoch();
        if (sinceStart % 300ms == 0ms) {
            makeDirectoryView(*item.members, {.lifetime = 10s}, m_now);
        }
        if (sinceStart % 1000ms == 0ms) {
            item.members->setShares(item.sums.ownShares());
            item.members->setPools(item.sums.summaries(item.members->liveMembers(m_now).size() - 1, m_now));
            item.farPools.capacity(m_config, item.members->centres(), item.settings.self.region, m_now);
        }
    }

    void exchange(bench_instance &from, const heartbeat_action &action)
    {
        auto &to = *m_byPeer.at(action.to);
        const auto request = encode(action.message);
        const auto received = std::get<heartbeat_message>(decode(request).value());
        const auto reply = to.members->take(received, m_now, m_random);
        recordVersions(to, received);
        const auto answer = reply ? encode(*reply) : std::string {};
        count(from, to, request.size() + answer.size());
        if (!reply) {
            return;
        }
        const auto decodedReply = std::get<heartbeat_message>(decode(answer).value());
        const auto next = from.members->handleReply(action, decodedReply, m_now, m_random);
        recordVersions(from, decodedReply);
        if (next) {
            exchange(from, *next);
        }
    }

    void fetch(bench_instance &from, const change_query &query)
    {
        auto &to = *m_byPeer.at(query.to);
        count(from, to, encode(change_request {query.since}).size() + changeBytes());
        from.follower.finishQuery(query, false, m_now);
        adopt(from, to.version, query.distance != nearness::DataCentre);
    }

    void adopt(bench_instance &item, config_version version, bool propagate)
    {
        if (version <= item.version) {
            return;
        }
        item.version = version;
        item.members->setSelf(version, 40, true);
        if (!propagate) {
            return;
        }
        std::ranges::for_each(item.members->members().inState(member_state::Live, m_now), [&](const member_entry *entry) {
            auto &to = *m_byPeer.at(entry->row.peer);
            count(item, to, changeBytes());
            adopt(to, version, false);
        });
    }

    std::size_t changeBytes() const
    {
        change_set set;
        set.from = 1;
        set.asOf = 2;
        set.chain.push_back({2, std::string(400, 'c')});
        return encode(set).size();
    }

    void recordVersions(bench_instance &at, const heartbeat_message &message)
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

    void count(bench_instance &from, bench_instance &to, std::size_t bytes)
    {
        from.bytes += bytes + kExchangeOverhead;
        to.bytes += bytes + kExchangeOverhead;
        ++from.messages;
        ++to.messages;
    }

    random_source m_random;
    mono_time m_now;
    configuration m_config;
    std::vector<std::unique_ptr<bench_instance>> m_all;
    std::unordered_map<host_port, bench_instance *> m_byPeer;
};

struct cost {
    double bytes = 0; ///< Per second, mean over the instances.
    double worstBytes = 0;
    double messages = 0;
    double core = 0; ///< Mean share of one core per instance.
    double linkBytes = 0; ///< Bytes per second between regions, as the control budget counts them.
    double refusals = 0; ///< Messages per second refused by the control budget.
};

cost measure(unsigned count, std::chrono::seconds duration, std::chrono::milliseconds changeEvery)
{
    bench_fleet fleet(count, 7);
    fleet.run(kWarmUp, changeEvery);
    fleet.resetCounts();
    const auto start = processorSeconds();
    fleet.run(duration, changeEvery);
    const auto used = processorSeconds() - start;
    const auto seconds = static_cast<double>(duration.count());
    cost result;
    std::ranges::for_each(fleet.all(), [&](const auto &item) {
        const auto rate = static_cast<double>(item->bytes) / seconds;
        result.bytes += rate / count;
        result.worstBytes = std::max(result.worstBytes, rate);
        result.messages += static_cast<double>(item->messages) / seconds / count;
        const auto total = static_cast<double>((duration + kWarmUp).count());
        const auto &budget = item->members->budget();
        result.linkBytes += static_cast<double>(budget.bytes(control_kind::Link)) / total / count;
        std::ranges::for_each(std::views::iota(0, static_cast<int>(control_kind::Count)), [&](int kind) {
            result.refusals += static_cast<double>(budget.refusals(static_cast<control_kind>(kind))) / total / count;
        });
    });
    result.core = used / seconds / count;
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine line("Cost of control for one instance in a fleet of 9 regions with 860 pools, in virtual time.");
    TCLAP::ValueArg<unsigned> duration("d", "duration", "Seconds of virtual time.", false, 60, "SECONDS", line);
    line.parse(argc, argv);

    fmt::print(
        "{:>9} {:>8} {:>10} {:>10} {:>10} {:>10} {:>8} {:>10}\n", "instances", "changes", "bytes/s", "worst", "link", "messages/s", "core %", "refused/s");
    for (const auto every : {0ms, 1000ms}) {
        cost baseline;
        for (const unsigned count : {6U, 18U, 100U, 200U}) {
            const auto result = measure(count, std::chrono::seconds(duration.getValue()), every);
            fmt::print("{:>9} {:>8} {:>10.0f} {:>10.0f} {:>10.0f} {:>10.1f} {:>8.3f} {:>10.2f}\n",
                       count,
                       every == 0ms ? "none" : "1/s",
                       result.bytes,
                       result.worstBytes,
                       result.linkBytes,
                       result.messages,
                       result.core * 100,
                       result.refusals);
            baseline = count == 100 ? result : baseline;
            if (count == 200) {
                fmt::print("slope, 200 over 100 instances: bytes {:.2f}, messages {:.2f}, core {:.2f}\n",
                           result.bytes / baseline.bytes,
                           result.messages / baseline.messages,
                           result.core / baseline.core);
            }
        }
    }
    return 0;
}
