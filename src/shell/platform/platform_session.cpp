#include "src/shell/platform/platform_session.h"

#include "src/shell/platform/platform_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;

log_access_error toAccessError(platform_error error)
{
    return error == platform_error::Unavailable ? log_access_error::Unavailable : log_access_error::AnswerLost;
}

} // namespace

class platform_session::implementation
{
public:
    explicit implementation(const std::vector<host_port> &addresses)
        : client(addresses)
    {
    }

    // Runs the coroutine on the session's context until it ends and returns its result.
    template<typename result> platform_result<result> wait(platform_awaitable<result> work)
    {
        platform_result<result> outcome = tl::unexpected(platform_error::Unavailable);
        asio::co_spawn(m_context, storeResult(std::move(work), outcome), asio::detached);
        m_context.restart();
        m_context.run();
        return outcome;
    }

    platform_client client;

private:
    template<typename result> static asio::awaitable<void> storeResult(platform_awaitable<result> work, platform_result<result> &outcome)
    {
        outcome = co_await std::move(work);
    }

    asio::io_context m_context {1};
};

platform_session::platform_session(const std::vector<host_port> &addresses)
    : m_implementation(std::make_unique<implementation>(addresses))
{
}

platform_session::~platform_session() = default;

tl::expected<log_offset, log_access_error> platform_session::append(const std::string &data)
{
    return m_implementation->wait(m_implementation->client.append(data)).map_error(toAccessError);
}

tl::expected<log_page, log_access_error> platform_session::read(log_offset from, unsigned max, std::chrono::milliseconds wait)
{
    return m_implementation->wait(m_implementation->client.read(from, max, wait)).map_error(toAccessError);
}

mono_time platform_session::now()
{
    return std::chrono::steady_clock::now();
}

void platform_session::pause(std::chrono::milliseconds time)
{
    std::this_thread::sleep_for(time);
}

platform_result<std::vector<listed_instance>> platform_session::instances()
{
    return m_implementation->wait(m_implementation->client.instances());
}

} // namespace sequoiawharf
