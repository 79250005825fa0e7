#pragma once

#include "sequoiawharf/time.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>

namespace sequoiawharf
{

/// Estimates quantiles of the time that the gateway adds to calls of one class: total time less the target's. Quantiles describe the last complete
/// window, so that they reflect recent calls only. One thread adds; any thread reads.
class added_time
{
public:
    static constexpr std::array<double, 3> kQuantiles {0.5, 0.99, 0.999};
    static constexpr std::chrono::seconds kWindow {10};

    added_time();
    ~added_time();
    added_time(const added_time &) = delete;
    added_time &operator=(const added_time &) = delete;

    /// Records the added time of one call. Runs on the owning thread only.
    void add(std::chrono::nanoseconds added, mono_time now);

    /// Returns a quantile of the last complete window, or of the first window while none is complete; 0 before the first call. Thread safe.
    /// Precondition: index is below kQuantiles.size().
    std::chrono::nanoseconds quantile(std::size_t index) const;

    /// Returns the sum of the added times of all calls. Thread safe.
    std::chrono::nanoseconds sum() const;

    /// Returns the number of calls. Thread safe.
    std::uint64_t count() const;

private:
    struct window;

    void publish();

    std::unique_ptr<window> m_window;
    mono_time m_windowEnd;
    bool m_firstWindow = true;
    std::array<std::atomic<std::int64_t>, kQuantiles.size()> m_quantilesNs {};
    std::atomic<std::int64_t> m_sumNs {0};
    std::atomic<std::uint64_t> m_count {0};
};

} // namespace sequoiawharf
