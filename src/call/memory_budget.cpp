#include "sequoiawharf/memory_budget.h"

#include "src/base/relaxed.h"

#include <algorithm>
#include <tuple>

namespace sequoiawharf
{

namespace
{

constexpr std::size_t kReservedDivisor = 8; // of the limit, for small calls

} // namespace

memory_budget::memory_budget(std::size_t limit)
    : m_limit(limit)
{
}

bool memory_budget::tryReserve(std::size_t bytes, use kind)
{
    const auto most = kind == use::Small ? m_limit : m_limit - m_limit / kReservedDivisor;
    auto current = m_held.load(kRelaxed);
    do {
        if (bytes > most || current > most - bytes) {
            return false;
        }
    } while (!m_held.compare_exchange_weak(current, current + bytes, kRelaxed));
    return true;
}

void memory_budget::release(std::size_t bytes)
{
    m_held.fetch_sub(bytes, kRelaxed);
}

void memory_budget::waitStarted(std::size_t bytes)
{
    m_awaited.fetch_add(bytes, kRelaxed);
}

void memory_budget::waitEnded(std::size_t bytes)
{
    m_awaited.fetch_sub(bytes, kRelaxed);
}

std::size_t memory_budget::awaited() const
{
    return m_awaited.load(kRelaxed);
}

std::size_t memory_budget::held() const
{
    return m_held.load(kRelaxed);
}

std::vector<std::size_t> bodiesToEnd(std::span<const body_progress> bodies, std::size_t bytes, mono_time now)
{
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < bodies.size(); ++i) {
        if (bodies[i].heldBytes > 0 && now - bodies[i].lastByte >= kMinQuietTime) {
            candidates.push_back(i);
        }
    }
    std::ranges::sort(candidates, {}, [&](std::size_t index) {
        return std::tuple(bodies[index].lastByte, bodies[index].receivedBytes, index);
    });
    std::size_t freed = 0;
    const auto end = std::ranges::find_if(candidates, [&](std::size_t index) {
        const bool isEnough = freed >= bytes;
        freed += bodies[index].heldBytes;
        return isEnough;
    });
    candidates.erase(end, candidates.end());
    return candidates;
}

} // namespace sequoiawharf
