#pragma once

#include "src/shell/net/http_client.h"

#include <vector>

namespace sequoiawharf
{

/// Sends all requests concurrently and returns their results in the order of the requests. Blocks until all have finished and runs an io_context of
/// its own, so it is for programs outside the daemon. Thread safe.
std::vector<tl::expected<http_answer, http_error>> fetchAll(const std::vector<http_request> &requests, std::chrono::milliseconds timeout);

} // namespace sequoiawharf
