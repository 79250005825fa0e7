#pragma once

#include "sequoiawharf/attempt.h"

#include <array>
#include <cstdint>
#include <optional>
#include <span>

namespace sequoiawharf
{

/// Records the attempts of one call and derives whether a target may have run it. Not thread safe: each call has its own, used on the call's thread.
class call_record
{
public:
    static constexpr unsigned kMaxAttempts = 4; ///< Per call, relays included.

    /// Records the start of an attempt at an endpoint, given by its index in the pool. Precondition: maySend().
    void attemptStarted(std::uint32_t endpoint);

    /// Records the start of an attempt through an instance of another region. Precondition: maySend().
    void relayStarted();

    /// Records the end of an attempt or relay. Precondition: one is outstanding.
    void attemptEnded(const attempt_outcome &outcome);

    /// Returns whether another attempt may be sent: the request can be sent again, the maximum number of attempts is not reached, and a call that is
    /// not idempotent cannot run twice. True before the first attempt.
    bool maySend(const call_profile &call) const;

    /// Returns whether every attempt so far has ended and is proven not to have run the call. True before the first attempt.
    bool provenNotRun() const
    {
        return m_outstanding == 0 && !m_mayHaveRun;
    }

    /// Returns how the call ends when there is no answer to send to the caller.
    call_ending failureEnding() const
    {
        return provenNotRun() ? call_ending::NotRun : call_ending::Unknown;
    }

    /// Returns the reason of failure: that of the last attempt that may have run the call, else that of the last attempt; NoTarget before the first
    /// end of an attempt.
    call_reason failureReason() const
    {
        return m_reason;
    }

    /// Returns the indexes of the endpoints to which attempts were sent, in order.
    std::span<const std::uint32_t> tried() const
    {
        return {m_tried.data(), m_triedCount};
    }

    /// Returns the number of attempts and relays started.
    unsigned attempts() const
    {
        return m_attempts;
    }
    /// Returns the number of attempts and relays that have not ended.
    unsigned outstanding() const
    {
        return m_outstanding;
    }
    /// Returns whether an ended attempt sent part of its answer to the caller.
    bool answerStarted() const
    {
        return m_answerStarted;
    }

    /// Returns whether there were attempts and targets refused all of them, which is a sign of overload.
    bool allRefused() const
    {
        return m_attempts > 0 && m_refused == m_attempts;
    }

    /// Returns whether there were attempts and none of them got a connection to its endpoint.
    bool noneConnected() const
    {
        return m_attempts > 0 && m_unconnected == m_attempts;
    }

    /// Returns how the attempt that ended last ended, or nothing before the first end.
    std::optional<attempt_end> lastEnd() const
    {
        return m_lastEnd;
    }

private:
    std::array<std::uint32_t, kMaxAttempts> m_tried {};
    unsigned m_triedCount = 0;
    unsigned m_attempts = 0;
    unsigned m_outstanding = 0;
    unsigned m_refused = 0;
    unsigned m_unconnected = 0;
    bool m_mayHaveRun = false;
    bool m_answerStarted = false;
    std::optional<attempt_end> m_lastEnd;
    call_reason m_reason = call_reason::NoTarget;
};

/// Returns whether the outcome proves that the target did not run the call. Thread safe.
bool isProvenNotRun(const attempt_outcome &outcome);

} // namespace sequoiawharf
