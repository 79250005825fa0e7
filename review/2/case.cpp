// The queue for an endpoint's slot is full while no slot is freed: the call that is last in it is dropped, joins it again at once, and the gateway
// thread does nothing else until that call's time is up. All calls of the instance wait, those of other services too.

#include "../harness/harness.h"

#include <algorithm>
#include <csignal>

using namespace review;

namespace
{

constexpr const char *kHost = "hulo84.example";
constexpr milliseconds kUploadDeadline {8000}; // of site-upload in the grown deployment, whose route sets no time limit
constexpr milliseconds kReadDeadline {1500}; // of quote-read
constexpr std::int64_t kReadTimeoutMs = 800; // of quote-read
constexpr std::int64_t kLateMs = 500; // of the rule
constexpr unsigned kUploadThreads = 800;
constexpr unsigned kReadThreads = 60;
constexpr double kUploadsPerSecond = 90;
constexpr double kReadsPerSecond = 20;
constexpr std::int64_t kCrashAtMs = 8'000; // after the start of traffic
constexpr std::int64_t kEntryLifetimeMs = 4'500; // three heartbeats
constexpr std::int64_t kTrafficMs = 30'000;
constexpr std::size_t kUploadBytes = 2000;

// Gives out the times of calls at a steady mean rate, whatever the calls take. Thread safe.
class schedule
{
public:
    schedule(double perSecond, unsigned seed)
        : m_random(seed)
        , m_pause(perSecond / 1000)
    {
    }

    std::int64_t next()
    {
        const std::lock_guard lock(m_mutex);
        m_last = std::max(m_last, static_cast<double>(nowMs())) + m_pause(m_random);
        return static_cast<std::int64_t>(m_last);
    }

private:
    std::mutex m_mutex;
    std::mt19937 m_random;
    std::exponential_distribution<double> m_pause;
    double m_last = 0;
};

struct shared {
    deployment where;
    std::int64_t traffic = 0; ///< Start of traffic.
    schedule uploads {kUploadsPerSecond, 1};
    schedule reads {kReadsPerSecond, 2};
    std::mutex mutex;
    std::vector<std::pair<bool, call_result>> results; ///< Whether the call was a read, and its result.
};

void makeCalls(shared &all, unsigned seed, bool isRead)
{
    std::unique_ptr<connection> kept;
    std::int64_t keptSince = 0;
    while (true) {
        const auto next = (isRead ? all.reads : all.uploads).next();
        if (next > all.traffic + kTrafficMs) {
            return;
        }
        sleepUntilMs(next);
        if (kept && (kept->isReadable() || nowMs() - keptSince > 12'000)) {
            kept.reset();
        }
        const bool isKept = kept != nullptr;
        if (!isKept) {
            kept = connection::open(all.where.front(0), milliseconds(1000));
        }
        if (!kept) {
            note(format("client %u: no connection within a second", seed));
            continue;
        }
        const call_request request {.method = isRead ? "GET" : "POST",
                                    .host = kHost,
                                    .path = isRead ? "/leny950/2f" : "/cufi502/2f",
                                    .requestId = nextRequestId(),
                                    .timeout = isRead ? kReadDeadline : kUploadDeadline,
                                    .body = std::string(isRead ? 0 : kUploadBytes, 'x')};
        note(format("client %u: request %s %s%s", seed, request.requestId.c_str(), request.path.c_str(), isKept ? " on a kept connection" : ""));
        auto result = sendCall(*kept, request);
        result.onKeptConnection = isKept;
        static const char *const ends[] = {"answered", "connection ended without an answer", "deadline", "not sent"};
        note(format("client %u: request %s %s, status %d, after %ld ms (%s)",
                    seed,
                    request.requestId.c_str(),
                    ends[static_cast<int>(result.end)],
                    result.status,
                    static_cast<long>(result.endedMs - result.sentMs),
                    result.detail.c_str()));
        keptSince = nowMs();
        if (result.end != call_end::Answered || result.detail == "close") {
            kept.reset();
        }
        const std::lock_guard lock(all.mutex);
        all.results.emplace_back(isRead, result);
    }
}

int run(const std::string &folder)
{
    const bool trouble = hasTrouble();
    shared all;
    all.where.hosts = {"127.61.0.1"};
    all.where.basePort = freeBasePort({"127.61.0.1", "127.62.0.1", "127.63.0.1", "127.63.0.2", "127.63.0.3"});
    const auto port = ":" + std::to_string(all.where.basePort);
    all.where.storeAddress = "127.62.0.1" + port;
    all.where.parameters = {{"graceS", "6"},
                            {"drainMs", "3000"},
                            {"configMs", "3000"},
                            {"probesPerS", "60"},
                            {"budgetRatio", "0.2"},
                            {"budgetSlack", "222"},
                            {"budgetWindowS", "10"}};
    store metadata(all.where.storeAddress);
    metadata.append("keyed.op",
                    "config",
                    format(R"({"version":7,"routes":{"columns":["name","host","pathPrefix","type","timeoutMs","targetLatencyMs","priority",)"
                           R"("weightedServices","maxAttempts","service"],"rows":[["r-1","%s","/cufi502/","upload",null,1500,1,null,2,"vault"],)"
                           R"(["r-2","%s","/leny950/","safe",%ld,250,2,null,2,"quotes"]]},)"
                           R"("services":{"columns":["name","healthPath","maxConns"],"rows":[["vault","/healthz",960],["quotes","/healthz",960]]},)"
                           R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})",
                           kHost,
                           kHost,
                           static_cast<long>(kReadTimeoutMs)));
    const auto plan = [](const message &) {
        return work_plan {.time = milliseconds(90)};
    };
    auto vault = std::make_unique<endpoint>(
        endpoint_options {.id = "i-1", .address = "127.63.0.1" + port, .service = "vault", .zone = all.where.zone, .slots = 16, .queue = 32, .plan = plan},
        metadata);
    std::vector<std::unique_ptr<endpoint>> quotes;
    for (int i = 2; i <= 3; ++i) {
        quotes.push_back(std::make_unique<endpoint>(
            endpoint_options {
                .id = format("i-%d", i), .address = format("127.63.0.%d%s", i, port.c_str()), .service = "quotes", .zone = all.where.zone, .plan = plan},
            metadata));
    }
    std::vector<std::unique_ptr<instance>> instances;
    instances.push_back(std::make_unique<instance>(all.where, 0, folder));
    instances.back()->start(true);
    if (!waitUntilReady(instances, milliseconds(15'000))) {
        std::fprintf(stderr, "the instance did not become ready\n");
        return 2;
    }
    sleepUntilMs(nowMs() + 2000);
    all.traffic = nowMs();
    std::vector<std::thread> clients;
    for (unsigned i = 0; i < kUploadThreads + kReadThreads; ++i) {
        clients.emplace_back([&all, i] {
            makeCalls(all, i, i >= kUploadThreads);
        });
    }
    const auto crashAt = all.traffic + kCrashAtMs;
    sleepUntilMs(crashAt);
    if (trouble) {
        note("endpoint i-1 crashes, and doesn't come back");
        vault.reset();
        sleepUntilMs(crashAt + kEntryLifetimeMs);
        metadata.append("keyed.servers", "i-1", std::nullopt);
    }
    for (auto &client : clients) {
        client.join();
    }
    // Of the reads that are still unanswered at their route's time limit: those without an answer half a second later. The uploads' route has no limit.
    int unanswered = 0;
    int late = 0;
    int reads = 0;
    int readsServed = 0;
    int uploads = 0;
    int uploadsAnswered = 0;
    for (const auto &[isRead, result] : all.results) {
        const bool isAnswered = result.end == call_end::Answered;
        const auto time = result.endedMs - result.sentMs;
        if (!isRead) {
            ++uploads;
            uploadsAnswered += isAnswered ? 1 : 0;
            continue;
        }
        ++reads;
        readsServed += isAnswered && result.status == 200 ? 1 : 0;
        unanswered += time > kReadTimeoutMs || !isAnswered ? 1 : 0;
        late += time > kReadTimeoutMs + kLateMs || !isAnswered ? 1 : 0;
    }
    const auto summary = format("uploads %d, of these answered %d; reads of the other service %d, of these served %d, unanswered at the route's time limit %d, "
                                "without an answer half a second later %d",
                                uploads,
                                uploadsAnswered,
                                reads,
                                readsServed,
                                unanswered,
                                late);
    note(summary);
    std::printf("%s\n", summary.c_str());
    return late * 2 > unanswered ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    endInstancesOnSignal();
    record file(argc > 1 ? argv[1] : "record.txt");
    theRecord = &file;
    const auto folder = makeFolder();
    const int result = folder.empty() ? 2 : run(folder);
    removeFolder(folder);
    return result;
}
