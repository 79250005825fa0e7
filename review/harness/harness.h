#pragma once

// Stand-ins for the cases in this folder: the platform's store, endpoints, clients, and the platform that starts and stops instances. Plain POSIX
// sockets and threads; all addresses are loopback addresses.

#include <netinet/in.h>
#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review
{

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Returns the time since the program's start in milliseconds.
std::int64_t nowMs();

void sleepUntilMs(std::int64_t time);

/// record.txt: one line an event, with its time. Thread safe.
class record
{
public:
    explicit record(const std::string &path);
    ~record();
    record(const record &) = delete;
    record &operator=(const record &) = delete;

    void line(const std::string &text);

private:
    std::mutex m_mutex;
    std::FILE *m_file;
};

/// Set once by main() before any thread runs.
extern record *theRecord;
void note(const std::string &text);
std::string format(const char *pattern, ...) __attribute__((format(printf, 1, 2)));

struct less_ignoring_case {
    bool operator()(const std::string &a, const std::string &b) const;
};

using field_map = std::map<std::string, std::string, less_ignoring_case>;

/// A message with its start line, fields and body.
struct message {
    std::string start;
    field_map fields;
    std::string body;

    std::string field(const std::string &name) const;
    /// Returns the second word of the start line: the target of a request, the status of an answer.
    std::string second() const;
};

enum class read_end {
    Whole,
    Closed, ///< The peer closed or reset the connection before the message was complete.
    TimedOut,
    Invalid,
};

/// A connection that reads and writes HTTP/1.1 messages. Used by one thread.
class connection
{
public:
    explicit connection(int fd);
    ~connection();
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    /// Connects from any loopback address; null when that fails within the timeout.
    static std::unique_ptr<connection> open(const std::string &address, milliseconds timeout);

    /// Returns whether all bytes were passed to the kernel.
    bool write(std::string_view bytes);
    /// Reads a message. deadlineMs: time by nowMs(); 0: none.
    read_end read(message &into, bool isAnswer, std::int64_t deadlineMs);
    /// Returns whether the peer has closed or reset the connection.
    bool isClosedByPeer() const;
    /// Returns whether bytes are unread or the peer has closed.
    bool isReadable() const;
    /// Closes with a reset.
    void reset();
    int fd() const
    {
        return m_fd;
    }
    std::string lastError; ///< Why the last read ended with Closed.

private:
    enum class fill_end { Read, End, TimedOut };
    fill_end fill(std::int64_t deadlineMs);

    int m_fd;
    std::string m_buffer;
};

/// Accepts connections at an address and runs the handler for each of them on a thread of its own.
class server
{
public:
    using handler = std::function<void(connection &)>;

    server(const std::string &address, handler run);
    ~server();
    server(const server &) = delete;
    server &operator=(const server &) = delete;

    bool isStopping() const
    {
        return m_isStopping;
    }

private:
    void acceptLoop();

    handler m_run;
    int m_fd;
    std::atomic<bool> m_isStopping {false};
    std::mutex m_mutex;
    std::map<int, std::weak_ptr<connection>> m_open;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

/// Returns the host part with a port that is free on all loopback addresses at this moment.
unsigned freePort();

/// Stand-in of the platform's store: keyed topics with one partition.
class store
{
public:
    explicit store(const std::string &address);
    ~store();

    std::uint64_t append(const std::string &topic, const std::string &key, const std::optional<std::string> &value);

private:
    struct entry {
        std::string key;
        std::optional<std::string> value;
    };

    void serve(connection &peer);
    std::string answer(const message &request);
    std::string newest(const std::string &topic, const std::string &after);
    std::string read(const std::string &topic, std::uint64_t from, milliseconds wait, const std::string &maxKb);

    std::mutex m_mutex;
    std::condition_variable m_appended;
    std::map<std::string, std::vector<entry>> m_topics;
    std::atomic<bool> m_isStopping {false};
    std::unique_ptr<server> m_server;
};

/// How an endpoint handles one request that it runs.
struct work_plan {
    milliseconds time {0};
    int status = 200;
    bool hangs = false; ///< Never answers; ends when the connection closes.
    std::string body = "done\n";
};

struct endpoint_options {
    std::string id;
    std::string address;
    std::string service;
    std::string zone;
    unsigned slots = 4;
    unsigned queue = 8;
    bool reportsLoad = true; ///< Adds Server-Load to its answers; the health check is then answered at once, else it waits for a slot.
    std::function<work_plan(const message &)> plan;
};

/// One request that an endpoint has run.
struct run_entry {
    std::string requestId;
    std::string endpoint;
    std::int64_t arrivedMs = 0;
    std::int64_t startedMs = 0;
    std::int64_t endedMs = 0; ///< 0: still at work.
    std::string end;
};

/// Stand-in of a sound endpoint with its entry in the store, which it writes again every 1.5 s.
class endpoint
{
public:
    endpoint(endpoint_options options, store &registry);
    ~endpoint();

    /// Returns all requests that were run so far.
    std::vector<run_entry> runs() const;

private:
    void serve(connection &peer);
    void serveCall(connection &peer, const message &request);
    bool serveHealth(connection &peer);
    bool waitForSlot(const connection &peer, std::int64_t deadlineMs);
    std::string loadField();
    void heartbeatLoop();

    endpoint_options m_options;
    store &m_store;
    mutable std::mutex m_mutex;
    std::condition_variable m_slotFreed;
    unsigned m_running = 0;
    unsigned m_waiting = 0;
    std::vector<run_entry> m_runs;
    std::atomic<bool> m_isStopping {false};
    std::int64_t m_born;
    std::thread m_heartbeats;
    std::unique_ptr<server> m_server;
};

/// Values for the template of the settings: scalars, lists and tables.
struct value {
    std::string text;
    std::vector<std::pair<std::string, value>> parts; ///< Entries of a list or table; the key of a list entry is its index.
};

/// Renders the template as the deployment page describes: values, list and table sections, inverted sections.
std::string render(const std::string &text, const value &fields);

struct deployment {
    std::string storeAddress;
    std::string region = "north-tw";
    std::string zone = "taipei-a";
    std::vector<std::string> hosts; ///< One loopback address for each instance.
    unsigned basePort = 0; ///< Ports of the instances: front, ready, control, directory, admin follow each other.
    std::vector<std::pair<std::string, std::string>> parameters;

    std::string front(std::size_t index) const
    {
        return hosts[index] + ":" + std::to_string(basePort);
    }
    std::string ready(std::size_t index) const
    {
        return hosts[index] + ":" + std::to_string(basePort + 1);
    }
    std::string directory(std::size_t index) const
    {
        return hosts[index] + ":" + std::to_string(basePort + 3);
    }
};

/// Finds a base port so that eight ports from it are free on all hosts.
unsigned freeBasePort(const std::vector<std::string> &hosts);

/// Starts and stops one instance with the command of the deploy file.
class instance
{
public:
    /// folder: for the settings file and the log.
    instance(const deployment &where, std::size_t index, const std::string &folder);
    ~instance();
    instance(const instance &) = delete;
    instance &operator=(const instance &) = delete;

    void start(bool isFirst);
    void signal(int number) const;
    /// Waits for the end of the process until a time by nowMs(); returns whether it has ended.
    bool waitForEnd(std::int64_t untilMs);
    bool isReady() const;
    std::string logPath() const
    {
        return m_log;
    }
    std::size_t index() const
    {
        return m_index;
    }

private:
    const deployment &m_where;
    std::size_t m_index;
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = -1;
    int m_status = 0;
};

/// From now on, a signal that ends this program ends all instances first. Call before any is started.
void endInstancesOnSignal();

/// Waits until all instances answer 200 at their ready pages; returns whether they did.
bool waitUntilReady(const std::vector<std::unique_ptr<instance>> &instances, milliseconds timeout);

/// Returns the addresses that the directory of an instance hands out, and their lifetime; nothing when it doesn't answer within a second.
struct directory_page {
    std::vector<std::string> addresses;
    double lifetimeS = 0;
};
std::optional<directory_page> resolve(const std::string &directory, const std::string &host, const std::string &region, const std::string &zone);

enum class call_end {
    Answered, ///< A complete answer.
    Cut, ///< The connection ended without a complete answer.
    Deadline, ///< The client has waited for its whole time.
    NotSent, ///< The connection ended or failed before the whole request was passed to the kernel.
};

struct call_result {
    std::string requestId;
    std::string address;
    bool onKeptConnection = false;
    std::int64_t sentMs = 0; ///< When the last byte was passed to the kernel.
    std::int64_t endedMs = 0;
    call_end end = call_end::NotSent;
    int status = 0;
    bool isSigned = false;
    std::string detail;
};

struct call_request {
    std::string method = "GET";
    std::string host;
    std::string path;
    std::string requestId;
    milliseconds timeout {1500};
    std::string body;
};

/// Sends the request on the connection and waits for the answer.
call_result sendCall(connection &peer, const call_request &request);

/// Returns whether the client may send another request on the connection: the answer didn't ask to close.
std::string nextRequestId();

/// Reads an environment variable TROUBLE; true unless it is "0".
bool hasTrouble();

std::string readFile(const std::string &path);
std::string makeFolder();
void removeFolder(const std::string &path);

} // namespace review
