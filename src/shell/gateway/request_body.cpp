#include "src/shell/gateway/request_body.h"

#include <algorithm>
#include <cassert>

namespace sequoiawharf
{

namespace
{

constexpr std::size_t kInitialBytes = 16U << 10U;
constexpr std::size_t kMaxPieceBytes = 64U << 10U;

// Returns the memory for a body of the size: its own, and that of the parser's buffer, which holds up to one piece.
std::size_t cost(std::size_t bytes)
{
    return bytes + std::min(bytes, kMaxPieceBytes);
}

} // namespace

request_body::request_body(body_source &caller, call_memory &memory, std::optional<std::uint64_t> length, std::uint64_t maxBytes)
    : m_caller(caller)
    , m_memory(memory)
    , m_length(length)
    , m_maxBytes(maxBytes)
    , m_isComplete(length == 0U)
{
}

stream_awaitable<std::size_t> request_body::hold(std::size_t limit)
{
    if (m_isComplete || m_length.value_or(0) > limit) {
        co_return std::size_t {0};
    }
    // Reading one byte more than the limit distinguishes a body of exactly that size from a longer one.
    const auto capacity = m_length ? static_cast<std::size_t>(*m_length) : limit + 1;
    std::size_t allocated = 0;
    std::size_t filled = 0;
    while (filled < capacity || m_length) {
        if (filled == allocated && allocated < capacity) {
            const auto next = std::min(capacity, std::max(kInitialBytes, 2 * allocated));
            if (!co_await m_memory.reserve(cost(next) - cost(allocated))) {
                m_fault = stream_error::TimedOut;
                co_return tl::unexpected(stream_error::TimedOut);
            }
            m_held.reserve(next);
            allocated = next;
        }
        m_held.resize(std::min(allocated, filled + kMaxPieceBytes));
        std::span<char> rest(m_held.data() + filled, m_held.size() - filled);
        char extra = 0;
        const auto count = co_await readCaller(rest.empty() ? std::span<char>(&extra, 1) : rest);
        if (!count) {
            co_return count;
        }
        if (*count == 0) {
            m_isComplete = true;
            break;
        }
        assert(!rest.empty());
        filled += *count;
    }
    m_held.resize(filled);
    co_return filled;
}

void request_body::rewind()
{
    assert(isReplayable());
    m_position = 0;
}

stream_awaitable<std::size_t> request_body::read(std::span<char> buffer)
{
    if (m_position < m_held.size()) {
        const auto count = std::min(buffer.size(), m_held.size() - m_position);
        std::copy_n(m_held.data() + m_position, count, buffer.data());
        m_position += count;
        m_wasForwarded = true;
        co_return count;
    }
    if (m_isComplete) {
        co_return std::size_t {0};
    }
    m_wasForwarded = true;
    co_return co_await readCaller(buffer);
}

void request_body::cancel()
{
    m_isCancelled = true;
    m_caller.cancel();
}

stream_awaitable<std::size_t> request_body::readCaller(std::span<char> buffer)
{
    m_memory.readStarted();
    auto count = co_await m_caller.read(buffer);
    m_memory.readEnded(count.value_or(0));
    if (count) {
        m_received += *count;
        if (m_received > m_maxBytes) {
            count = tl::unexpected(stream_error::TooLarge);
        }
    }
    if (!count && !m_isCancelled) {
        m_fault = count.error();
    }
    co_return count;
}

} // namespace sequoiawharf
