#include "src/shell/gateway/request_body.h"

#include <algorithm>
#include <cassert>

namespace sequoiawharf
{

request_body::request_body(body_source &caller, std::optional<std::uint64_t> length, std::uint64_t maxBytes)
    : m_caller(caller)
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
    m_held.resize(capacity);
    std::size_t filled = 0;
    while (filled < capacity || m_length) {
        std::span<char> rest(m_held.data() + filled, capacity - filled);
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
    auto count = co_await m_caller.read(buffer);
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
