#pragma once

#include "sequoiawharf/pool_table.h"
#include "src/shell/gateway/call_memory.h"
#include "src/shell/gateway/target_exchange.h"

#include <span>
#include <string>

namespace sequoiawharf
{

/// One attempt of a call at one endpoint, up to the point where its answer can be forwarded: a small answer is held in memory as a whole, of a larger
/// one the beginning. Used by one coroutine, on one thread.
class call_attempt
{
public:
    enum class result {
        Running,
        Failed, ///< There is no answer to forward; the outcome of exchange() states why.
        Held, ///< The complete answer is in memory, and the exchange has ended.
        Streaming, ///< The rest of the answer must be read from exchange().
    };

    /// index: the endpoint's index in its pool; limit: maximum size of an answer's body to hold in memory, in bytes. Precondition: definition, connections,
    /// watch, metrics and what the terms refer to outlive the object.
    call_attempt(std::uint32_t index,
                 const pool &definition,
                 const exchange_terms &terms,
                 std::size_t limit,
                 connection_pool &connections,
                 call_watch &watch,
                 thread_metrics &metrics);

    /// Sends the request and reads the answer up to that point. Returns the result, which state() holds from then on. Precondition: called once.
    boost::asio::awaitable<result> run();

    /// Cancels the attempt: pending reads and writes fail.
    void cancel();

    /// Ends the exchange, if run() has not ended it. May be called more than once. Precondition: run() has ended.
    boost::asio::awaitable<void> end();

    /// Returns the endpoint's index in its pool.
    std::uint32_t index() const
    {
        return m_index;
    }
    mono_time started() const
    {
        return m_started;
    }
    result state() const
    {
        return m_state;
    }
    target_exchange &exchange()
    {
        return m_exchange;
    }
    /// Returns the part of the answer's body that is in memory.
    std::string &held()
    {
        return m_held;
    }

private:
    boost::asio::awaitable<result> sendAndReceive();
    boost::asio::awaitable<bool> hold();
    bool hasNotFailed();
    bool mayHold();
    bool grow(std::size_t bytes);

    std::uint32_t m_index;
    const pool &m_definition;
    std::size_t m_limit;
    call_memory &m_memory;
    target_exchange m_exchange;
    mono_time m_started;
    std::string m_held;
    result m_state = result::Running;
    bool m_hasEnded = false;
};

} // namespace sequoiawharf
