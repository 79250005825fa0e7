#include "sequoiawharf/stop_plan.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

constexpr std::chrono::seconds kRepeatedRequestDeadline {5};

/// Callers may hold an answer that was on its way when the instance left the directory.
constexpr std::chrono::milliseconds kAnswerLatency {500};

} // namespace

stop_plan::stop_plan(std::chrono::milliseconds lifetime, std::chrono::milliseconds deadline)
    : m_lifetime(lifetime)
    , m_deadline(deadline)
{
}

void stop_plan::request(mono_time now)
{
    if (m_phase == stop_phase::Serving) {
        m_phase = stop_phase::Announced;
        m_drainAt = now + m_lifetime + kAnswerLatency;
        m_cutAt = now + m_deadline;
        return;
    }
    m_drainAt = std::min(m_drainAt, now);
    m_cutAt = std::min(m_cutAt, now + kRepeatedRequestDeadline);
}

stop_phase stop_plan::update(std::size_t inFlight, mono_time now)
{
    if (m_phase == stop_phase::Announced && (now >= m_drainAt || now >= m_cutAt)) {
        m_phase = stop_phase::Draining;
    }
    if (m_phase == stop_phase::Draining && (inFlight == 0 || now >= m_cutAt)) {
        m_phase = stop_phase::Finished;
        m_cut = inFlight;
    }
    return m_phase;
}

} // namespace sequoiawharf
