#include "src/shell/net/fetch_all.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;
using fetch_result = tl::expected<http_answer, http_error>;

asio::awaitable<void> fetchInto(fetch_result &result, http_request request, std::chrono::milliseconds timeout)
{
    result = co_await fetch(std::move(request), timeout);
}

} // namespace

std::vector<fetch_result> fetchAll(const std::vector<http_request> &requests, std::chrono::milliseconds timeout)
{
    asio::io_context context(1);
    std::vector<fetch_result> results(requests.size(), tl::unexpected(http_error::NotSent));
    for (std::size_t i = 0; i < requests.size(); ++i) {
        asio::co_spawn(context, fetchInto(results[i], requests[i], timeout), asio::detached);
    }
    context.run();
    return results;
}

} // namespace sequoiawharf
