#pragma once

#include <sys/types.h>

#include <cstddef>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

/// One instance with a platform and a target, as processes on an address of loopback that depends on the test's process id. Used on one thread.
class flood_rig
{
public:
    /// Starts the processes and publishes a route for bodies of up to 1 MB. limits: lines of the settings' section "limits", indented by two spaces.
    explicit flood_rig(const std::string &limits);

    /// Ends the processes.
    ~flood_rig();
    flood_rig(const flood_rig &) = delete;
    flood_rig &operator=(const flood_rig &) = delete;

    /// Sends each piece to every one of the given number of new connections, piece after piece, and keeps the connections open. Returns when all bytes
    /// are sent, or when no connection has taken a byte for a while.
    void send(std::size_t connections, const std::vector<std::string> &pieces);

    /// Returns whether the instance's process lives.
    bool isAlive();

    /// Returns the instance's field of /proc/PID/status in kB, such as VmHWM.
    std::size_t memoryKb(const std::string &field) const;

    /// Returns the number of descriptors that the instance holds open.
    std::size_t descriptors() const;

    /// Returns the status of the answer to a small call on a new connection, 0 if there was none.
    unsigned ordinaryCall() const;

private:
    void writeFiles(const std::string &limits) const;
    void start(const std::string &name, const std::vector<std::string> &command);
    std::string file(const std::string &name) const;
    std::string at(unsigned port) const;

    std::string m_host;
    std::filesystem::path m_folder;
    std::map<std::string, pid_t> m_processes;
    std::vector<int> m_connections;
};
