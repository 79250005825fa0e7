#include "../rig-2/rig.h"

#include <algorithm>

// An endpoint leaves the store without having reported that it drains, while calls wait for a slot. Counts the requests that it still gets later than
// drainMs after the store acknowledged the removal.
namespace
{

using namespace rig;

constexpr int kDrainMs = 3000;
constexpr int kDeadlineMs = 8000;
constexpr int kObjectiveMs = 3000;
constexpr int kWorkMs = 610;
constexpr int kEndpoints = 8;
constexpr std::size_t kLeaving = 2;
constexpr double kPerSecond = 44; // more than the endpoints can run
constexpr long kFirstMs = 12'000;
constexpr long kRoundMs = 11'000;
constexpr int kRounds = 7;
constexpr long kServesOnMs = 5'500;

} // namespace

int main(int argc, char **argv)
{
    setUp(argc > 1 ? argv[1] : "review/9", {{"dolac", "kontinent"}, {"trnje", "kontinent"}});
    const bounds limits {.drainMs = kDrainMs, .configMs = 3000, .graceS = 6, .memoryMb = 160, .budgetSlack = 222};
    store platform(host(200, 1), 8642);
    const auto storeAddress = host(200, 1) + ":8642";
    platform.append("keyed.op",
                    "config",
                    configText(3, {{"r-claim", "jepu9.example", "/puka111/", "upload", 0, kObjectiveMs, 1, 2, "claims-intake"}}, {"claims-intake"}, 1220));
    ledger runs;
    registration registry(platform);
    std::vector<std::shared_ptr<endpoint>> endpoints;
    std::vector<std::shared_ptr<endpoint>> ended; // kept, since their threads end later
    int made = 0;
    const auto addEndpoint = [&] {
        const auto address = host(20, 10 + made);
        endpoints.push_back(
            std::make_shared<endpoint>(endpoint_options {"i-" + std::to_string(made), "claims-intake", address, 8080, "dolac", 4, 8, kWorkMs}, runs));
        registry.add(endpoints.back());
        ++made;
    };
    for (int i = 0; i < kEndpoints; ++i) {
        addEndpoint();
    }
    std::vector<std::shared_ptr<instance>> fleet;
    for (int i = 0; i < 3; ++i) {
        fleet.push_back(std::make_shared<instance>("edge-dolac-" + std::to_string(i + 1),
                                                   host(1, 1 + i),
                                                   "dolac",
                                                   storeAddress,
                                                   std::vector {instance::peerOf(host(1, 1)), instance::peerOf(host(1, 2)), instance::peerOf(host(1, 3))},
                                                   limits));
        fleet.back()->start();
    }
    awaitReady(fleet);

    std::mutex mutex;
    std::vector<reply> replies;
    std::atomic<bool> isOver {false};
    std::atomic<int> open {0};
    const auto started = now();
    std::thread clients([&] {
        for (int i = 0; !isOver; ++i) {
            ++open;
            std::thread([&, i] {
                auto got = call(
                    fleet[static_cast<std::size_t>(i) % fleet.size()]->host, "POST", "/puka111/2f", "jepu9.example", std::string(60'000, 'p'), kDeadlineMs);
                const std::lock_guard lock(mutex);
                replies.push_back(std::move(got));
                --open;
            }).detach();
            pause(static_cast<int>(1000 / (kPerSecond) * (0.5 + uniform())));
        }
    });
    const auto pauseUntil = [&](long at) {
        pause(static_cast<int>(std::max(0L, started + at - now())));
    };

    std::map<std::string, long> removedAt;
    for (int round = 0; round < kRounds; ++round) {
        const auto roundStart = kFirstMs + round * kRoundMs;
        pauseUntil(roundStart);
        std::vector<std::shared_ptr<endpoint>> leaving;
        if (hasTrouble()) {
            leaving.assign(endpoints.begin(), endpoints.begin() + kLeaving);
            endpoints.erase(endpoints.begin(), endpoints.begin() + kLeaving);
        }
        for (const auto &one : leaving) {
            const auto &id = one->options().id;
            one->leave();
            registry.setState(id, "");
            platform.append("keyed.servers", id, std::nullopt);
            removedAt[id] = now();
            record("The store has acknowledged that %s is gone; it serves on for %ld ms.", id.c_str(), kServesOnMs);
        }
        pauseUntil(roundStart + kServesOnMs);
        for (const auto &one : leaving) {
            one->exit();
            record("%s has exited.", one->options().id.c_str());
            addEndpoint();
        }
        ended.insert(ended.end(), leaving.begin(), leaving.end());
    }
    pause(5'000);
    isOver = true;
    clients.join();
    while (open > 0) {
        pause(50);
    }

    std::map<std::string, long> sentAt;
    std::map<int, int> counts;
    for (const auto &got : replies) {
        sentAt[got.id] = got.sentAt;
        ++counts[got.status];
    }
    int late = 0;
    for (const auto &entry : runs.entries()) {
        const auto found = removedAt.find(entry.endpoint);
        if (found == removedAt.end() || entry.at <= found->second) {
            continue;
        }
        const auto after = entry.at - found->second;
        late += after > kDrainMs ? 1 : 0;
        record("%srequest %s reached %s %ld ms after its removal was acknowledged; its client had sent it %ld ms before.",
               after > kDrainMs ? "Late: " : "",
               entry.request.c_str(),
               entry.endpoint.c_str(),
               after,
               entry.at - sentAt[entry.request]);
    }
    for (const auto &[status, count] : counts) {
        record("Answers with status %d: %d", status, count);
    }
    record("Requests that reached an endpoint later than %d ms after its removal was acknowledged: %d", kDrainMs, late);
    finish(late > 0 ? 1 : 0);
}
