#pragma once

#include "sequoiawharf/configuration_state.h"
#include "sequoiawharf/ids.h"

#include <boost/asio/awaitable.hpp>
#include <tl/expected.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiawharf
{

/// Errors of requests to the platform's service.
enum class platform_error {
    Unavailable, ///< The service did not accept the request, which had no effect.
    AnswerLost, ///< The request was sent and no answer arrived; it may have taken effect.
    Malformed, ///< The answer has an unexpected status or cannot be parsed.
};

/// Returns the error as a short phrase. Thread safe.
std::string_view toString(platform_error error);

template<typename result> using platform_result = tl::expected<result, platform_error>;
template<typename result> using platform_awaitable = boost::asio::awaitable<platform_result<result>>;

/// One entry of the platform's list of instances. The list may be out of date.
struct listed_instance {
    instance_id id;
    host_port gateway;
    host_port peer;
    host_port admin;
    data_centre_id dataCentre;
    region_id region;
    bool leaving = false;

    friend bool operator==(const listed_instance &, const listed_instance &) = default;
};

/// The platform's append-only log. Runs on the executor of the calling coroutine.
class log_client
{
public:
    virtual ~log_client() = default;

    /// Appends a record and returns its offset. After AnswerLost the record may be in the log, and a repeated call may append it twice.
    virtual platform_awaitable<log_offset> append(std::string data) = 0;

    /// Returns up to max records, starting at the offset. Waits up to the given time when there are none yet.
    virtual platform_awaitable<log_page> read(log_offset from, unsigned max, std::chrono::milliseconds wait) = 0;
};

/// The platform's list of live and leaving instances. Runs on the executor of the calling coroutine.
class instance_list_client
{
public:
    virtual ~instance_list_client() = default;

    /// Returns the list, which includes leaving instances.
    virtual platform_awaitable<std::vector<listed_instance>> instances() = 0;
};

} // namespace sequoiawharf
