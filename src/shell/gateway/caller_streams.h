#pragma once

#include "src/shell/call_stream.h"
#include "src/shell/net/message_reader.h"

#include <boost/asio/cancellation_signal.hpp>

#include <atomic>
#include <memory>
#include <string>

namespace sequoiawharf
{

class call_dialect;
struct thread_metrics;

/// One caller's connection. Shared with the pending wait for its close, which may outlive the session.
struct caller_connection {
    explicit caller_connection(boost::asio::ip::tcp::socket accepted);

    /// Closes at once; the caller sees a reset, so that it cannot take a cut answer for whole.
    void reset();

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
};

/// The body of a caller's request.
class caller_body : public body_source
{
public:
    /// All references outlive the object. expectsContinue: the caller waits for a word before it sends the body.
    caller_body(caller_connection &connection, message_reader &reader, request_parser &parser, thread_metrics &metrics, bool expectsContinue);

    stream_awaitable<std::size_t> read(std::span<char> buffer) override;
    void cancel() override;

    /// Tells whether the body was read to its end.
    bool isWhole() const;

    /// Sets what runs when the body has been read to its end.
    void whenWhole(std::function<void()> action);

private:
    caller_connection &m_connection;
    message_reader &m_reader;
    request_parser &m_parser;
    thread_metrics &m_metrics;
    bool m_expectsContinue;
    std::function<void()> m_whenWhole;
    bool m_isReading = false;
    bool m_isCancelled = false;
};

/// What the answer to one request depends on.
struct answer_terms {
    const call_dialect &dialect;
    call_id id = 0;
    std::string label; ///< The caller's own name for the call.
    bool isHead = false;
    bool isVersion10 = false;
    bool closes = false; ///< The caller, or the state of its connection, asks for the connection's end.
};

/// The answer to a caller's request. Notices when the caller leaves before it is finished.
class caller_answer : public answer_sink
{
public:
    /// body and stopping outlive the object.
    caller_answer(std::shared_ptr<caller_connection> connection,
                  const caller_body &body,
                  const answer_terms &terms,
                  thread_metrics &metrics,
                  const std::atomic<bool> &stopping);
    ~caller_answer() override;

    stream_awaitable<std::size_t> start(const answer_head &head) override;
    stream_awaitable<std::size_t> write(std::span<const char> bytes) override;
    stream_awaitable<std::size_t> finish() override;
    void abort() override;
    bool isReceiverGone() const override;
    void onReceiverGone(std::function<void()> action) override;

    /// Watches for the caller's leaving from now on, if an action is set: bytes of a body that still comes stop the watch.
    void watch();

    /// Tells whether the connection can carry another request.
    bool keepsConnection() const
    {
        return m_isFinished && !m_closes;
    }
    /// Tells whether the answer was sent whole.
    bool isFinished() const
    {
        return m_isFinished;
    }

private:
    stream_awaitable<std::size_t> send(std::string_view first, std::string_view second, std::string_view third);
    void stopWatching();

    struct departure;

    std::shared_ptr<caller_connection> m_connection;
    const caller_body &m_body;
    answer_terms m_terms;
    thread_metrics &m_metrics;
    const std::atomic<bool> &m_stopping;
    std::shared_ptr<departure> m_departure;
    std::string m_pending; ///< The head, as long as it waits for the body.
    std::uint64_t m_left = 0; ///< Announced bytes that are not written yet.
    bool m_isChunked = false;
    bool m_hasNoBody = false;
    bool m_hasLength = false;
    bool m_closes = false;
    bool m_isFinished = false;
    bool m_isAborted = false;
};

} // namespace sequoiawharf
