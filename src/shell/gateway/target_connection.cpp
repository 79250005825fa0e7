#include "src/shell/gateway/target_connection.h"

#include <sys/socket.h>

#include <cerrno>

namespace sequoiawharf
{

target_connection::target_connection(const boost::asio::any_io_executor &executor, unsigned &openCount, mono_time now)
    : socket(executor)
    , opened(now)
    , lastAnswer(now)
    , m_openCount(openCount)
{
    m_openCount += 1;
}

target_connection::~target_connection()
{
    m_openCount -= 1;
}

bool target_connection::isReadyForCall()
{
    if (!socket.is_open() || buffer.size() > 0) {
        return false;
    }
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void target_connection::close()
{
    boost::system::error_code ignored;
    socket.close(ignored);
}

} // namespace sequoiawharf
