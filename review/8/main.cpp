#include "../rig-2/rig.h"

#include <algorithm>

// The store comes back from a copy some seconds old, in which offsets are lower. Later, when the store has been stable for contactMs, an endpoint leaves:
// its entry is removed. Counts the requests that it still gets later than drainMs after that.
namespace
{

using namespace rig;

constexpr int kContactMs = 4000;
constexpr int kDrainMs = 2500;
constexpr int kDeadlineMs = 2000;
constexpr int kCopyAgeMs = 8000;
constexpr int kAwayMs = 500;
constexpr int kEndpoints = 5;
constexpr int kPerSecond = 130;
constexpr int kServesOnMs = 6000;

} // namespace

int main(int argc, char **argv)
{
    setUp(argc > 1 ? argv[1] : "review/8", {{"taipei-a", "north-tw"}, {"taoyuan-b", "north-tw"}});
    const bounds limits {};
    store platform(host(200, 1), 8642);
    platform.append("keyed.op", "config", configText(3, {{"r-pay", "jepu9.example", "/puka111/", "unsafe", 1000, 300, 1, 2, "ledger"}}, {"ledger"}, 260));
    ledger runs;
    registration registry(platform);
    std::vector<std::shared_ptr<endpoint>> endpoints;
    for (int i = 0; i < kEndpoints; ++i) {
        endpoints.push_back(std::make_shared<endpoint>(
            endpoint_options {"i-" + std::to_string(i), "ledger", host(20, 10 + i), 8080, i % 2 == 0 ? "taipei-a" : "taoyuan-b", 4, 8, 120}, runs));
        registry.add(endpoints.back());
    }
    std::vector<std::shared_ptr<instance>> fleet;
    for (int i = 0; i < 4; ++i) {
        const std::string zone = i % 2 == 0 ? "taipei-a" : "taoyuan-b";
        fleet.push_back(std::make_shared<instance>("edge-" + zone + "-" + std::to_string(i / 2 + 1),
                                                   host(1, 1 + i),
                                                   zone,
                                                   host(200, 1) + ":8642",
                                                   std::vector {instance::peerOf(host(1, 1)), instance::peerOf(host(1, 2)), instance::peerOf(host(1, 3))},
                                                   limits));
        fleet.back()->start();
    }
    awaitReady(fleet);

    std::mutex mutex;
    std::vector<reply> replies;
    std::atomic<bool> isOver {false};
    std::atomic<int> open {0};
    std::thread clients([&] {
        for (int i = 0; !isOver; ++i) {
            ++open;
            std::thread([&, i] {
                auto got = call(fleet[static_cast<std::size_t>(i) % fleet.size()]->host, "POST", "/puka111/2f", "jepu9.example", "pay", kDeadlineMs);
                const std::lock_guard lock(mutex);
                replies.push_back(std::move(got));
                --open;
            }).detach();
            pause(static_cast<int>(1000.0 / kPerSecond * (0.5 + uniform())));
        }
    });

    pause(8'000);
    const auto copy = platform.copy();
    record("The copy of the store is taken: %lu records of endpoints.", static_cast<unsigned long>(copy.at("keyed.servers")));
    pause(kCopyAgeMs);
    if (hasTrouble()) {
        record("The store goes away at %lu records of endpoints.", static_cast<unsigned long>(platform.end("keyed.servers")));
        platform.goAway();
        pause(kAwayMs);
        platform.comeBackFrom(copy);
        record("The store is back from the copy. Endpoints go on writing their entries, each within 1.5 s.");
    }
    pause(kContactMs + 300);
    const auto &leaving = endpoints.front();
    leaving->leave();
    registry.setState(leaving->options().id, "");
    const auto offset = platform.append("keyed.servers", leaving->options().id, std::nullopt);
    const auto removedAt = now();
    record("The store, stable for %d ms, has acknowledged at offset %lu that %s is gone; it serves on for %d ms.",
           kContactMs + 300,
           static_cast<unsigned long>(offset),
           leaving->options().id.c_str(),
           kServesOnMs);
    pause(kServesOnMs);
    leaving->exit();
    record("%s has exited.", leaving->options().id.c_str());
    pause(4'000);
    isOver = true;
    clients.join();
    while (open > 0) {
        pause(50);
    }

    std::map<std::string, run_entry> runOf;
    int late = 0;
    for (const auto &entry : runs.entries()) {
        if (entry.endpoint == leaving->options().id && entry.at > removedAt + kDrainMs) {
            ++late;
            record(
                "Late: request %s reached %s %ld ms after its removal was acknowledged.", entry.request.c_str(), entry.endpoint.c_str(), entry.at - removedAt);
        }
        runOf[entry.request] = entry;
    }
    std::map<int, int> counts;
    int lost = 0;
    for (const auto &got : replies) {
        ++counts[got.status];
        const auto found = runOf.find(got.id);
        lost += found != runOf.end() && found->second.endpoint == leaving->options().id && !found->second.isWhole && got.status != 200 ? 1 : 0;
    }
    for (const auto &[status, count] : counts) {
        record("Answers with status %d: %d", status, count);
    }
    record("Requests that were at work at the endpoint when it exited, and got no answer from it: %d", lost);
    record("Requests that reached the endpoint later than %d ms after its removal was acknowledged: %d", kDrainMs, late);
    finish(late > 0 ? 1 : 0);
}
