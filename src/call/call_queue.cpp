#include "sequoiawharf/call_queue.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace sequoiawharf
{

namespace
{

auto orderOf(const waiting_call &call)
{
    return std::pair(call.profile.priority, call.profile.deadline);
}

} // namespace

call_queue::call_queue(std::size_t capacity)
    : m_capacity(capacity)
{
    assert(capacity > 0);
    m_calls.reserve(capacity + 1);
}

std::optional<waiting_call> call_queue::push(const waiting_call &call)
{
    m_calls.insert(std::ranges::upper_bound(m_calls, orderOf(call), {}, orderOf), call);
    if (m_calls.size() <= m_capacity) {
        return std::nullopt;
    }
    const auto last = m_calls.back();
    m_calls.pop_back();
    return last;
}

std::optional<waiting_call> call_queue::pop(mono_time now, std::chrono::nanoseconds minTime, const std::function<bool(const waiting_call &)> &mayTake)
{
    const auto first = std::ranges::find_if(m_calls, [&](const waiting_call &call) {
        return now + minTime < call.profile.deadline && (!mayTake || mayTake(call));
    });
    if (first == m_calls.end()) {
        return std::nullopt;
    }
    const auto call = *first;
    m_calls.erase(first);
    return call;
}

std::vector<waiting_call> call_queue::takeExpired(mono_time now, std::chrono::nanoseconds minTime)
{
    const auto expired = std::ranges::stable_partition(m_calls, [&](const waiting_call &call) {
        return now + minTime < call.profile.deadline;
    });
    std::vector<waiting_call> taken(expired.begin(), expired.end());
    m_calls.erase(expired.begin(), expired.end());
    return taken;
}

bool call_queue::isFirst(const call_profile &call) const
{
    const auto order = std::pair(call.priority, call.deadline);
    const auto end = std::ranges::lower_bound(m_calls, order, {}, orderOf);
    return std::none_of(m_calls.begin(), end, [&](const waiting_call &earlier) {
        return (call.centres & ~earlier.profile.centres) == 0;
    });
}

bool call_queue::remove(std::uint64_t token)
{
    return std::erase_if(m_calls,
                         [token](const waiting_call &call) {
                             return call.token == token;
                         })
           > 0;
}

} // namespace sequoiawharf
