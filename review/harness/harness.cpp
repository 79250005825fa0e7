#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace review
{

record *theRecord = nullptr;

namespace
{

std::array<std::atomic<pid_t>, 16> runningInstances; // process ids; 0: free

void rememberInstance(pid_t pid)
{
    for (auto &entry : runningInstances) {
        pid_t none = 0;
        if (entry.compare_exchange_strong(none, pid)) {
            return;
        }
    }
}

void forgetInstance(pid_t pid)
{
    for (auto &entry : runningInstances) {
        pid_t known = pid;
        entry.compare_exchange_strong(known, 0);
    }
}

void endInstancesAndExit(int /*number*/)
{
    for (const auto &entry : runningInstances) {
        if (entry.load() > 0) {
            kill(entry.load(), SIGKILL);
        }
    }
    _exit(2);
}

const steady::time_point kStart = steady::now();
constexpr std::size_t kReadBytes = 65536;

sockaddr_in toSocketAddress(const std::string &address)
{
    sockaddr_in result {};
    const auto colon = address.rfind(':');
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

std::string lower(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

std::string base64(const std::string &bytes)
{
    static const char *const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = (group << 8U) | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            out += i + j > bytes.size() ? '=' : digits[(group >> (18 - 6 * j)) & 63U];
        }
    }
    return out;
}

std::string bigEndian(std::uint64_t number, int bytes)
{
    std::string out;
    for (int i = bytes - 1; i >= 0; --i) {
        out += static_cast<char>((number >> (8U * static_cast<unsigned>(i))) & 255U);
    }
    return out;
}

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    const auto mark = target.find('?');
    std::istringstream text(mark == std::string::npos ? "" : target.substr(mark + 1));
    for (std::string part; std::getline(text, part, '&');) {
        const auto equals = part.find('=');
        query[part.substr(0, equals)] = equals == std::string::npos ? "" : part.substr(equals + 1);
    }
    return query;
}

std::string httpAnswer(int status, const std::string &type, const std::string &body)
{
    return format("HTTP/1.1 %d X\r\nContent-Type: %s\r\nContent-Length: %zu\r\n\r\n", status, type.c_str(), body.size()) + body;
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - kStart).count();
}

void sleepUntilMs(std::int64_t time)
{
    std::this_thread::sleep_until(kStart + milliseconds(time));
}

record::record(const std::string &path)
    : m_file(std::fopen(path.c_str(), "w"))
{
}

record::~record()
{
    if (m_file != nullptr) {
        std::fclose(m_file);
    }
}

void record::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    if (m_file != nullptr) {
        std::fprintf(m_file, "%9.3f %s\n", static_cast<double>(nowMs()) / 1000, text.c_str());
        std::fflush(m_file);
    }
}

void note(const std::string &text)
{
    if (theRecord != nullptr) {
        theRecord->line(text);
    }
}

std::string format(const char *pattern, ...)
{
    char text[4096];
    va_list arguments;
    va_start(arguments, pattern);
    std::vsnprintf(text, sizeof text, pattern, arguments);
    va_end(arguments);
    return text;
}

bool less_ignoring_case::operator()(const std::string &a, const std::string &b) const
{
    return strcasecmp(a.c_str(), b.c_str()) < 0;
}

std::string message::field(const std::string &name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
}

std::string message::second() const
{
    const auto first = start.find(' ');
    const auto next = start.find(' ', first + 1);
    return first == std::string::npos ? "" : start.substr(first + 1, next - first - 1);
}

connection::connection(int fd)
    : m_fd(fd)
{
    const int on = 1;
    setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

connection::~connection()
{
    close(m_fd);
}

std::unique_ptr<connection> connection::open(const std::string &address, milliseconds timeout)
{
    const auto target = toSocketAddress(address);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0) {
        return nullptr;
    }
    bool isOpen = connect(fd, reinterpret_cast<const sockaddr *>(&target), sizeof target) == 0;
    if (!isOpen && errno == EINPROGRESS) {
        pollfd wait {fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        isOpen = poll(&wait, 1, static_cast<int>(timeout.count())) == 1 && getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
    }
    if (!isOpen) {
        close(fd);
        return nullptr;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return std::make_unique<connection>(fd);
}

bool connection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto count = send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

connection::fill_end connection::fill(std::int64_t deadlineMs)
{
    const auto left = deadlineMs == 0 ? -1 : std::max<std::int64_t>(0, deadlineMs - nowMs());
    pollfd wait {m_fd, POLLIN, 0};
    if (poll(&wait, 1, static_cast<int>(left)) == 0) {
        return fill_end::TimedOut;
    }
    char bytes[kReadBytes];
    const auto count = recv(m_fd, bytes, sizeof bytes, 0);
    if (count > 0) {
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return fill_end::Read;
    }
    lastError = count == 0 ? "closed" : std::strerror(errno);
    return fill_end::End;
}

read_end connection::read(message &into, bool isAnswer, std::int64_t deadlineMs)
{
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        switch (fill(deadlineMs)) {
        case fill_end::Read:
            break;
        case fill_end::End:
            return read_end::Closed;
        case fill_end::TimedOut:
            return read_end::TimedOut;
        }
    }
    into = {};
    std::istringstream head(m_buffer.substr(0, end));
    m_buffer.erase(0, end + 4);
    std::getline(head, into.start);
    while (!into.start.empty() && into.start.back() == '\r') {
        into.start.pop_back();
    }
    for (std::string line; std::getline(head, line);) {
        while (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            return read_end::Invalid;
        }
        auto text = line.substr(colon + 1);
        text.erase(0, text.find_first_not_of(" \t"));
        into.fields[line.substr(0, colon)] = text;
    }
    const auto more = [&]() -> std::optional<read_end> {
        switch (fill(deadlineMs)) {
        case fill_end::Read:
            return std::nullopt;
        case fill_end::End:
            return read_end::Closed;
        case fill_end::TimedOut:
            break;
        }
        return read_end::TimedOut;
    };
    if (lower(into.field("Transfer-Encoding")) == "chunked") {
        while (true) {
            std::size_t line = 0;
            while ((line = m_buffer.find("\r\n")) == std::string::npos) {
                if (const auto failed = more()) {
                    return *failed;
                }
            }
            const auto size = std::strtoul(m_buffer.c_str(), nullptr, 16);
            while (m_buffer.size() < line + 2 + size + 2) {
                if (const auto failed = more()) {
                    return *failed;
                }
            }
            into.body += m_buffer.substr(line + 2, size);
            m_buffer.erase(0, line + 2 + size + 2);
            if (size == 0) {
                return read_end::Whole;
            }
        }
    }
    const auto length = into.field("Content-Length");
    if (length.empty() && isAnswer) {
        return read_end::Invalid; // the gateway always frames the answers of these endpoints
    }
    const auto size = length.empty() ? 0 : std::stoul(length);
    while (m_buffer.size() < size) {
        if (const auto failed = more()) {
            return *failed;
        }
    }
    into.body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return read_end::Whole;
}

bool connection::isClosedByPeer() const
{
    char byte = 0;
    const auto count = recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool connection::isReadable() const
{
    pollfd wait {m_fd, POLLIN, 0};
    return !m_buffer.empty() || poll(&wait, 1, 0) != 0;
}

void connection::reset()
{
    const linger now {1, 0};
    setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    shutdown(m_fd, SHUT_RDWR);
}

server::server(const std::string &address, handler run)
    : m_run(std::move(run))
    , m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const auto at = toSocketAddress(address);
    const int on = 1;
    setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(m_fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) != 0 || listen(m_fd, 512) != 0) {
        std::fprintf(stderr, "cannot listen at %s\n", address.c_str());
        std::exit(2);
    }
    m_acceptor = std::thread([this] {
        acceptLoop();
    });
}

server::~server()
{
    m_isStopping = true;
    shutdown(m_fd, SHUT_RDWR);
    m_acceptor.join();
    close(m_fd);
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[number, open] : m_open) {
            if (const auto peer = open.lock()) {
                shutdown(peer->fd(), SHUT_RDWR);
            }
        }
    }
    for (auto &thread : m_threads) {
        thread.join();
    }
}

void server::acceptLoop()
{
    for (int number = 0; !m_isStopping; ++number) {
        const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            if (m_isStopping || (errno != ECONNABORTED && errno != EINTR && errno != EMFILE)) {
                return;
            }
            continue;
        }
        auto peer = std::make_shared<connection>(fd);
        const std::lock_guard lock(m_mutex);
        m_open[number] = peer;
        m_threads.emplace_back([this, peer, number]() mutable {
            m_run(*peer);
            const std::lock_guard ended(m_mutex);
            m_open.erase(number);
            peer.reset();
        });
    }
}

unsigned freeBasePort(const std::vector<std::string> &hosts)
{
    std::mt19937 random(std::random_device {}());
    for (int attempt = 0; attempt < 200; ++attempt) {
        const unsigned base = 20000 + random() % 1500 * 8;
        bool isFree = true;
        for (const auto &host : hosts) {
            for (unsigned port = base; isFree && port < base + 8; ++port) {
                const auto at = toSocketAddress(host + ":" + std::to_string(port));
                const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
                isFree = bind(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) == 0;
                close(fd);
            }
        }
        if (isFree) {
            return base;
        }
    }
    std::fprintf(stderr, "no free ports\n");
    std::exit(2);
}

store::store(const std::string &address)
{
    m_server = std::make_unique<server>(address, [this](connection &peer) {
        serve(peer);
    });
}

store::~store()
{
    m_isStopping = true;
    m_appended.notify_all();
    m_server.reset();
}

std::uint64_t store::append(const std::string &topic, const std::string &key, const std::optional<std::string> &value)
{
    const std::lock_guard lock(m_mutex);
    auto &entries = m_topics[topic];
    entries.push_back({key, value});
    m_appended.notify_all();
    return entries.size() - 1;
}

void store::serve(connection &peer)
{
    message request;
    while (!m_isStopping && peer.read(request, false, 0) == read_end::Whole) {
        if (!peer.write(answer(request))) {
            return;
        }
    }
}

std::string store::answer(const message &request)
{
    const auto target = request.second();
    const auto path = target.substr(0, target.find('?'));
    auto query = queryOf(target);
    if (path == "/log-newest") {
        return httpAnswer(200, "application/json", newest(query["topic"], query["after"]));
    }
    if (path == "/log-read") {
        const auto wait = milliseconds(query["waitMs"].empty() ? 0 : std::stol(query["waitMs"]));
        return httpAnswer(200, "application/octet-stream", read(query["topic"], std::stoull(query["from"]), wait, query["maxKb"]));
    }
    if (path == "/log-append" && query["topic"] != "keyed.op" && query["topic"] != "keyed.servers") {
        std::string_view body = request.body;
        std::optional<std::uint64_t> first;
        std::uint64_t last = 0;
        while (body.size() > 4) {
            std::size_t length = 0;
            for (int i = 0; i < 4; ++i) {
                length = length << 8U | static_cast<unsigned char>(body[static_cast<std::size_t>(i)]);
            }
            const auto text = body.substr(4, length);
            const auto keyLength = static_cast<unsigned char>(text.front());
            const auto rest = text.substr(1 + keyLength);
            last = append(query["topic"], std::string(text.substr(1, keyLength)), rest.empty() ? std::nullopt : std::optional(std::string(rest)));
            first = first.value_or(last);
            body.remove_prefix(4 + length);
        }
        return httpAnswer(200, "application/json", format(R"({"offset":%lu,"endOffset":%lu})", first.value_or(0), last + 1));
    }
    return httpAnswer(403, "application/json", "{}");
}

std::string store::newest(const std::string &topic, const std::string &after)
{
    const std::lock_guard lock(m_mutex);
    const auto &entries = m_topics[topic];
    std::map<std::string, std::uint64_t> last;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        last[entries[i].key] = i;
    }
    std::string items;
    for (const auto &[key, offset] : last) {
        if (key > after && entries[offset].value) {
            items += (items.empty() ? "" : ",") + std::string("{\"key\":\"") + key + "\",\"value\":\"" + base64(*entries[offset].value)
                     + "\",\"offset\":" + std::to_string(offset) + "}";
        }
    }
    return "{\"items\":[" + items + "],\"hasMore\":false,\"endOffset\":" + std::to_string(entries.size()) + "}";
}

std::string store::read(const std::string &topic, std::uint64_t from, milliseconds wait, const std::string &maxKb)
{
    std::unique_lock lock(m_mutex);
    m_appended.wait_for(lock, wait, [&] {
        return m_isStopping || m_topics[topic].size() > from;
    });
    const auto limit = (maxKb.empty() ? 1024UL : std::stoul(maxKb)) * 1024;
    const auto &entries = m_topics[topic];
    auto body = bigEndian(entries.size(), 8) + bigEndian(0, 8);
    for (auto i = from; i < entries.size() && body.size() < limit; ++i) {
        const auto content = std::string(1, static_cast<char>(entries[i].key.size())) + entries[i].key + entries[i].value.value_or("");
        body += bigEndian(content.size(), 4) + content;
    }
    return body;
}

endpoint::endpoint(endpoint_options options, store &registry)
    : m_options(std::move(options))
    , m_store(registry)
    , m_born(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
{
    m_server = std::make_unique<server>(m_options.address, [this](connection &peer) {
        serve(peer);
    });
    m_heartbeats = std::thread([this] {
        heartbeatLoop();
    });
}

endpoint::~endpoint()
{
    m_isStopping = true;
    m_slotFreed.notify_all();
    m_heartbeats.join();
    m_server.reset();
}

std::vector<run_entry> endpoint::runs() const
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

void endpoint::heartbeatLoop()
{
    constexpr std::int64_t kHeartbeatMs = 1500;
    auto due = nowMs();
    for (unsigned sequence = 1; !m_isStopping;) {
        if (nowMs() >= due) {
            m_store.append("keyed.servers",
                           m_options.id,
                           format(R"({"address":"%s","born":%ld,"info":{"service":"%s","version":"v1","zone":"%s","concurrency":%u},)"
                                  R"("status":{"state":"ready","sequence":%u,"warmupLeftMs":0}})",
                                  m_options.address.c_str(),
                                  m_born,
                                  m_options.service.c_str(),
                                  m_options.zone.c_str(),
                                  m_options.slots,
                                  sequence++));
            due += kHeartbeatMs;
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
}

// Returns the header with the load, or nothing when the endpoint doesn't report it.
std::string endpoint::loadField()
{
    const std::lock_guard lock(m_mutex);
    return m_options.reportsLoad ? format("Server-Load: %u,%u,%u\r\n", m_running, m_waiting, m_options.slots) : "";
}

void endpoint::serve(connection &peer)
{
    message request;
    while (!m_isStopping && peer.read(request, false, 0) == read_end::Whole) {
        if (request.second() != "/healthz") {
            serveCall(peer, request);
        } else if (!serveHealth(peer)) {
            return;
        }
    }
}

// Takes a slot, if need be after a wait in the queue. Returns false when the queue is full, the deadline passes or the connection ends.
bool endpoint::waitForSlot(const connection &peer, std::int64_t deadlineMs)
{
    std::unique_lock lock(m_mutex);
    if (m_running >= m_options.slots && m_waiting >= m_options.queue) {
        return false;
    }
    ++m_waiting;
    while (m_running >= m_options.slots && nowMs() < deadlineMs && !m_isStopping && !peer.isClosedByPeer()) {
        m_slotFreed.wait_for(lock, milliseconds(5));
    }
    --m_waiting;
    if (m_running >= m_options.slots) {
        return false;
    }
    ++m_running;
    return true;
}

bool endpoint::serveHealth(connection &peer)
{
    constexpr milliseconds kHealthWork {1};
    const auto id = format("Instance-Id: %s\r\n", m_options.id.c_str());
    if (!m_options.reportsLoad) {
        if (!waitForSlot(peer, INT64_MAX)) {
            return peer.write("HTTP/1.1 503 X\r\nNot-Executed: 1\r\n" + id + "Content-Length: 0\r\n\r\n");
        }
        std::this_thread::sleep_for(kHealthWork);
        const std::lock_guard lock(m_mutex);
        --m_running;
        m_slotFreed.notify_one();
    }
    return peer.write("HTTP/1.1 200 OK\r\n" + id + loadField() + "Content-Length: 0\r\n\r\n");
}

void endpoint::serveCall(connection &peer, const message &request)
{
    const auto id = request.field("Request-Id");
    const auto arrived = nowMs();
    const auto timeout = request.field("Request-Timeout-Ms");
    const auto deadline = arrived + (timeout.empty() ? 60'000 : std::stol(timeout));
    const auto refuse = [&](int status) {
        note(format("endpoint %s: request %s not run, status %d", m_options.id.c_str(), id.c_str(), status));
        peer.write(format("HTTP/1.1 %d X\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nInstance-Id: %s\r\n%sContent-Length: 0\r\n\r\n",
                          status,
                          id.c_str(),
                          m_options.id.c_str(),
                          loadField().c_str()));
    };
    const auto expected = request.field("Expected-Instance");
    if (!expected.empty() && expected != m_options.id) {
        return refuse(421);
    }
    if (!waitForSlot(peer, deadline)) {
        return refuse(503);
    }
    std::size_t number = 0;
    {
        const std::lock_guard lock(m_mutex);
        number = m_runs.size();
        m_runs.push_back({id, m_options.id, arrived, nowMs(), 0, "at work"});
    }
    note(format("endpoint %s: request %s runs", m_options.id.c_str(), id.c_str()));
    const auto plan = m_options.plan(request);
    const auto end = std::min(deadline, plan.hangs ? INT64_MAX : nowMs() + plan.time.count());
    bool isDropped = false;
    while (!isDropped && !m_isStopping && (plan.hangs || nowMs() < end)) {
        const auto left = plan.hangs ? 5 : std::clamp<std::int64_t>(end - nowMs(), 0, 5);
        std::this_thread::sleep_for(milliseconds(left));
        isDropped = peer.isClosedByPeer();
    }
    const auto status = nowMs() >= deadline ? 504 : plan.status;
    {
        const std::lock_guard lock(m_mutex);
        --m_running;
        m_runs[number].endedMs = nowMs();
        m_runs[number].end = isDropped ? "dropped" : std::to_string(status);
    }
    m_slotFreed.notify_one();
    note(format(
        "endpoint %s: request %s ends: %s", m_options.id.c_str(), id.c_str(), isDropped ? "dropped, connection closed" : std::to_string(status).c_str()));
    if (isDropped) {
        return;
    }
    peer.write(format("HTTP/1.1 %d X\r\nRequest-Id: %s\r\nResponse-Signature: %s.%s\r\n%sContent-Length: %zu\r\n\r\n%s",
                      status,
                      id.c_str(),
                      m_options.id.c_str(),
                      id.c_str(),
                      loadField().c_str(),
                      plan.body.size(),
                      plan.body.c_str()));
}

namespace
{

const value *lookUp(const std::vector<const value *> &scopes, const std::string &name)
{
    for (auto scope = scopes.rbegin(); scope != scopes.rend(); ++scope) {
        const value *current = *scope;
        std::istringstream parts(name);
        for (std::string part; current != nullptr && std::getline(parts, part, '.');) {
            const auto found = std::ranges::find_if(current->parts, [&](const auto &item) {
                return item.first == part;
            });
            current = found == current->parts.end() ? nullptr : &found->second;
        }
        if (current != nullptr) {
            return current;
        }
    }
    return nullptr;
}

struct section_entry {
    std::string key;
    bool isLast = true;
};

std::string renderPart(const std::string &text, std::vector<const value *> &scopes, const section_entry &entry)
{
    std::string out;
    std::size_t at = 0;
    while (true) {
        const auto open = text.find("{{", at);
        if (open == std::string::npos) {
            return out + text.substr(at);
        }
        out += text.substr(at, open - at);
        const auto close = text.find("}}", open);
        const auto tag = text.substr(open + 2, close - open - 2);
        at = close + 2;
        if (tag == ".") {
            out += scopes.back()->text;
        } else if (tag == "@") {
            out += entry.key;
        } else if (tag == ",") {
            out += entry.isLast ? "" : ",";
        } else if (tag.front() == '#' || tag.front() == '^') {
            const auto name = tag.substr(1);
            const auto end = text.find("{{/" + name + "}}", at);
            const auto inner = text.substr(at, end - at);
            at = end + name.size() + 5;
            const auto *const found = lookUp(scopes, name);
            const bool isSet = found != nullptr && (!found->parts.empty() || (!found->text.empty() && found->text != "false"));
            if (tag.front() == '^') {
                out += isSet ? "" : renderPart(inner, scopes, entry);
            } else if (isSet && found->parts.empty()) {
                out += renderPart(inner, scopes, entry);
            } else if (isSet) {
                for (const auto &part : found->parts) {
                    scopes.push_back(&part.second);
                    out += renderPart(inner, scopes, {part.first, &part == &found->parts.back()});
                    scopes.pop_back();
                }
            }
        } else if (const auto *const found = lookUp(scopes, tag)) {
            out += found->text;
        }
    }
}

} // namespace

std::string render(const std::string &text, const value &fields)
{
    std::vector<const value *> scopes {&fields};
    return renderPart(text, scopes, {});
}

instance::instance(const deployment &where, std::size_t index, const std::string &folder)
    : m_where(where)
    , m_index(index)
    , m_settings(folder + "/settings-" + std::to_string(index) + ".yaml")
    , m_log(folder + "/instance-" + std::to_string(index) + ".log")
{
}

instance::~instance()
{
    if (m_pid > 0) {
        kill(m_pid, SIGCONT);
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
        forgetInstance(m_pid);
    }
}

void instance::start(bool isFirst)
{
    const auto &host = m_where.hosts[m_index];
    const auto at = [&](unsigned port) {
        return value {host + ":" + std::to_string(m_where.basePort + port), {}};
    };
    value seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(3, m_where.hosts.size()); ++i) {
        seeds.parts.emplace_back(std::to_string(i), value {m_where.hosts[i] + ":" + std::to_string(m_where.basePort + 2), {}});
    }
    value parameters;
    for (const auto &[name, text] : m_where.parameters) {
        parameters.parts.emplace_back(name, value {text, {}});
    }
    const auto adminPort = std::to_string(m_where.basePort + 4);
    const value fields {"",
                        {{"node", {"edge-" + m_where.zone + "-" + std::to_string(m_index + 1), {}}},
                         {"region", {m_where.region, {}}},
                         {"zone", {m_where.zone, {}}},
                         {"ip", {host, {}}},
                         {"bootstrap", {isFirst ? "true" : "false", {}}},
                         {"zones", {"", {{m_where.zone, {m_where.region, {}}}}}},
                         {"listen", {"", {{"front", at(0)}, {"ready", at(1)}, {"control", at(2)}, {"directory", at(3)}}}},
                         {"internalPorts", {"", {{"0", {adminPort, {}}}, {"1", {adminPort, {}}}}}},
                         {"platform", {"", {{"address", {m_where.storeAddress, {}}}}}},
                         {"seeds", seeds},
                         {"parameters", parameters}}};
    std::ofstream(m_settings) << render(readFile("platform/settings.yaml"), fields);
    const auto variable = "SEQUOIAWHARF_CONFIG=" + m_settings;
    std::fflush(nullptr);
    m_pid = fork();
    if (m_pid == 0) {
        ::signal(SIGPIPE, SIG_DFL);
        const int out = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, 1);
        dup2(out, 2);
        char program[] = "target/platform/sequoiawharf-edge";
        char *const arguments[] = {program, nullptr};
        std::string settings = variable;
        char path[] = "PATH=/usr/bin:/bin";
        char *const environment[] = {settings.data(), path, nullptr};
        execve(program, arguments, environment);
        _exit(127);
    }
    rememberInstance(m_pid);
    note(format("platform: started %s as process %d", host.c_str(), static_cast<int>(m_pid)));
}

void instance::signal(int number) const
{
    note(format("platform: %s to process %d of %s", strsignal(number), static_cast<int>(m_pid), m_where.hosts[m_index].c_str()));
    kill(m_pid, number);
}

bool instance::waitForEnd(std::int64_t untilMs)
{
    while (m_pid > 0) {
        if (waitpid(m_pid, &m_status, WNOHANG) == m_pid) {
            note(format("platform: process %d of %s ended, exit %d, signal %d",
                        static_cast<int>(m_pid),
                        m_where.hosts[m_index].c_str(),
                        WIFEXITED(m_status) ? WEXITSTATUS(m_status) : -1,
                        WIFSIGNALED(m_status) ? WTERMSIG(m_status) : 0));
            forgetInstance(m_pid);
            m_pid = -1;
            return true;
        }
        if (nowMs() >= untilMs) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(2));
    }
    return true;
}

bool instance::isReady() const
{
    const auto peer = connection::open(m_where.ready(m_index), milliseconds(500));
    message answer;
    return peer && peer->write("GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n") && peer->read(answer, true, nowMs() + 500) == read_end::Whole
           && answer.second() == "200";
}

void endInstancesOnSignal()
{
    for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
        signal(number, endInstancesAndExit);
    }
}

bool waitUntilReady(const std::vector<std::unique_ptr<instance>> &instances, milliseconds timeout)
{
    const auto until = nowMs() + timeout.count();
    while (nowMs() < until) {
        if (std::ranges::all_of(instances, [](const auto &one) {
                return one->isReady();
            })) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
}

std::optional<directory_page> resolve(const std::string &directory, const std::string &host, const std::string &region, const std::string &zone)
{
    const auto until = nowMs() + 1000;
    const auto peer = connection::open(directory, milliseconds(1000));
    message answer;
    if (!peer
        || !peer->write(format("GET /resolve?name=%s&region=%s&zone=%s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n",
                               host.c_str(),
                               region.c_str(),
                               zone.c_str(),
                               directory.c_str()))
        || peer->read(answer, true, until) != read_end::Whole || answer.second() != "200") {
        return std::nullopt;
    }
    directory_page page;
    const auto list = answer.body.find('[');
    const auto end = answer.body.find(']');
    for (auto at = answer.body.find('"', list); at < end; at = answer.body.find('"', at + 1)) {
        const auto close = answer.body.find('"', at + 1);
        page.addresses.push_back(answer.body.substr(at + 1, close - at - 1));
        at = close;
    }
    const auto lifetime = answer.body.find("\"ttlS\":");
    page.lifetimeS = lifetime == std::string::npos ? 0 : std::strtod(answer.body.c_str() + lifetime + 7, nullptr);
    return page.addresses.empty() ? std::nullopt : std::optional(page);
}

call_result sendCall(connection &peer, const call_request &request)
{
    call_result result;
    result.requestId = request.requestId;
    auto text = format("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Timeout-Ms: %ld\r\n",
                       request.method.c_str(),
                       request.path.c_str(),
                       request.host.c_str(),
                       request.requestId.c_str(),
                       static_cast<long>(request.timeout.count()));
    if (request.method != "GET") {
        text += format("Content-Length: %zu\r\n", request.body.size());
    }
    text += "\r\n" + request.body;
    const auto deadline = nowMs() + request.timeout.count();
    const bool isSent = peer.write(text);
    result.sentMs = nowMs();
    message answer;
    const auto end = isSent ? peer.read(answer, true, deadline) : read_end::Closed;
    result.endedMs = nowMs();
    result.detail = peer.lastError;
    switch (end) {
    case read_end::Whole:
        result.end = call_end::Answered;
        result.status = std::atoi(answer.second().c_str());
        result.isSigned = !answer.field("Response-Signature").empty();
        result.detail = lower(answer.field("Connection"));
        break;
    case read_end::TimedOut:
        result.end = call_end::Deadline;
        break;
    case read_end::Closed:
    case read_end::Invalid:
        result.end = isSent ? call_end::Cut : call_end::NotSent;
        break;
    }
    return result;
}

std::string nextRequestId()
{
    static std::atomic<std::uint64_t> last {0x5a00000000000000ULL};
    return format("%016lx", ++last);
}

bool hasTrouble()
{
    const char *const text = std::getenv("TROUBLE");
    return text == nullptr || std::string_view(text) != "0";
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string makeFolder()
{
    std::string path = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    return mkdtemp(path.data()) == nullptr ? std::string {} : path;
}

void removeFolder(const std::string &path)
{
    std::error_code ignored;
    std::filesystem::remove_all(path, ignored);
}

} // namespace review
