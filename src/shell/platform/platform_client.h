#pragma once

#include "src/shell/platform/log_client.h"

#include <vector>

namespace sequoiawharf
{

/// Client of the platform's service over HTTP and JSON. Uses the first of the addresses that is reachable. Not thread safe.
class platform_client final : public log_client, public instance_list_client
{
public:
    /// Precondition: addresses is not empty.
    explicit platform_client(std::vector<host_port> addresses, std::chrono::milliseconds timeout = std::chrono::seconds(5));

    platform_awaitable<log_offset> append(std::string data) override;
    platform_awaitable<log_page> read(log_offset from, unsigned max, std::chrono::milliseconds wait) override;
    platform_awaitable<std::vector<listed_instance>> instances() override;

private:
    platform_awaitable<std::string> request(std::string method, std::string path, std::string body, std::chrono::milliseconds timeout);

    std::vector<host_port> m_addresses;
    std::chrono::milliseconds m_timeout;
    std::size_t m_current = 0; // index of the address that the next request tries first
};

} // namespace sequoiawharf
