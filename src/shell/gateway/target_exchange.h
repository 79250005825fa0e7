#pragma once

#include "sequoiawharf/attempt.h"
#include "sequoiawharf/probe_choice.h"
#include "src/shell/call_stream.h"
#include "src/shell/gateway/call_watch.h"
#include "src/shell/gateway/connection_pool.h"
#include "src/shell/net/message_reader.h"

#include <boost/asio/steady_timer.hpp>

#include <optional>
#include <string>

namespace sequoiawharf
{

class call_dialect;
class request_body;
struct endpoint;

/// What an exchange needs to know of its call and its endpoint.
struct exchange_terms {
    const call_head &head;
    const call_profile &profile;
    request_body &body;
    const endpoint &target;
    const call_dialect &dialect;
    connection_plan plan;
    bool requiresRecentAnswer = false; ///< Go out on a new connection, or one that answered a moment ago, whatever the call allows.
    std::chrono::nanoseconds stallTimeout {0}; ///< Time without a byte after which a reused connection is suspected to be silent.
    std::size_t headerBytes = 16U << 10U; ///< Largest head of an answer.
};

/// One request and its answer at one endpoint, over a connection of its own. Used on one thread by one coroutine.
class target_exchange
{
public:
    /// All arguments, and what the terms refer to, outlive the exchange.
    target_exchange(const exchange_terms &terms, connection_pool &connections, call_watch &watch, thread_metrics &metrics);

    /// Has the request go out on a connection that has just been proven. Precondition: called before begin().
    void adopt(connection_ptr connection);

    /// Connects, sends the request and reads the head of the answer. False: it failed, and outcome() says how. An upload may still go on.
    /// Precondition: called once.
    boost::asio::awaitable<bool> begin();

    /// Returns the head of the answer. Precondition: begin() gave true.
    answer_head head() const;

    /// Tells whether the answer announced a length.
    std::optional<std::uint64_t> contentLength() const;

    /// Reads up to piece.size() bytes of the answer's body; 0 is its end. An empty value: it failed, and outcome() says how.
    boost::asio::awaitable<std::optional<std::size_t>> read(std::span<char> piece);

    /// Ends the exchange: waits for the upload to stop, and keeps the connection for later calls if the answer was read whole.
    /// Precondition: called once, as the last.
    boost::asio::awaitable<void> end();

    /// Gives the exchange up: what is pending fails as cancelled. Does nothing after end().
    void cancel();

    /// Has the connection's siblings suspected if it is a reused one that gave no byte for so long as the terms say.
    void suspectStalledConnection();

    /// Tells whether the target says that it did not run the call. Precondition: begin() gave true.
    bool reportsNotRun() const
    {
        return m_saysNotRun;
    }

    /// Returns the target's load as its answer told, if it did.
    const std::optional<endpoint_load> &load() const
    {
        return m_load;
    }

    /// Returns the evidence. The end is Answered as long as nothing failed.
    attempt_outcome &outcome()
    {
        return m_outcome;
    }

    /// Returns the time from sending the request to the newest part of the answer.
    std::chrono::nanoseconds targetTime() const;

private:
    boost::asio::awaitable<bool> connect();
    boost::asio::awaitable<bool> send();
    boost::asio::awaitable<bool> readHead();
    boost::asio::awaitable<void> upload();
    boost::asio::awaitable<bool> passBodyOn();
    boost::asio::awaitable<bool> sendPart(std::string_view framing, std::string_view part, std::string_view tail);
    void startUpload();
    bool fail(attempt_end end);
    bool failReading(const message_fault &fault);
    bool readSignals();
    bool isReusable();

    exchange_terms m_terms;
    connection_pool &m_connections;
    call_watch &m_watch;
    thread_metrics &m_metrics;
    connection_ptr m_connection;
    std::optional<message_reader> m_reader;
    std::optional<response_parser> m_parser;
    attempt_outcome m_outcome;
    mono_time m_sent;
    mono_time m_received;
    std::optional<endpoint_load> m_load;
    bool m_saysNotRun = false;
    bool m_isCancelled = false;
    bool m_isUploading = false;
    bool m_uploadIsWhole = true;
    bool m_answerIsWhole = false;
    std::optional<boost::asio::steady_timer> m_uploadEnd; ///< Never expires; cancelled when the upload stops.
};

} // namespace sequoiawharf
