#include "sequoiawharf/call_record.h"

#include <cassert>

namespace sequoiawharf
{

namespace
{

call_reason reasonFor(attempt_end end)
{
    switch (end) {
    case attempt_end::Refused:
        return call_reason::TargetRefused;
    case attempt_end::ConnectFailed:
        return call_reason::ConnectFailed;
    case attempt_end::TimedOut:
        return call_reason::DeadlinePassed;
    case attempt_end::Cancelled:
        return call_reason::CallerGone;
    case attempt_end::BadAnswer:
    case attempt_end::ServerError:
        return call_reason::BadAnswer;
    case attempt_end::Lost:
    case attempt_end::Answered:
        return call_reason::ConnectionLost;
    }
    return call_reason::ConnectionLost;
}

} // namespace

bool isProvenNotRun(const attempt_outcome &outcome)
{
    return outcome.end == attempt_end::Refused || !outcome.requestMayHaveLeft;
}

void call_record::attemptStarted(std::uint32_t endpoint)
{
    assert(m_triedCount < kMaxAttempts);
    m_tried[m_triedCount++] = endpoint;
    ++m_attempts;
    ++m_outstanding;
}

void call_record::relayStarted()
{
    ++m_attempts;
    ++m_outstanding;
}

void call_record::attemptEnded(const attempt_outcome &outcome)
{
    assert(m_outstanding > 0);
    --m_outstanding;
    m_answerStarted = m_answerStarted || outcome.answerStarted;
    m_lastEnd = outcome.end;
    m_refused += outcome.end == attempt_end::Refused ? 1 : 0;
    m_unconnected += outcome.end == attempt_end::ConnectFailed ? 1 : 0;
    const bool mayHaveRun = !isProvenNotRun(outcome);
    if (mayHaveRun || !m_mayHaveRun) {
        m_reason = reasonFor(outcome.end);
    }
    m_mayHaveRun = m_mayHaveRun || mayHaveRun;
}

bool call_record::maySend(const call_profile &call) const
{
    if (m_attempts == 0) {
        return true;
    }
    return m_attempts < kMaxAttempts && call.replayable && (call.idempotent || provenNotRun());
}

} // namespace sequoiawharf
