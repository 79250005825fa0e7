#pragma once

#include "sequoiawharf/attempt.h"
#include "sequoiawharf/endpoint_availability.h"
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
class pool_balancer;
class request_body;
struct endpoint;

/// The call and endpoint of an exchange, and its limits.
struct exchange_terms {
    const call_head &head;
    const call_profile &profile;
    request_body &body;
    const pool_balancer &pool;
    std::uint32_t index; ///< Of the endpoint in the pool.
    const call_dialect &dialect;
    connection_plan plan;
    bool requiresRecentAnswer = false; ///< Use only a new connection or one that answered recently, even for idempotent calls.
    std::chrono::nanoseconds stallTimeout {0}; ///< Time without a received byte after which a reused connection is suspected to be dead.
    std::size_t headerBytes = 16U << 10U; ///< Size limit for the head of an answer.
};

/// Carries one request and its answer over one connection to an endpoint. Used on one thread by one coroutine.
class target_exchange
{
public:
    /// All arguments, and the objects that the terms refer to, outlive the exchange.
    target_exchange(const exchange_terms &terms, connection_pool &connections, call_watch &watch, thread_metrics &metrics);

    /// Uses the connection, which a probe has just shown to work, for the request. Precondition: called before begin().
    void adopt(connection_ptr connection);

    /// Connects, sends the request and reads the head of the answer. Returns whether that succeeded; outcome() holds the failure. The upload of the
    /// body may still be running afterwards. Precondition: called once.
    boost::asio::awaitable<bool> begin();

    /// Returns the head of the answer. Precondition: begin() returned true.
    answer_head head() const;

    /// Returns the content length that the answer announced, or nothing. Precondition: begin() returned true.
    std::optional<std::uint64_t> contentLength() const;

    /// Reads up to piece.size() bytes of the answer's body and returns their number, 0 at its end. Returns nothing on failure; outcome() holds the
    /// cause. Precondition: begin() returned true.
    boost::asio::awaitable<std::optional<std::size_t>> read(std::span<char> piece);

    /// Ends the exchange: stops a running upload, and returns the connection to the pool if request and answer were complete. Precondition: called
    /// once, and no read follows.
    boost::asio::awaitable<void> end();

    /// Cancels the exchange: pending operations fail, and the outcome is Cancelled. Does nothing after end().
    void cancel();

    /// Marks the endpoint's connections suspect if the exchange uses a reused one that has received nothing for terms.stallTimeout since the request.
    void suspectStalledConnection();

    /// Returns whether the target reports that it did not run the call. Precondition: begin() returned true.
    bool reportsNotRun() const
    {
        return m_saysNotRun;
    }

    /// Returns the target's load if its answer reported it.
    const std::optional<endpoint_load> &load() const
    {
        return m_load;
    }

    /// Returns the outcome so far. Unless the exchange failed, its end is Answered, or ServerError from the head of an answer with status 500 or above.
    attempt_outcome &outcome()
    {
        return m_outcome;
    }

    /// Returns the time from sending the request to the newest received part of the answer, or 0 if none was received.
    std::chrono::nanoseconds targetTime() const;

private:
    boost::asio::awaitable<bool> connect();
    boost::asio::awaitable<bool> send();
    boost::asio::awaitable<bool> readHead();
    boost::asio::awaitable<void> upload();
    boost::asio::awaitable<bool> streamBody();
    boost::asio::awaitable<bool> sendPart(std::string_view framing, std::string_view part, std::string_view tail);
    void startUpload();
    bool fail(attempt_end end);
    bool failReading(const message_fault &fault);
    bool readSignals();
    void recordAvailability(const endpoint_availability &stated);
    const endpoint &target() const;
    bool isReusable();

    exchange_terms m_terms;
    connection_pool &m_connections;
    call_watch &m_watch;
    thread_metrics &m_metrics;
    connection_ptr m_connection;
    std::optional<message_reader> m_reader;
    std::optional<response_parser> m_parser;
    attempt_outcome m_outcome;
    mono_time m_sent; ///< When sending of the request began.
    mono_time m_received; ///< When the newest part of the answer was received; the epoch: none yet.
    std::optional<endpoint_load> m_load;
    bool m_saysNotRun = false;
    bool m_isCancelled = false;
    bool m_isUploading = false;
    bool m_uploadIsWhole = true;
    bool m_answerIsWhole = false;
    bool m_isConnectionBroken = false; ///< A write has failed with a reset or another failure of the connection.
    std::optional<boost::asio::steady_timer> m_uploadFinished; ///< Never expires; it is cancelled when the upload stops.
};

} // namespace sequoiawharf
