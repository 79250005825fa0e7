#pragma once

#include "sequoiawharf/endpoint_registry.h"
#include "src/shell/platform/log_client.h"

#include <boost/asio/awaitable.hpp>
#include <tl/expected.hpp>

#include <string>

namespace sequoiawharf
{

/// Error of a read of discovery.
struct discovery_fault {
    bool isDropped = false; ///< The service does not hold the requested records, or no longer does; all entries must be read.
    std::string detail;
};

/// Client of discovery, the service in which endpoints register themselves. Runs on the executor of the calling coroutine.
class discovery_client
{
public:
    using result = tl::expected<discovery_page, discovery_fault>;

    virtual ~discovery_client() = default;

    /// Reads all entries.
    virtual boost::asio::awaitable<result> whole() = 0;

    /// Reads the registrations and removals from a position on. Fails with isDropped when the service no longer holds them, or was restored from an earlier
    /// copy since.
    virtual boost::asio::awaitable<result> since(log_position from) = 0;
};

} // namespace sequoiawharf
