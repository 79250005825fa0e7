#include "/work/main/review/rig-2/rig.h"

#include <algorithm>

// The instance that reads the endpoints for its data centre is cut off from the store for some seconds. When it is back, an endpoint leaves: its entry is
// removed. Counts the requests that the other instances still send there later than drainMs after that.
namespace
{

using namespace rig;

constexpr int kDrainMs = 2500;
constexpr int kDeadlineMs = 2000;
constexpr int kCutMs = 4000;
constexpr int kAfterMs = 20;
constexpr int kBetweenMs = 2500;
constexpr int kEndpoints = 5;
constexpr int kPerSecond = 130;
constexpr int kServesOnMs = 5000;
constexpr std::size_t kInstances = 4;
constexpr int kRounds = 8;

} // namespace

int main(int argc, char **argv)
{
    setUp(argc > 1 ? argv[1] : "review/10", {{"taipei-a", "north-tw"}});
    const bounds limits {};
    store platform(host(200, 1), 8642);
    platform.append("keyed.op", "config", configText(3, {{"r-pay", "jepu9.example", "/puka111/", "unsafe", 1000, 300, 1, 2, "ledger"}}, {"ledger"}, 260));
    ledger runs;
    registration registry(platform);
    std::vector<std::shared_ptr<endpoint>> endpoints;
    std::vector<std::shared_ptr<endpoint>> ended;
    int made = 0;
    const auto addEndpoint = [&] {
        endpoints.push_back(
            std::make_shared<endpoint>(endpoint_options {"i-" + std::to_string(made), "ledger", host(20, 10 + made), 8080, "taipei-a", 4, 8, 120}, runs));
        registry.add(endpoints.back());
        ++made;
    };
    for (int i = 0; i < kEndpoints; ++i) {
        addEndpoint();
    }
    std::vector<std::shared_ptr<instance>> fleet;
    std::vector<std::size_t> ways;
    for (std::size_t i = 0; i < kInstances; ++i) {
        const auto address = host(200, 2 + static_cast<int>(i));
        ways.push_back(platform.addWay(address, 8642));
        fleet.push_back(std::make_shared<instance>("edge-taipei-a-" + std::to_string(i + 1),
                                                   host(1, 1 + static_cast<int>(i)),
                                                   "taipei-a",
                                                   address + ":8642",
                                                   std::vector {instance::peerOf(host(1, 1)), instance::peerOf(host(1, 2)), instance::peerOf(host(1, 3))},
                                                   limits));
        fleet.back()->start();
    }
    awaitReady(fleet);
    pause(8'000);
    std::vector<int> before;
    for (const auto way : ways) {
        before.push_back(platform.endpointReads(way));
    }
    pause(5'000);
    std::size_t reader = 0;
    int most = -1;
    for (std::size_t i = 0; i < ways.size(); ++i) {
        const auto reads = platform.endpointReads(ways[i]) - before[i];
        record("%s has read the endpoints %d times in 5 s.", fleet[i]->name.c_str(), reads);
        if (reads > most) {
            most = reads;
            reader = i;
        }
    }

    std::mutex mutex;
    std::map<std::string, reply> replies;
    std::map<std::string, std::size_t> takenBy;
    std::atomic<bool> isOver {false};
    std::atomic<int> open {0};
    std::thread clients([&] {
        for (std::size_t i = 0; !isOver; ++i) {
            ++open;
            std::thread([&, i] {
                const auto taker = i % fleet.size();
                auto got = call(fleet[taker]->host, "POST", "/puka111/2f", "jepu9.example", "pay", kDeadlineMs);
                const std::lock_guard lock(mutex);
                takenBy[got.id] = taker;
                replies[got.id] = std::move(got);
                --open;
            }).detach();
            pause(static_cast<int>(1000.0 / kPerSecond * (0.5 + uniform())));
        }
    });
    std::map<std::string, long> removedAt;
    for (int round = 0; round < kRounds; ++round) {
        pause(kBetweenMs);
        if (hasTrouble()) {
            record("%s is cut off from the store.", fleet[reader]->name.c_str());
            platform.cut(ways[reader], true);
            pause(kCutMs);
            platform.cut(ways[reader], false);
            record("%s reaches the store again.", fleet[reader]->name.c_str());
        } else {
            pause(kCutMs);
        }
        pause(kAfterMs);
        const auto leaving = endpoints.front();
        endpoints.erase(endpoints.begin());
        const auto &id = leaving->options().id;
        leaving->leave();
        registry.setState(id, "");
        platform.append("keyed.servers", id, std::nullopt);
        removedAt[id] = now();
        record("The store has acknowledged that %s is gone; it serves on for %d ms.", id.c_str(), kServesOnMs);
        pause(kServesOnMs);
        leaving->exit();
        ended.push_back(leaving);
        addEndpoint();
    }
    isOver = true;
    clients.join();
    while (open > 0) {
        pause(50);
    }
    int late = 0;
    int lateOfReader = 0;
    for (const auto &entry : runs.entries()) {
        const auto found = removedAt.find(entry.endpoint);
        if (found == removedAt.end() || entry.at <= found->second + kDrainMs) {
            continue;
        }
        const auto taker = takenBy[entry.request];
        (taker == reader ? lateOfReader : late) += 1;
        record("Late: request %s, sent to %s, reached %s %ld ms after its removal was acknowledged.",
               entry.request.c_str(),
               fleet[taker]->name.c_str(),
               entry.endpoint.c_str(),
               entry.at - found->second);
    }
    std::map<std::string, std::map<std::size_t, long>> last;
    for (const auto &entry : runs.entries()) {
        const auto found = removedAt.find(entry.endpoint);
        if (found != removedAt.end() && entry.at > found->second) {
            auto &one = last[entry.endpoint][takenBy[entry.request]];
            one = std::max(one, entry.at - found->second);
        }
    }
    for (const auto &[id, by] : last) {
        for (const auto &[taker, at] : by) {
            record("%s: last from %s %ld", id.c_str(), fleet[taker]->name.c_str(), at);
        }
    }
    std::map<int, int> counts;
    for (const auto &[id, got] : replies) {
        ++counts[got.status];
    }
    for (const auto &[status, count] : counts) {
        record("Answers with status %d: %d", status, count);
    }
    record(
        "Requests that reached an endpoint later than %d ms after its removal was acknowledged: %d from instances that were never cut off, %d from the other",
        kDrainMs,
        late,
        lateOfReader);
    finish(late > 0 ? 1 : 0);
}
