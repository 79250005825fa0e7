#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

/// Stand-ins of the store, the endpoints and the clients, and the start of instances with the commands of the deploy file. All run in one process with
/// one thread for each connection. A case is a program that uses them.
namespace rig
{

using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

/// Milliseconds since the program started.
long now();

/// Appends a line with the time to record.txt. Thread safe.
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/// Opens record.txt in the folder.
void openRecord(const std::string &folder);

/// Whether the case runs with its disruption.
bool hasTrouble();

/// Returns an address host of this run, in a part of the loopback network that no other run uses: 127.N.a.b.
std::string host(int a, int b);

struct message {
    std::string start; ///< First line without its end.
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool isWhole = false; ///< The body arrived to its announced end.

    std::string field(const std::string &name) const;
    bool has(const std::string &name) const;
    int status() const;
};

/// A connected socket with a read buffer. Used on one thread, except shutdown().
class connection
{
public:
    explicit connection(int fd);
    ~connection();
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    /// Returns a connection, or null when none is made in time.
    static std::unique_ptr<connection> open(const std::string &host, int port, int timeoutMs);

    bool send(const std::string &bytes);

    /// Reads a request or an answer. Returns nothing when the connection ends or the time passes before its head is complete.
    std::optional<message> read(int timeoutMs, bool isAnswer);

    /// Returns whether the peer has closed or reset the connection.
    bool isGone();

    void reset();
    void shutdown();

    int fd;

private:
    bool fill(steady::time_point until);

    std::string m_buffer;
};

/// Accepts connections and runs a handler on a thread of its own for each.
class server
{
public:
    using handler = std::function<void(connection &)>;

    server(std::string host, int port, handler serve);
    ~server();

    /// Closes the listening socket and all connections, as the end of a process does.
    void close();

private:
    void run();

    int m_listener;
    handler m_serve;
    std::mutex m_mutex;
    std::list<std::shared_ptr<connection>> m_open;
    std::thread m_thread;
    std::atomic<bool> m_isClosed {false};
};

struct store_record {
    std::string key;
    std::optional<std::string> value;
};

/// The platform's store: topics with one partition each. Its answers are linearizable.
class store
{
public:
    store(const std::string &host, int port);

    /// Appends a record, and returns its offset.
    std::uint64_t append(const std::string &topic, const std::string &key, const std::optional<std::string> &value);

    std::uint64_t end(const std::string &topic);

    /// Serves at one more address too, as the way of one instance to the store. Returns its number.
    std::size_t addWay(const std::string &host, int port);

    /// Cuts a way: open connections on it are reset, and so are new ones, until it is mended.
    void cut(std::size_t way, bool isCut);

    /// Returns how often the entries of the endpoints were read on a way.
    int endpointReads(std::size_t way) const;

    /// Goes away: open connections are reset, and so are new ones.
    void goAway();

    /// Comes back, with each topic cut to the offset that it had at the time of the copy.
    void comeBackFrom(const std::map<std::string, std::uint64_t> &copy);

    /// Returns the end offsets of all topics.
    std::map<std::string, std::uint64_t> copy();

    bool isAway() const
    {
        return m_isAway;
    }

private:
    /// A way to the store.
    struct way {
        std::atomic<bool> isCut {false};
        std::atomic<int> endpointReads {0};
        std::unique_ptr<server> door;
    };

    void serve(connection &peer, way &from);
    std::string answer(const message &request, connection &peer, const way &from);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<store_record>> m_topics;
    std::atomic<bool> m_isAway {false};
    std::atomic<int> m_era {1};
    std::vector<std::unique_ptr<way>> m_ways;
};

/// One run of a request at an endpoint.
struct run_entry {
    long at = 0; ///< When it began.
    std::string request; ///< Request-Id.
    std::string endpoint;
    bool isWhole = false; ///< It ran to its end.
};

/// Requests that endpoints have run, and those that arrived. Thread safe.
class ledger
{
public:
    std::size_t began(const std::string &request, const std::string &endpoint);
    void ended(std::size_t entry);
    std::vector<run_entry> entries();

private:
    std::mutex m_mutex;
    std::vector<run_entry> m_entries;
};

struct endpoint_options {
    std::string id;
    std::string service;
    std::string host;
    int port = 0;
    std::string zone;
    int slots = 4;
    int queue = 8;
    int workMs = 100;
    double spread = 0.3; ///< Work takes workMs x (1 - spread) to workMs x (1 + spread).
};

/// A back end: runs requests in slots, queues a few more, and sheds the rest.
class endpoint
{
public:
    endpoint(endpoint_options options, ledger &runs);

    /// Ends as a process does: connections close and no answer is sent any more.
    void exit();

    /// From now on its health check says that it leaves; it goes on serving.
    void leave()
    {
        m_isLeaving = true;
    }

    /// Returns the record that it writes to the store.
    std::string entry(const std::string &state);

    const endpoint_options &options() const
    {
        return m_options;
    }
    long exitedAt() const
    {
        return m_exitedAt;
    }
    int running() const
    {
        return m_running;
    }

    /// Called after an answer was written; may write more bytes. Set before the first connection.
    std::function<void(connection &, const message &request, const std::string &answer)> afterAnswer;

private:
    void serve(connection &peer);
    std::string load();

    endpoint_options m_options;
    ledger &m_runs;
    std::mutex m_mutex;
    std::condition_variable m_freed;
    std::atomic<int> m_running {0};
    std::atomic<int> m_waiting {0};
    std::atomic<long> m_exitedAt {-1};
    std::atomic<bool> m_isLeaving {false};
    std::atomic<std::uint64_t> m_sequence {0};
    std::uint64_t m_born;
    std::unique_ptr<server> m_server;
};

/// Writes the entries of endpoints each 1.5 s, as they do themselves.
class registration
{
public:
    explicit registration(store &target);
    ~registration();

    void add(const std::shared_ptr<endpoint> &one);

    /// From now on the endpoint's entries have this state; empty: it writes none any more.
    void setState(const std::string &id, const std::string &state);

    /// Writes the entry now.
    std::uint64_t write(const std::string &id);

private:
    struct item {
        std::shared_ptr<endpoint> one;
        std::string state;
        steady::time_point due;
    };

    void run();

    store &m_store;
    std::mutex m_mutex;
    std::map<std::string, item> m_items;
    std::atomic<bool> m_isEnded {false};
    std::thread m_thread;
};

struct bounds {
    int drainMs = 2500;
    int configMs = 2500;
    int graceS = 6;
    int memoryMb = 260;
    int maxFds = 4100;
    double budgetRatio = 0.2;
    int budgetSlack = 62;
    int probesPerS = 60;
};

/// An instance: the program of the deploy file with the settings of platform/settings.yaml.
class instance
{
public:
    /// seeds: peer addresses of the others.
    instance(std::string name, std::string host, std::string zone, std::string storeAddress, std::vector<std::string> seeds, const bounds &limits);
    ~instance();

    void start();
    void signal(int number);

    /// Waits for the end of the process and returns its status, or nothing when it still runs.
    std::optional<int> wait(int timeoutMs);

    bool isReady();
    bool isRunning();

    /// Returns the largest resident memory so far, in KB.
    long peakMemoryKb() const;
    /// Returns the resident memory, in KB; 0: the process has ended.
    long memoryKb() const;

    static std::string peerOf(const std::string &host)
    {
        return host + ":8649";
    }

    std::string name;
    std::string host;
    std::string zone;
    static constexpr int kFront = 8641;
    static constexpr int kReady = 8640;
    static constexpr int kDirectory = 8644;
    pid_t pid = -1;

private:
    std::string m_storeAddress;
    std::vector<std::string> m_seeds;
    bounds m_limits;
    std::string m_folder;
    bool m_isFirst = true;
};

/// Sets the zones of the deployment and the temporary folder of the run. Called first.
void setUp(const std::string &caseFolder, const std::map<std::string, std::string> &zones);

/// Waits until all instances are ready. Ends the program with 2 if they do not become so.
void awaitReady(const std::vector<std::shared_ptr<instance>> &instances);

/// Ends all instances, and the program with this code: 0 held, 1 broken, 2 could not run.
[[noreturn]] void finish(int code);

struct reply {
    int status = 0; ///< 0: none.
    message answer;
    long sentAt = 0;
    long endedAt = 0;
    std::string id;
};

/// Returns a request id that no other request has.
std::string newRequestId();

/// Sends a request on a new connection and waits for its answer.
reply call(const std::string &host, const std::string &method, const std::string &path, const std::string &hostName, const std::string &body, int timeoutMs);

struct route_row {
    std::string name;
    std::string host;
    std::string prefix;
    std::string type;
    int timeoutMs; ///< 0: none.
    int targetLatencyMs;
    int priority;
    int maxAttempts;
    std::string service;
};

/// Returns a configuration as the operator writes it.
std::string configText(int version, const std::vector<route_row> &routes, const std::vector<std::string> &services, int maxConns);

double uniform();

void pause(int milliseconds);

} // namespace rig
