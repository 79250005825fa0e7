#pragma once

#include "sequoiawharf/time.h"

#include <chrono>

namespace sequoiawharf
{

/// Token bucket for the probes of one gateway thread. Each thread of each instance gets its part of the rate that endpoints accept from all of them
/// together. Not thread safe: each gateway thread has its own.
class probe_budget
{
public:
    /// Sets the rate in probes per second; 0 means unlimited.
    void setRate(double perSecond, mono_time now);

    /// Draws up to wanted probes and returns how many may be sent. At least guaranteed probes (or wanted, if fewer) may always be sent; they are charged
    /// even when the budget is exhausted.
    unsigned take(unsigned wanted, unsigned guaranteed, mono_time now);

private:
    void refill(mono_time now);

    double m_rate = 0;
    double m_tokens = 0;
    mono_time m_lastRefill {};
};

} // namespace sequoiawharf
