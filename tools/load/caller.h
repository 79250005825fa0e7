#pragma once

#include "sequoiawharf/random_source.h"
#include "sequoiawharf/time.h"
#include "tools/load/load_result.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace sequoiawharf::stand_in
{

/// One caller: it asks the directory which instance to use, caches the answer for its lifetime, and has its own connection pool. Not thread safe.
class caller
{
public:
    caller(std::string name, const load_options &options, std::uint64_t seed);

    /// Makes one call, reads the whole answer and returns the result.
    boost::asio::awaitable<call_result> call(const call_kind &kind, std::string requestId);

private:
    struct open_connection {
        explicit open_connection(const boost::asio::any_io_executor &executor)
            : stream(executor)
        {
        }
        boost::beast::tcp_stream stream;
        boost::beast::flat_buffer buffer;
        host_port server;
    };
    using connection_pointer = std::unique_ptr<open_connection>;

    boost::asio::awaitable<void> refreshDirectory();
    boost::asio::awaitable<connection_pointer> connect();
    boost::asio::awaitable<connection_pointer> open(host_port server);
    boost::asio::awaitable<bool> exchange(open_connection &connection, const call_kind &kind, call_result &result);
    connection_pointer takeIdle(const host_port &server);
    host_port currentServer();
    void demoteServer(const host_port &server);

    std::string m_name;
    const load_options &m_options;
    random_source m_random;
    std::vector<host_port> m_entries; ///< From the directory, best first.
    mono_time m_entriesUntil;
    bool m_refreshing = false;
    std::map<host_port, std::deque<connection_pointer>> m_idle;
};

} // namespace sequoiawharf::stand_in
