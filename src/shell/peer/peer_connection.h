#pragma once

#include "src/shell/peer/peer_session.h"

#include <chrono>
#include <memory>

namespace sequoiawharf
{

/// Maintains one persistent session to one address. Connects on demand, and after a failed attempt not before an exponential backoff has passed. Used on
/// one thread; coroutines hold it by shared pointer.
class peer_connection
{
public:
    peer_connection(host_port address, std::shared_ptr<peer_traffic> traffic);

    /// Returns a session that accepts new streams, or null when none is available before the given time or during a backoff. pingAfter: time without
    /// received bytes after which a session must answer a ping before it is returned.
    boost::asio::awaitable<std::shared_ptr<peer_session>> get(mono_time until, std::chrono::milliseconds pingAfter);

    /// Returns the time of the last call of get().
    mono_time lastUsed() const
    {
        return m_lastUsed;
    }

    /// Closes the session. graceful: once its streams have ended.
    void close(bool graceful);

private:
    boost::asio::awaitable<void> connect(mono_time until);
    std::shared_ptr<peer_session> usableSession() const;
    boost::asio::awaitable<bool> isSessionLive(std::chrono::milliseconds pingAfter);

    host_port m_address;
    std::shared_ptr<peer_traffic> m_traffic;
    std::weak_ptr<peer_session> m_session; ///< Weak: the session's coroutines own the session, so that it is destroyed with their io_context.
    async_signal m_connected;
    mono_time m_lastUsed;
    mono_time m_nextConnect;
    unsigned m_failures = 0;
    bool m_connecting = false;
};

} // namespace sequoiawharf
