#include "src/shell/gateway/call_attempt.h"

#include "src/shell/gateway/request_body.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;

constexpr std::size_t kInitialHeldBytes = 4096;
constexpr std::string_view kEventStream = "text/event-stream";

bool hasContentType(const header_list &headers, std::string_view type)
{
    return std::ranges::any_of(headers, [&](const header_field &field) {
        return field.name == "Content-Type" && field.value.starts_with(type);
    });
}

} // namespace

call_attempt::call_attempt(std::uint32_t index,
                           const pool &definition,
                           const exchange_terms &terms,
                           std::size_t limit,
                           connection_pool &connections,
                           call_watch &watch,
                           thread_metrics &metrics)
    : m_index(index)
    , m_definition(definition)
    , m_limit(limit)
    , m_memory(terms.body.memory())
    , m_exchange(terms, connections, watch, metrics)
    , m_started(std::chrono::steady_clock::now())
{
}

asio::awaitable<call_attempt::result> call_attempt::run()
{
    m_state = co_await sendAndReceive();
    if (m_state != result::Streaming) {
        co_await end();
    }
    co_return m_state;
}

asio::awaitable<void> call_attempt::end()
{
    if (!m_hasEnded) {
        m_hasEnded = true;
        co_await m_exchange.end();
    }
}

void call_attempt::cancel()
{
    m_exchange.cancel();
}

asio::awaitable<call_attempt::result> call_attempt::sendAndReceive()
{
    if (!co_await m_exchange.begin()) {
        co_return result::Failed;
    }
    const auto status = m_exchange.head().status;
    if (m_exchange.reportsNotRun() || std::ranges::find(m_definition.notRunStatuses, status) != m_definition.notRunStatuses.end()) {
        // The body is read so that the connection can be reused.
        co_await hold();
        if (hasNotFailed()) {
            m_exchange.outcome().end = attempt_end::Refused;
        }
        co_return result::Failed;
    }
    if (!mayHold()) {
        co_return result::Streaming;
    }
    const bool isWhole = co_await hold();
    if (!hasNotFailed()) {
        co_return result::Failed;
    }
    co_return isWhole ? result::Held : result::Streaming;
}

// Returns whether the exchange has not failed so far.
bool call_attempt::hasNotFailed()
{
    const auto end = m_exchange.outcome().end;
    return end == attempt_end::Answered || end == attempt_end::ServerError;
}

// Returns whether the body is known to fit into memory, or has no announced length and is not an event stream, which must be forwarded as it arrives.
bool call_attempt::mayHold()
{
    const auto length = m_exchange.contentLength();
    return length ? *length <= m_limit : !hasContentType(m_exchange.head().headers, kEventStream);
}

// Grows m_held to the size. Returns false if there is no memory for it; the answer is then streamed.
bool call_attempt::grow(std::size_t bytes)
{
    if (!m_memory.tryReserve(bytes - m_held.size())) {
        return false;
    }
    m_held.resize(bytes);
    return true;
}

// Reads the answer's body into m_held until it ends, fails or exceeds m_limit, or until there is no memory for more. Returns whether m_held is the complete
// body.
asio::awaitable<bool> call_attempt::hold()
{
    const auto length = m_exchange.contentLength();
    std::size_t filled = 0;
    if (!grow(length && *length <= m_limit ? *length + 1 : std::min(m_limit + 1, kInitialHeldBytes))) {
        co_return false;
    }
    while (true) {
        const auto count = co_await m_exchange.read(std::span<char>(m_held).subspan(filled));
        if (!count) {
            co_return false;
        }
        filled += *count;
        if (*count == 0 || filled > m_limit) {
            m_held.resize(filled);
            co_return *count == 0;
        }
        if (filled == m_held.size()) {
            if (!grow(std::min(m_limit + 1, 2 * m_held.size()))) {
                co_return false;
            }
        }
    }
}

} // namespace sequoiawharf
