#pragma once

#include "src/shell/gateway/caller_streams.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace sequoiawharf
{

class call_engine;

/// Serves a caller's connection: reads its requests one after the other and passes each to the engine. Used on one thread.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    /// Precondition: gateway_shared::callerConnections counts the connection already; the destructor decrements it. The engine outlives the session.
    caller_session(boost::asio::ip::tcp::socket socket, call_engine &engine);
    ~caller_session();

    /// Serves requests until the connection ends. Precondition: called once, and the session outlives the coroutine.
    boost::asio::awaitable<void> run();

    /// Closes the connection if it has been waiting for a request for at least idleTime.
    void closeIdle(std::chrono::nanoseconds idleTime, mono_time now);

private:
    message_awaitable<std::size_t> readHead(request_parser &parser);
    boost::asio::awaitable<bool> serve(request_parser &parser);
    boost::asio::awaitable<void> answerDirectory(const call_head &request, caller_answer &answer);
    boost::asio::awaitable<void> refuseRequest(const message_fault &fault);
    boost::asio::awaitable<void> closeGracefully();
    call_head makeHead(const request_parser &parser);

    call_engine &m_engine;
    std::shared_ptr<caller_connection> m_connection;
    message_reader m_reader;
    std::string m_remoteAddress;
    mono_time m_waitingSince; ///< When the wait for the next request began.
    bool m_isWaiting = false;
};

} // namespace sequoiawharf
