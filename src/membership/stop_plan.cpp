#include "sequoiawharf/stop_plan.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

constexpr std::chrono::seconds kRepeatedRequestDeadline {5};
constexpr std::chrono::seconds kMaxUnshortenedDeadline {10}; ///< A stop of at most this deadline keeps it when the request is repeated.

/// Callers may hold an answer that was on its way when the instance left the directory.
constexpr std::chrono::milliseconds kAnswerLatency {500};

/// Time before the deadline of the stop that is left for sending the last answers, and the largest part of a short stop that it takes.
constexpr std::chrono::milliseconds kLastAnswersTime {200};
constexpr int kLastAnswersDivisor = 10;

} // namespace

stop_plan::stop_plan(std::chrono::milliseconds lifetime, std::chrono::milliseconds deadline)
    : m_lifetime(lifetime)
    , m_deadline(deadline)
{
}

void stop_plan::request(mono_time sentSince, mono_time now)
{
    if (m_phase == stop_phase::Serving) {
        m_phase = stop_phase::Announced;
        m_countsFrom = sentSince;
        m_lastArrival = sentSince + m_lifetime;
        m_cutAt = sentSince + m_deadline;
        m_drainAt = std::min(now + m_lifetime + kAnswerLatency, answerBy());
        return;
    }
    m_lastArrival = std::min(m_lastArrival, now);
    m_drainAt = std::min(m_drainAt, now);
    if (m_deadline > kMaxUnshortenedDeadline) {
        m_cutAt = std::min(m_cutAt, now + kRepeatedRequestDeadline);
    }
}

mono_time stop_plan::answerBy() const
{
    return m_cutAt - std::min(kLastAnswersTime, m_deadline / kLastAnswersDivisor);
}

stop_bounds stop_plan::bounds() const
{
    return {.countsFrom = m_countsFrom, .lastArrival = m_lastArrival, .answerBy = answerBy()};
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
