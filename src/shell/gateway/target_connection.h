#pragma once

#include "sequoiawharf/time.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace sequoiawharf
{

/// A connection to an endpoint, which carries one call at a time. Used on one thread.
class target_connection
{
public:
    /// openCount: number of connections to the endpoint, which the object increments for its lifetime; it outlives the object.
    target_connection(const boost::asio::any_io_executor &executor, unsigned &openCount, mono_time now);
    ~target_connection();
    target_connection(const target_connection &) = delete;
    target_connection &operator=(const target_connection &) = delete;

    /// Returns whether the connection may carry another call: it is open and the endpoint has sent nothing since the last answer.
    bool isReadyForCall();

    /// Closes the connection. Pending operations fail. The endpoint sees a reset if received bytes are unread.
    void close();

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    mono_time opened;
    mono_time lastAnswer; ///< Time of the last complete answer, or of the opening if there is none.
    bool isUnused = true; ///< No call has been carried yet.

private:
    unsigned &m_openCount;
};

} // namespace sequoiawharf
