#include "rig.h"

#include <algorithm>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <random>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig
{

namespace
{

const steady::time_point kStart = steady::now();
std::mutex recordMutex;
FILE *recordFile = nullptr;
int network = 0;
constexpr std::uint64_t kMaxChunkBytes = 1ULL << 30U;
std::string temporaryFolder;
std::map<std::string, std::string> zonesOfRun;
std::mutex instancesMutex;
std::vector<pid_t> startedPids;

bool equalNames(const std::string &a, const std::string &b)
{
    return strcasecmp(a.c_str(), b.c_str()) == 0;
}

sockaddr_in addressOf(const std::string &host, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

bool isNetworkFree(int number)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const auto address = addressOf("127." + std::to_string(number) + ".255.254", 8999);
    const bool isFree = bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0 && listen(fd, 1) == 0;
    // The socket stays open and marks the network as used until the program ends.
    if (!isFree) {
        ::close(fd);
    }
    return isFree;
}

std::string base64(const std::string &bytes)
{
    static const char *const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t part = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            part = (part << 8U) | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text.push_back(i + k <= bytes.size() ? digits[(part >> (18U - 6U * k)) & 63U] : '=');
        }
    }
    return text;
}

void appendBigEndian(std::string &out, std::uint64_t value, unsigned bytes)
{
    for (unsigned i = bytes; i > 0; --i) {
        out.push_back(static_cast<char>((value >> (8U * (i - 1))) & 0xffU));
    }
}

std::string queryOf(const std::string &path, const std::string &name)
{
    auto position = path.find('?');
    while (position != std::string::npos) {
        const auto end = path.find('&', position + 1);
        const auto part = path.substr(position + 1, end == std::string::npos ? end : end - position - 1);
        if (part.compare(0, name.size() + 1, name + "=") == 0) {
            return part.substr(name.size() + 1);
        }
        position = end;
    }
    return {};
}

std::string httpAnswer(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

// Replaces a section {{#name}}..{{/name}} or {{^name}}..{{/name}} by what make() returns for its content.
void replaceSection(std::string &text, const std::string &open, const std::string &name, const std::function<std::string(const std::string &)> &make)
{
    const auto begin = text.find("{{" + open + name + "}}");
    const auto end = begin == std::string::npos ? begin : text.find("{{/" + name + "}}", begin);
    if (end == std::string::npos) {
        return;
    }
    const auto contentBegin = begin + 4 + open.size() + name.size();
    const auto content = text.substr(contentBegin, end - contentBegin);
    text.replace(begin, end + 5 + name.size() - begin, make(content));
}

} // namespace

long now()
{
    return std::chrono::duration_cast<ms>(steady::now() - kStart).count();
}

void record(const char *format, ...)
{
    const std::lock_guard lock(recordMutex);
    for (FILE *const file : {recordFile, stdout}) {
        if (file != nullptr) {
            va_list arguments;
            va_start(arguments, format);
            fprintf(file, "%8ld ", now());
            vfprintf(file, format, arguments);
            fputc('\n', file);
            va_end(arguments);
            if (file == stdout) {
                fflush(file);
            }
        }
    }
}

void openRecord(const std::string &folder)
{
    recordFile = fopen((folder + "/record.txt").c_str(), "w");
}

bool hasTrouble()
{
    const char *const value = getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

std::string host(int a, int b)
{
    return "127." + std::to_string(network) + "." + std::to_string(a) + "." + std::to_string(b);
}

std::string message::field(const std::string &name) const
{
    const auto found = std::find_if(fields.begin(), fields.end(), [&](const auto &item) {
        return equalNames(item.first, name);
    });
    return found == fields.end() ? std::string {} : found->second;
}

bool message::has(const std::string &name) const
{
    return std::any_of(fields.begin(), fields.end(), [&](const auto &item) {
        return equalNames(item.first, name);
    });
}

int message::status() const
{
    return start.size() > 12 ? atoi(start.c_str() + 9) : 0;
}

connection::connection(int socket)
    : fd(socket)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

connection::~connection()
{
    ::close(fd);
}

std::unique_ptr<connection> connection::open(const std::string &host, int port, int timeoutMs)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return nullptr;
    }
    auto result = std::make_unique<connection>(fd);
    const auto address = addressOf(host, port);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 && errno != EINPROGRESS) {
        return nullptr;
    }
    pollfd wait {fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (poll(&wait, 1, timeoutMs) != 1 || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        return nullptr;
    }
    fcntl(fd, F_SETFL, 0);
    return result;
}

bool connection::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool connection::fill(steady::time_point until)
{
    const auto left = std::chrono::duration_cast<ms>(until - steady::now()).count();
    pollfd wait {fd, POLLIN, 0};
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) != 1) {
        return false;
    }
    char buffer[16384];
    const auto count = recv(fd, buffer, sizeof buffer, 0);
    if (count <= 0) {
        return false;
    }
    m_buffer.append(buffer, static_cast<std::size_t>(count));
    return true;
}

std::optional<message> connection::read(int timeoutMs, bool isAnswer)
{
    const auto until = steady::now() + ms(timeoutMs);
    auto end = std::string::npos;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(until)) {
            return std::nullopt;
        }
    }
    message result;
    std::istringstream head(m_buffer.substr(0, end + 2));
    m_buffer.erase(0, end + 4);
    std::getline(head, result.start, '\n');
    result.start.pop_back();
    for (std::string line; std::getline(head, line, '\n') && line.size() > 1;) {
        line.pop_back();
        const auto colon = line.find(':');
        const auto value = line.find_first_not_of(' ', colon + 1);
        result.fields.emplace_back(line.substr(0, colon), value == std::string::npos ? std::string {} : line.substr(value));
    }
    const auto take = [&](std::size_t bytes) {
        while (m_buffer.size() < bytes) {
            if (!fill(until)) {
                return false;
            }
        }
        result.body.append(m_buffer, 0, bytes);
        m_buffer.erase(0, bytes);
        return true;
    };
    if (result.has("Content-Length")) {
        result.isWhole = take(std::strtoull(result.field("Content-Length").c_str(), nullptr, 10));
    } else if (result.has("Transfer-Encoding")) {
        while (true) {
            auto lineEnd = std::string::npos;
            while ((lineEnd = m_buffer.find("\r\n")) == std::string::npos) {
                if (!fill(until)) {
                    return result;
                }
            }
            const auto size = std::strtoull(m_buffer.c_str(), nullptr, 16);
            m_buffer.erase(0, lineEnd + 2);
            if (size > kMaxChunkBytes || !take(size + 2)) {
                return result;
            }
            result.body.resize(result.body.size() - 2);
            if (size == 0) {
                result.isWhole = true;
                break;
            }
        }
    } else if (isAnswer && result.status() >= 200 && result.status() != 204) {
        while (fill(until)) { }
        result.body = std::move(m_buffer);
        result.isWhole = true;
    } else {
        result.isWhole = true;
    }
    return result;
}

bool connection::isGone()
{
    char byte = 0;
    const auto count = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void connection::reset()
{
    const linger now {1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ::shutdown(fd, SHUT_RDWR);
}

void connection::shutdown()
{
    ::shutdown(fd, SHUT_RDWR);
}

server::server(std::string host, int port, handler serve)
    : m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , m_serve(std::move(serve))
{
    const int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = addressOf(host, port);
    if (bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || listen(m_listener, 1024) != 0) {
        record("The address %s:%d cannot be listened at.", host.c_str(), port);
        finish(2);
    }
    m_thread = std::thread([this] {
        run();
    });
}

server::~server()
{
    close();
}

void server::run()
{
    while (true) {
        const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (m_isClosed) {
            if (fd >= 0) {
                ::close(fd);
            }
            return;
        }
        if (fd < 0) {
            pause(5);
            continue;
        }
        const auto peer = std::make_shared<connection>(fd);
        const std::lock_guard lock(m_mutex);
        m_open.push_back(peer);
        std::thread([this, peer] {
            m_serve(*peer);
            peer->shutdown();
            const std::lock_guard guard(m_mutex);
            m_open.remove(peer);
        }).detach();
    }
}

void server::close()
{
    if (m_isClosed.exchange(true)) {
        return;
    }
    ::shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    ::close(m_listener);
    const std::lock_guard lock(m_mutex);
    for (const auto &peer : m_open) {
        peer->shutdown();
    }
}

store::store(const std::string &host, int port)
{
    addWay(host, port);
}

std::size_t store::addWay(const std::string &host, int port)
{
    m_ways.push_back(std::make_unique<way>());
    auto &added = *m_ways.back();
    added.door = std::make_unique<server>(host, port, [this, &added](connection &peer) {
        serve(peer, added);
    });
    return m_ways.size() - 1;
}

void store::cut(std::size_t number, bool isCut)
{
    m_ways[number]->isCut = isCut;
    m_changed.notify_all();
}

int store::endpointReads(std::size_t number) const
{
    return m_ways[number]->endpointReads;
}

std::uint64_t store::append(const std::string &topic, const std::string &key, const std::optional<std::string> &value)
{
    const std::lock_guard lock(m_mutex);
    auto &log = m_topics[topic];
    log.push_back({key, value});
    m_changed.notify_all();
    return log.size() - 1;
}

std::uint64_t store::end(const std::string &topic)
{
    const std::lock_guard lock(m_mutex);
    return m_topics[topic].size();
}

std::map<std::string, std::uint64_t> store::copy()
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, std::uint64_t> ends;
    for (const auto &[topic, log] : m_topics) {
        ends[topic] = log.size();
    }
    return ends;
}

void store::goAway()
{
    m_isAway = true;
    m_changed.notify_all();
}

void store::comeBackFrom(const std::map<std::string, std::uint64_t> &copy)
{
    const std::lock_guard lock(m_mutex);
    for (auto &[topic, log] : m_topics) {
        const auto found = copy.find(topic);
        log.resize(std::min<std::size_t>(log.size(), found == copy.end() ? 0 : found->second));
    }
    ++m_era;
    m_isAway = false;
}

void store::serve(connection &peer, way &from)
{
    const auto isUnreachable = [&] {
        return m_isAway || from.isCut;
    };
    while (!isUnreachable()) {
        const auto request = peer.read(60'000, false);
        if (!request || isUnreachable()) {
            break;
        }
        from.endpointReads += request->start.find("keyed.servers") == std::string::npos ? 0 : 1;
        const auto text = answer(*request, peer, from);
        if (text.empty() || !peer.send(text) || equalNames(request->field("Connection"), "close")) {
            break;
        }
    }
    if (isUnreachable()) {
        peer.reset();
    }
}

std::string store::answer(const message &request, connection &peer, const way &from)
{
    const auto words = request.start.find(' ');
    const auto path = request.start.substr(words + 1, request.start.rfind(' ') - words - 1);
    const auto topic = queryOf(path, "topic");
    const auto era = "Store-Era: " + std::to_string(m_era) + "\r\n";
    std::unique_lock lock(m_mutex);
    if (path.compare(0, 11, "/log-newest") == 0) {
        const auto &log = m_topics[topic];
        std::map<std::string, std::size_t> newest;
        for (std::size_t i = 0; i < log.size(); ++i) {
            newest[log[i].key] = i;
        }
        const auto after = queryOf(path, "after");
        std::string items;
        int count = 0;
        bool hasMore = false;
        for (const auto &[key, offset] : newest) {
            if (!log[offset].value || (!after.empty() && key <= after)) {
                continue;
            }
            if (count == 500) {
                hasMore = true;
                break;
            }
            ++count;
            items += (items.empty() ? "" : ",") + ("{\"key\":\"" + key) + "\",\"value\":\"" + base64(*log[offset].value)
                     + "\",\"offset\":" + std::to_string(offset) + "}";
        }
        return httpAnswer(200,
                          era + "Content-Type: application/json\r\n",
                          "{\"items\":[" + items + "],\"hasMore\":" + (hasMore ? "true" : "false") + ",\"endOffset\":" + std::to_string(log.size()) + "}");
    }
    if (path.compare(0, 9, "/log-read") == 0) {
        const auto first = std::strtoull(queryOf(path, "from").c_str(), nullptr, 10);
        const auto until = steady::now() + ms(std::strtol(queryOf(path, "waitMs").c_str(), nullptr, 10));
        if (first > m_topics[topic].size()) {
            return httpAnswer(410, era + "Content-Type: application/json\r\n", "{\"firstOffset\":0}");
        }
        while (m_topics[topic].size() <= first && !m_isAway && !from.isCut && steady::now() < until && !peer.isGone()) {
            m_changed.wait_for(lock, ms(50));
        }
        if (m_isAway || from.isCut) {
            return {};
        }
        const auto &log = m_topics[topic];
        std::string body;
        appendBigEndian(body, log.size(), 8);
        appendBigEndian(body, 0, 8);
        for (std::size_t i = first; i < log.size() && body.size() < (1U << 20U); ++i) {
            const auto value = log[i].value.value_or("");
            appendBigEndian(body, 1 + log[i].key.size() + value.size(), 4);
            body.push_back(static_cast<char>(log[i].key.size()));
            body += log[i].key + value;
        }
        return httpAnswer(200, era, body);
    }
    if (path.compare(0, 11, "/log-append") == 0) {
        if (topic == "keyed.op" || topic == "keyed.servers") {
            return httpAnswer(403, era, "");
        }
        auto &log = m_topics[topic];
        const auto first = log.size();
        for (std::size_t at = 0; at + 4 <= request.body.size();) {
            std::size_t length = 0;
            for (int i = 0; i < 4; ++i) {
                length = (length << 8U) | static_cast<unsigned char>(request.body[at + static_cast<std::size_t>(i)]);
            }
            const auto keyLength = static_cast<unsigned char>(request.body[at + 4]);
            const auto value = request.body.substr(at + 5 + keyLength, length - 1 - keyLength);
            log.push_back({request.body.substr(at + 5, keyLength), value.empty() ? std::nullopt : std::optional(value)});
            at += 4 + length;
        }
        m_changed.notify_all();
        return httpAnswer(
            200, era + "Content-Type: application/json\r\n", "{\"offset\":" + std::to_string(first) + ",\"endOffset\":" + std::to_string(log.size()) + "}");
    }
    return httpAnswer(404, era, "");
}

std::size_t ledger::began(const std::string &request, const std::string &endpoint)
{
    const std::lock_guard lock(m_mutex);
    m_entries.push_back({now(), request, endpoint, false});
    return m_entries.size() - 1;
}

void ledger::ended(std::size_t entry)
{
    const std::lock_guard lock(m_mutex);
    m_entries[entry].isWhole = true;
}

std::vector<run_entry> ledger::entries()
{
    const std::lock_guard lock(m_mutex);
    return m_entries;
}

endpoint::endpoint(endpoint_options options, ledger &runs)
    : m_options(std::move(options))
    , m_runs(runs)
    , m_born(static_cast<std::uint64_t>(std::chrono::duration_cast<ms>(std::chrono::system_clock::now().time_since_epoch()).count()))
{
    m_server = std::make_unique<server>(m_options.host, m_options.port, [this](connection &peer) {
        serve(peer);
    });
}

void endpoint::exit()
{
    m_exitedAt = now();
    m_freed.notify_all();
    m_server->close();
}

std::string endpoint::load()
{
    return "Server-Load: " + std::to_string(m_running) + "," + std::to_string(m_waiting) + "," + std::to_string(m_options.slots) + "\r\n";
}

std::string endpoint::entry(const std::string &state)
{
    return "{\"address\":\"" + m_options.host + ":" + std::to_string(m_options.port) + "\",\"born\":" + std::to_string(m_born) + ",\"info\":{\"service\":\""
           + m_options.service + "\",\"version\":\"v1\",\"zone\":\"" + m_options.zone + "\",\"concurrency\":" + std::to_string(m_options.slots)
           + "},\"status\":{\"state\":\"" + state + "\",\"sequence\":" + std::to_string(++m_sequence) + ",\"warmupLeftMs\":0}}";
}

void endpoint::serve(connection &peer)
{
    while (m_exitedAt < 0) {
        const auto request = peer.read(10'000, false);
        if (!request || !request->isWhole || m_exitedAt >= 0) {
            return;
        }
        const auto words = request->start.find(' ');
        const auto path = request->start.substr(words + 1, request->start.rfind(' ') - words - 1);
        if (path == "/healthz") {
            if (!peer.send(httpAnswer(m_isLeaving ? 503 : 200, "Instance-Id: " + m_options.id + "\r\n" + load(), ""))) {
                return;
            }
            continue;
        }
        const auto id = request->field("Request-Id");
        const auto echo = "Request-Id: " + id + "\r\n";
        std::string answer;
        if (const auto expected = request->field("Expected-Instance"); !expected.empty() && expected != m_options.id) {
            answer = httpAnswer(421, echo + "Instance-Id: " + m_options.id + "\r\n" + load(), "");
        } else if (id.empty()) {
            answer = httpAnswer(400, "Not-Executed: 1\r\n" + load(), "");
        } else {
            const auto timeout = std::strtol(request->field("Request-Timeout-Ms").c_str(), nullptr, 10);
            const auto deadline = steady::now() + ms(timeout > 0 ? timeout : 60'000);
            std::unique_lock lock(m_mutex);
            if (m_running >= m_options.slots && m_waiting >= m_options.queue) {
                lock.unlock();
                answer = httpAnswer(503, echo + "Not-Executed: 1\r\n" + load(), "");
            } else {
                ++m_waiting;
                while (m_running >= m_options.slots && steady::now() < deadline && m_exitedAt < 0) {
                    m_freed.wait_for(lock, ms(20));
                }
                --m_waiting;
                if (m_exitedAt >= 0) {
                    return;
                }
                if (m_running >= m_options.slots) {
                    lock.unlock();
                    answer = httpAnswer(503, echo + "Not-Executed: 1\r\n" + load(), "");
                } else {
                    ++m_running;
                    lock.unlock();
                    const auto entry = m_runs.began(id, m_options.id);
                    const auto work = m_options.workMs * (1 + m_options.spread * (2 * uniform() - 1));
                    const auto workEnd = steady::now() + ms(static_cast<long>(work));
                    bool isDropped = false;
                    while (steady::now() < workEnd && steady::now() < deadline && m_exitedAt < 0 && !isDropped) {
                        pause(2);
                        isDropped = peer.isGone();
                    }
                    {
                        const std::lock_guard guard(m_mutex);
                        --m_running;
                    }
                    m_freed.notify_one();
                    if (m_exitedAt >= 0 || isDropped) {
                        return;
                    }
                    if (steady::now() < workEnd) {
                        answer = httpAnswer(504, echo + "Response-Signature: s." + id + "\r\n" + load(), "");
                    } else {
                        m_runs.ended(entry);
                        answer = httpAnswer(200, echo + "Response-Signature: s." + id + "\r\n" + load(), "done by " + m_options.id + "\n");
                    }
                }
            }
        }
        if (!peer.send(answer)) {
            return;
        }
        if (afterAnswer) {
            afterAnswer(peer, *request, answer);
        }
    }
}

registration::registration(store &target)
    : m_store(target)
    , m_thread([this] {
        run();
    })
{
}

registration::~registration()
{
    m_isEnded = true;
    m_thread.join();
}

void registration::add(const std::shared_ptr<endpoint> &one)
{
    {
        const std::lock_guard lock(m_mutex);
        m_items[one->options().id] = {one, "ready", steady::now() + ms(static_cast<long>(1500 * uniform()))};
    }
    write(one->options().id);
}

void registration::setState(const std::string &id, const std::string &state)
{
    const std::lock_guard lock(m_mutex);
    m_items[id].state = state;
}

std::uint64_t registration::write(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    const auto &found = m_items.at(id);
    return m_store.append("keyed.servers", id, found.one->entry(found.state));
}

void registration::run()
{
    while (!m_isEnded) {
        pause(10);
        const std::lock_guard lock(m_mutex);
        for (auto &[id, found] : m_items) {
            if (steady::now() >= found.due && !found.state.empty() && !m_store.isAway()) {
                found.due += ms(1500);
                m_store.append("keyed.servers", id, found.one->entry(found.state));
            }
        }
    }
}

instance::instance(
    std::string ownName, std::string ownHost, std::string ownZone, std::string storeAddress, std::vector<std::string> seeds, const bounds &limits)
    : name(std::move(ownName))
    , host(std::move(ownHost))
    , zone(std::move(ownZone))
    , m_storeAddress(std::move(storeAddress))
    , m_seeds(std::move(seeds))
    , m_limits(limits)
    , m_folder(temporaryFolder)
{
}

instance::~instance() = default;

void instance::start()
{
    std::ifstream file("platform/settings.yaml");
    std::ostringstream content;
    content << file.rdbuf();
    auto text = content.str();
    replaceSection(text, "#", "zones", [](const std::string &row) {
        std::string rows;
        for (const auto &[zoneName, region] : zonesOfRun) {
            auto filled = row;
            replaceAll(filled, "{{@}}", zoneName);
            replaceAll(filled, "{{.}}", region);
            rows += filled;
        }
        return rows;
    });
    replaceSection(text, "#", "seeds", [this](const std::string &) {
        std::string list;
        for (const auto &seed : m_seeds) {
            list += (list.empty() ? "\"" : ",\"") + seed + "\"";
        }
        return list;
    });
    replaceSection(text, "#", "bootstrap", [this](const std::string &content) {
        return m_isFirst ? content : std::string {};
    });
    replaceSection(text, "^", "bootstrap", [this](const std::string &content) {
        return m_isFirst ? std::string {} : content;
    });
    replaceSection(text, "#", "parameters.strictRevocation", [](const std::string &) {
        return std::string {};
    });
    const std::map<std::string, std::string> values {
        {"node", name},
        {"region", zonesOfRun.at(zone)},
        {"zone", zone},
        {"ip", host},
        {"listen.front", host + ":" + std::to_string(kFront)},
        {"listen.directory", host + ":" + std::to_string(kDirectory)},
        {"listen.ready", host + ":" + std::to_string(kReady)},
        {"listen.control", peerOf(host)},
        {"internalPorts.0", "7620"},
        {"platform.address", m_storeAddress},
        {"parameters.graceS", std::to_string(m_limits.graceS)},
        {"parameters.drainMs", std::to_string(m_limits.drainMs)},
        {"parameters.configMs", std::to_string(m_limits.configMs)},
        {"limits.memoryMb", std::to_string(m_limits.memoryMb)},
        {"limits.maxFds", std::to_string(m_limits.maxFds)},
        {"parameters.probesPerS", std::to_string(m_limits.probesPerS)},
        {"parameters.budgetRatio", std::to_string(m_limits.budgetRatio)},
        {"parameters.budgetSlack", std::to_string(m_limits.budgetSlack)},
        {"parameters.budgetWindowS", "10"},
    };
    for (const auto &[key, value] : values) {
        replaceAll(text, "{{" + key + "}}", value);
    }
    const auto settings = m_folder + "/" + name + ".yaml";
    std::ofstream(settings) << text;
    const auto log = m_folder + "/" + name + ".log";
    record("Starting instance %s at %s.", name.c_str(), host.c_str());
    // Prepared before fork(): a child of a process with threads may only call what is safe in a signal handler.
    const auto variable = "SEQUOIAWHARF_CONFIG=" + settings;
    std::string pathVariable = std::string("PATH=") + (getenv("PATH") == nullptr ? "" : getenv("PATH"));
    std::string program = "target/platform/sequoiawharf-edge";
    if (const char *const other = getenv("RIG_EDGE")) {
        program = other;
    }
    char *const arguments[] = {program.data(), nullptr};
    std::string variableText = variable;
    char *const environment[] = {variableText.data(), pathVariable.data(), nullptr};
    pid = fork();
    if (pid == 0) {
        rlimit files {};
        getrlimit(RLIMIT_NOFILE, &files);
        files.rlim_cur = std::min<rlim_t>(files.rlim_max, static_cast<rlim_t>(m_limits.maxFds));
        setrlimit(RLIMIT_NOFILE, &files);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, 1);
        dup2(out, 2);
        execve(program.c_str(), arguments, environment);
        _exit(127);
    }
    const std::lock_guard lock(instancesMutex);
    startedPids.push_back(pid);
    m_isFirst = false;
}

void instance::signal(int number)
{
    if (pid > 0) {
        ::kill(pid, number);
    }
}

std::optional<int> instance::wait(int timeoutMs)
{
    const auto until = steady::now() + ms(timeoutMs);
    do {
        int status = 0;
        if (pid > 0 && waitpid(pid, &status, WNOHANG) == pid) {
            const std::lock_guard lock(instancesMutex);
            startedPids.erase(std::remove(startedPids.begin(), startedPids.end(), pid), startedPids.end());
            pid = -1;
            return status;
        }
        pause(5);
    } while (steady::now() < until);
    return std::nullopt;
}

bool instance::isReady()
{
    const auto peer = connection::open(host, kReady, 500);
    if (!peer || !peer->send("GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")) {
        return false;
    }
    const auto answer = peer->read(1000, true);
    return answer && answer->status() == 200;
}

bool instance::isRunning()
{
    return pid > 0 && !wait(0).has_value();
}

namespace
{

long statusField(pid_t pid, const std::string &name)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.compare(0, name.size() + 1, name + ":") == 0) {
            return atol(line.c_str() + name.size() + 1);
        }
    }
    return 0;
}

} // namespace

long instance::peakMemoryKb() const
{
    return statusField(pid, "VmHWM");
}

long instance::memoryKb() const
{
    return statusField(pid, "VmRSS");
}

void setUp(const std::string &caseFolder, const std::map<std::string, std::string> &zones)
{
    ::signal(SIGPIPE, SIG_IGN);
    openRecord(caseFolder);
    zonesOfRun = zones;
    rlimit files {};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = std::min<rlim_t>(files.rlim_max, 8192);
    setrlimit(RLIMIT_NOFILE, &files);
    std::random_device random;
    for (int tries = 0; network == 0 && tries < 200; ++tries) {
        const int candidate = 40 + static_cast<int>(random() % 200);
        network = isNetworkFree(candidate) ? candidate : 0;
    }
    char folder[] = "/tmp/rig-XXXXXX";
    if (network == 0 || mkdtemp(folder) == nullptr) {
        record("No free addresses or no temporary folder.");
        finish(2);
    }
    temporaryFolder = folder;
    record("Trouble: %s.", hasTrouble() ? "yes" : "no");
}

void awaitReady(const std::vector<std::shared_ptr<instance>> &instances)
{
    const auto until = steady::now() + std::chrono::seconds(20);
    while (!std::all_of(instances.begin(), instances.end(), [](const auto &one) {
        return one->isReady();
    })) {
        if (steady::now() > until) {
            record("The instances do not become ready.");
            finish(2);
        }
        pause(100);
    }
    record("All instances are ready.");
}

void finish(int code)
{
    {
        const std::lock_guard lock(instancesMutex);
        for (const auto pid : startedPids) {
            ::kill(pid, SIGCONT);
            ::kill(pid, SIGKILL);
        }
        for (const auto pid : startedPids) {
            waitpid(pid, nullptr, 0);
        }
    }
    record("Result: %s.", code == 0 ? "the rule held" : (code == 1 ? "the rule was broken" : "the case could not run"));
    if (!temporaryFolder.empty() && getenv("RIG_KEEP") == nullptr) {
        const auto command = "rm -rf '" + temporaryFolder + "'";
        if (system(command.c_str()) != 0) {
            record("The temporary folder could not be removed.");
        }
    }
    if (recordFile != nullptr) {
        fclose(recordFile);
    }
    fflush(stdout);
    _exit(code);
}

std::string newRequestId()
{
    static std::atomic<std::uint64_t> next {0};
    static const std::uint64_t base = std::random_device {}();
    char text[17];
    snprintf(text, sizeof text, "%08llx%08llx", static_cast<unsigned long long>(base & 0xffffffffU), static_cast<unsigned long long>(++next));
    return text;
}

reply call(const std::string &host, const std::string &method, const std::string &path, const std::string &hostName, const std::string &body, int timeoutMs)
{
    reply result;
    result.id = newRequestId();
    result.sentAt = now();
    const auto peer = connection::open(host, instance::kFront, 1000);
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + hostName + "\r\nRequest-Id: " + result.id
                       + "\r\nRequest-Timeout-Ms: " + std::to_string(timeoutMs) + "\r\n";
    if (method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    result.sentAt = now();
    if (peer && peer->send(text + "\r\n" + body)) {
        if (auto answer = peer->read(timeoutMs + 500, true)) {
            result.status = answer->isWhole ? answer->status() : 0;
            result.answer = std::move(*answer);
        }
    }
    result.endedAt = now();
    return result;
}

std::string configText(int version, const std::vector<route_row> &routes, const std::vector<std::string> &services, int maxConns)
{
    std::string rows;
    for (const auto &row : routes) {
        rows += (rows.empty() ? "[\"" : ",[\"") + row.name + "\",\"" + row.host + "\",\"" + row.prefix + "\",\"" + row.type + "\","
                + (row.timeoutMs > 0 ? std::to_string(row.timeoutMs) : "null") + "," + std::to_string(row.targetLatencyMs) + "," + std::to_string(row.priority)
                + "," + std::to_string(row.maxAttempts) + ",\"" + row.service + "\"]";
    }
    std::string pools;
    for (const auto &service : services) {
        pools += (pools.empty() ? "[\"" : ",[\"") + service + "\",\"/healthz\"," + std::to_string(maxConns) + ",\"h1\",false]";
    }
    return "{\"version\":" + std::to_string(version)
           + ",\"routes\":{\"columns\":[\"name\",\"host\",\"pathPrefix\",\"type\",\"timeoutMs\",\"targetLatencyMs\",\"priority\",\"maxAttempts\",\"service\"],"
             "\"rows\":["
           + rows + "]},\"services\":{\"columns\":[\"name\",\"healthPath\",\"maxConns\",\"protocol\",\"tls\"],\"rows\":[" + pools
           + "]},\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"baseVersion\":0}";
}

double uniform()
{
    thread_local std::mt19937_64 random(std::random_device {}());
    return std::uniform_real_distribution<>(0, 1)(random);
}

void pause(int milliseconds)
{
    std::this_thread::sleep_for(ms(milliseconds));
}

} // namespace rig
