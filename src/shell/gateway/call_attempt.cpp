#include "src/shell/gateway/call_attempt.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;

constexpr std::size_t kFirstHeldBytes = 4096;
constexpr std::string_view kEventStream = "text/event-stream";

bool hasType(const header_list &headers, std::string_view type)
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
    , m_exchange(terms, connections, watch, metrics)
    , m_started(std::chrono::steady_clock::now())
{
}

asio::awaitable<call_attempt::result> call_attempt::run()
{
    m_state = co_await proceed();
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

asio::awaitable<call_attempt::result> call_attempt::proceed()
{
    if (!co_await m_exchange.begin()) {
        co_return result::Failed;
    }
    const auto status = m_exchange.head().status;
    if (m_exchange.reportsNotRun() || std::ranges::find(m_definition.notRunStatuses, status) != m_definition.notRunStatuses.end()) {
        // The body is read so that the connection can be used again.
        co_await hold();
        if (gotHead()) {
            m_exchange.outcome().end = attempt_end::Refused;
        }
        co_return result::Failed;
    }
    if (!mayHold()) {
        co_return result::Streaming;
    }
    const bool isWhole = co_await hold();
    if (!gotHead()) {
        co_return result::Failed;
    }
    co_return isWhole ? result::Held : result::Streaming;
}

// Tells whether nothing failed so far.
bool call_attempt::gotHead()
{
    const auto end = m_exchange.outcome().end;
    return end == attempt_end::Answered || end == attempt_end::ServerError;
}

bool call_attempt::mayHold()
{
    const auto length = m_exchange.contentLength();
    return length ? *length <= m_limit : !hasType(m_exchange.head().headers, kEventStream);
}

// Reads until the answer ends or exceeds what may be held. True: held whole.
asio::awaitable<bool> call_attempt::hold()
{
    const auto length = m_exchange.contentLength();
    std::size_t filled = 0;
    m_held.resize(length && *length <= m_limit ? *length + 1 : std::min(m_limit + 1, kFirstHeldBytes));
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
            m_held.resize(std::min(m_limit + 1, 2 * m_held.size()));
        }
    }
}

} // namespace sequoiawharf
