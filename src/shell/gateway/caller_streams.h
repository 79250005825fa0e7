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

/// A caller's connection. Shared with the pending wait for its close, which may outlive the session.
struct caller_connection {
    explicit caller_connection(boost::asio::ip::tcp::socket accepted);

    /// Closes the connection with a reset, so that the caller cannot mistake a truncated answer for a complete one.
    void reset();

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
};

/// The body of a caller's request.
class caller_body : public body_source
{
public:
    /// expectsContinue: the caller waits for "100 Continue" before it sends the body. All references outlive the object.
    caller_body(caller_connection &connection, message_reader &reader, request_parser &parser, thread_metrics &metrics, bool expectsContinue);

    stream_awaitable<std::size_t> read(std::span<char> buffer) override;
    void cancel() override;

    /// Returns whether the body was read to its end.
    bool isComplete() const;

    /// Sets the action that runs once, when the body has been read to its end.
    void onComplete(std::function<void()> action);

private:
    caller_connection &m_connection;
    message_reader &m_reader;
    request_parser &m_parser;
    thread_metrics &m_metrics;
    bool m_expectsContinue;
    std::function<void()> m_onComplete;
    bool m_isReading = false;
    bool m_isCancelled = false;
};

/// Properties of a request and its connection that determine the form of the answer.
struct answer_terms {
    const call_dialect &dialect;
    call_id id = 0;
    std::string label; ///< The caller's name for the call.
    bool isHead = false;
    bool isVersion10 = false;
    bool closes = false; ///< The connection must close after the answer, at the caller's request or because of its state.
};

/// The answer to a caller's request. Detects when the caller disconnects before the answer is finished.
class caller_answer : public answer_sink
{
public:
    /// All references, and terms.dialect, outlive the object.
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

    /// Starts to watch for the caller's disconnect if an action is set and no received bytes are buffered. The watch ends when bytes arrive, such as
    /// those of a request body, so it is started again after the body.
    void watch();

    /// Returns whether the connection can carry another request.
    bool keepsConnection() const
    {
        return m_isFinished && !m_closes;
    }
    /// Returns whether the whole answer was sent.
    bool isFinished() const
    {
        return m_isFinished;
    }

private:
    stream_awaitable<std::size_t> send(std::string_view first, std::string_view second, std::string_view third);
    void stopWatching();

    struct disconnect_watch;

    std::shared_ptr<caller_connection> m_connection;
    const caller_body &m_body;
    answer_terms m_terms;
    thread_metrics &m_metrics;
    const std::atomic<bool> &m_stopping;
    std::shared_ptr<disconnect_watch> m_disconnect;
    std::string m_pendingHead; ///< The head, until it is sent together with the first bytes of the body.
    std::uint64_t m_remainingBytes = 0; ///< Announced bytes of the body that are not written yet.
    bool m_isChunked = false;
    bool m_hasNoBody = false;
    bool m_hasLength = false;
    bool m_closes = false;
    bool m_isFinished = false;
    bool m_isAborted = false;
};

} // namespace sequoiawharf
