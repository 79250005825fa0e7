#include "sequoiawharf/control_budget.h"

#include <algorithm>

namespace sequoiawharf
{

control_budget::control_budget(std::uint64_t bytesPerSecond, std::uint64_t linkBytesPerSecond, mono_time now)
    : m_all {bytesPerSecond, static_cast<double>(bytesPerSecond)}
    , m_link {linkBytesPerSecond, static_cast<double>(linkBytesPerSecond)}
    , m_refilled(now)
{
}

void control_budget::refill(mono_time now)
{
    const auto seconds = std::chrono::duration<double>(std::max(now, m_refilled) - m_refilled).count();
    m_refilled = std::max(now, m_refilled);
    const auto fill = [&](bucket &tokenBucket) {
        const auto rate = static_cast<double>(tokenBucket.rate);
        tokenBucket.tokens = std::max(tokenBucket.tokens, std::min(rate, tokenBucket.tokens + rate * seconds));
    };
    fill(m_all);
    fill(m_link);
}

void control_budget::addOnce(std::uint64_t bytes)
{
    m_all.tokens += static_cast<double>(bytes);
}

std::uint64_t control_budget::available(control_kind kind, mono_time now)
{
    refill(now);
    const double tokens = kind == control_kind::Link ? std::min(m_all.tokens, m_link.tokens) : m_all.tokens;
    return static_cast<std::uint64_t>(std::max(tokens, 0.0));
}

void control_budget::count(control_kind kind, std::uint64_t bytes)
{
    auto &count = m_counts[static_cast<std::size_t>(kind)];
    count.bytes += bytes;
    ++count.messages;
}

bool control_budget::admit(control_kind kind, std::uint64_t bytes, mono_time now)
{
    auto &count = m_counts[static_cast<std::size_t>(kind)];
    if (bytes > available(kind, now)) {
        ++count.refusals;
        return false;
    }
    m_all.tokens -= static_cast<double>(bytes);
    m_link.tokens -= kind == control_kind::Link ? static_cast<double>(bytes) : 0;
    count.bytes += bytes;
    ++count.messages;
    return true;
}

} // namespace sequoiawharf
