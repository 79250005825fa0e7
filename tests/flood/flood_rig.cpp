#include "tests/flood/flood_rig.h"

#include <fmt/format.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>

extern char **environ;

namespace
{

using std::chrono::steady_clock;

constexpr unsigned kPlatformPort = 7000;
constexpr unsigned kGatewayPort = 8080;
constexpr unsigned kPeerPort = 8081;
constexpr unsigned kAdminPort = 8082;
constexpr unsigned kEndpointPort = 9000;
constexpr unsigned kTargetPort = 9900;
constexpr std::chrono::seconds kStartTime {60};
constexpr std::chrono::seconds kQuietTime {3}; // without a byte sent on any connection: the instance has stopped reading

int connectTo(const std::string &host, unsigned port)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    if (::connect(handle, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(handle);
        return -1;
    }
    return handle;
}

// Sends the request and returns everything that comes until the connection ends, or nothing if that takes long.
std::string exchange(const std::string &host, unsigned port, const std::string &request)
{
    const int handle = connectTo(host, port);
    if (handle < 0) {
        return {};
    }
    const timeval longest {.tv_sec = 60, .tv_usec = 0};
    ::setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &longest, sizeof longest);
    std::string answer;
    if (::send(handle, request.data(), request.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(request.size())) {
        std::string piece(4096, '\0');
        for (auto count = ::recv(handle, piece.data(), piece.size(), 0); count > 0; count = ::recv(handle, piece.data(), piece.size(), 0)) {
            answer.append(piece, 0, static_cast<std::size_t>(count));
        }
    }
    ::close(handle);
    return answer;
}

template<typename condition> void waitUntil(const std::string &what, condition holds)
{
    const auto end = steady_clock::now() + kStartTime;
    while (!holds()) {
        if (steady_clock::now() > end) {
            throw std::runtime_error("not in time: " + what);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
}

} // namespace

flood_rig::flood_rig(const std::string &limits)
    : m_host(fmt::format("127.{}.{}.1", 100 + ::getpid() % 100, ::getpid() / 100 % 250))
    , m_folder(std::filesystem::temp_directory_path() / fmt::format("sequoiawharf-flood-{}", ::getpid()))
{
    std::filesystem::create_directories(m_folder);
    writeFiles(limits);
    start("platform", {PLATFORM_PROGRAM, "--listen", at(kPlatformPort)});
    start("target", {TARGET_PROGRAM, "--pools", file("pools.yaml"), "--data-centre", "quay", "--admin", at(kTargetPort), "--service-ms", "1"});
    waitUntil("platform", [&] {
        return !exchange(m_host, kPlatformPort, "GET /stats HTTP/1.1\r\nHost: flood\r\nConnection: close\r\n\r\n").empty();
    });
    const auto list = fmt::format(R"([{{"instance":"quay-1","gateway":"{}","peer":"{}","admin":"{}","data_centre":"quay","region":"bay","state":"live"}}])",
                                  at(kGatewayPort),
                                  at(kPeerPort),
                                  at(kAdminPort));
    exchange(m_host,
             kPlatformPort,
             fmt::format("POST /instances/set HTTP/1.1\r\nHost: flood\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{}", list.size(), list));
    start("instance", {DAEMON_PROGRAM, "--settings", file("settings.yaml")});
    start("publish", {COMMAND_PROGRAM, "publish", "--platform", at(kPlatformPort), file("routes.yaml"), file("pools.yaml")});
    ::waitpid(m_processes.at("publish"), nullptr, 0);
    m_processes.erase("publish");
    waitUntil("instance", [&] {
        return exchange(m_host, kAdminPort, "GET /status HTTP/1.1\r\nHost: flood\r\nConnection: close\r\n\r\n").find("\"ready\":true") != std::string::npos;
    });
    waitUntil("first call", [&] {
        return ordinaryCall() == 200;
    });
}

flood_rig::~flood_rig()
{
    std::ranges::for_each(m_connections, ::close);
    for (const auto &[name, pid] : m_processes) {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void flood_rig::writeFiles(const std::string &limits) const
{
    std::ofstream(file("settings.yaml")) << fmt::format("instance: quay-1\nregion: bay\ndata_centre: quay\ngateway: {}\npeer: {}\nadmin: {}\n"
                                                        "platform: [{}]\nregions: {{bay: [quay]}}\nthreads: 1\nlimits:\n{}",
                                                        at(kGatewayPort),
                                                        at(kPeerPort),
                                                        at(kAdminPort),
                                                        at(kPlatformPort),
                                                        limits);
    std::ofstream(file("routes.yaml")) << "routes:\n  - {name: cargo, path: /cargo, methods: [GET, POST], pool: cranes, deadline: 300s, "
                                          "max_body_bytes: 1048576}\n";
    std::ofstream(file("pools.yaml")) << fmt::format("pools:\n  - name: cranes\n    slots: 50\n    connections: 200\n    load_path: /load\n"
                                                     "    endpoints:\n      - {{address: {}, data_centre: quay}}\n",
                                                     at(kEndpointPort));
}

void flood_rig::start(const std::string &name, const std::vector<std::string> &command)
{
    std::vector<char *> arguments;
    std::ranges::transform(command, std::back_inserter(arguments), [](const std::string &argument) {
        return const_cast<char *>(argument.c_str());
    });
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    const auto log = file(name + ".log");
    ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t pid = 0;
    const int error = ::posix_spawn(&pid, arguments.front(), &actions, nullptr, arguments.data(), environ);
    ::posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::runtime_error("cannot start " + command.front());
    }
    m_processes[name] = pid;
}

void flood_rig::send(std::size_t connections, const std::vector<std::string> &pieces)
{
    struct sender {
        int handle;
        std::size_t piece = 0;
        std::size_t offset = 0;
    };
    std::vector<sender> senders;
    for (std::size_t i = 0; i < connections; ++i) {
        if (const int handle = connectTo(m_host, kGatewayPort); handle >= 0) {
            m_connections.push_back(handle);
            senders.push_back({handle});
        }
    }
    auto lastProgress = steady_clock::now();
    while (!senders.empty() && steady_clock::now() - lastProgress < kQuietTime) {
        bool hasProgress = false;
        std::erase_if(senders, [&](sender &each) {
            const auto &piece = pieces[each.piece];
            const auto count = ::send(each.handle, piece.data() + each.offset, piece.size() - each.offset, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count < 0) {
                return errno != EAGAIN && errno != EWOULDBLOCK; // the instance has ended the connection
            }
            hasProgress = hasProgress || count > 0;
            each.offset += static_cast<std::size_t>(count);
            if (each.offset == piece.size()) {
                each.offset = 0;
                ++each.piece;
            }
            return each.piece == pieces.size();
        });
        if (hasProgress) {
            lastProgress = steady_clock::now();
        } else {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }
    std::this_thread::sleep_for(kQuietTime); // the instance reads what the kernel still holds
}

bool flood_rig::isAlive()
{
    return ::waitpid(m_processes.at("instance"), nullptr, WNOHANG) == 0;
}

std::size_t flood_rig::memoryKb(const std::string &field) const
{
    std::ifstream status(fmt::format("/proc/{}/status", m_processes.at("instance")));
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(field + ":")) {
            return std::stoul(line.substr(field.size() + 1));
        }
    }
    throw std::runtime_error("no field " + field);
}

std::size_t flood_rig::descriptors() const
{
    const std::filesystem::directory_iterator entries(fmt::format("/proc/{}/fd", m_processes.at("instance")));
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

unsigned flood_rig::ordinaryCall() const
{
    const auto answer = exchange(m_host, kGatewayPort, "GET /cargo HTTP/1.1\r\nHost: flood\r\nConnection: close\r\n\r\n");
    constexpr std::size_t kStatusOffset = 9;
    return answer.size() > kStatusOffset ? static_cast<unsigned>(std::strtoul(answer.c_str() + kStatusOffset, nullptr, 10)) : 0;
}

std::string flood_rig::file(const std::string &name) const
{
    return (m_folder / name).string();
}

std::string flood_rig::at(unsigned port) const
{
    return fmt::format("{}:{}", m_host, port);
}
