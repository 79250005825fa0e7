#include "src/shell/metrics/added_time.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>

namespace sequoiawharf
{

namespace
{

namespace acc = boost::accumulators;

using quantile_accumulator = acc::accumulator_set<double, acc::stats<acc::tag::extended_p_square>>;

static_assert(added_time::kQuantiles[0] == 0.5 && added_time::kQuantiles[1] == 0.99 && added_time::kQuantiles[2] == 0.999);

// The P-square algorithm needs markers besides the reported quantiles to estimate a long tail accurately.
constexpr std::array<double, 7> kMarkers {0.25, 0.5, 0.75, 0.9, 0.99, 0.999, 0.9999};
constexpr std::array<std::size_t, added_time::kQuantiles.size()> kMarkerOf {1, 4, 5}; // index of each reported quantile in kMarkers
constexpr std::size_t kMinimumSamples = 2 * kMarkers.size() + 3; // with fewer samples the algorithm has not initialised all markers

} // namespace

struct added_time::window {
    quantile_accumulator nanoseconds {acc::extended_p_square_probabilities = kMarkers};
    std::size_t samples = 0;
    double largest = 0;
};

added_time::added_time()
    : m_window(std::make_unique<window>())
{
}

added_time::~added_time() = default;

void added_time::add(std::chrono::nanoseconds added, mono_time now)
{
    if (now >= m_windowEnd) {
        publish();
        m_firstWindow = m_windowEnd == mono_time {};
        m_window = std::make_unique<window>();
        m_windowEnd = now + kWindow;
    }
    const auto value = static_cast<double>(added.count());
    m_window->nanoseconds(value);
    m_window->largest = std::max(m_window->largest, value);
    m_window->samples += 1;
    m_sumNs.fetch_add(added.count(), std::memory_order_relaxed);
    m_count.fetch_add(1, std::memory_order_relaxed);
    const bool isPowerOfTwo = (m_window->samples & (m_window->samples - 1)) == 0;
    if (m_firstWindow && isPowerOfTwo) {
        publish();
    }
}

void added_time::publish()
{
    if (m_window->samples == 0) {
        return;
    }
    const bool hasMarkers = m_window->samples >= kMinimumSamples;
    for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
        const double value = hasMarkers ? acc::extended_p_square(m_window->nanoseconds)[kMarkerOf[i]] : m_window->largest;
        m_quantilesNs[i].store(static_cast<std::int64_t>(std::min(value, m_window->largest)), std::memory_order_relaxed);
    }
}

std::chrono::nanoseconds added_time::quantile(std::size_t index) const
{
    return std::chrono::nanoseconds(m_quantilesNs[index].load(std::memory_order_relaxed));
}

std::chrono::nanoseconds added_time::sum() const
{
    return std::chrono::nanoseconds(m_sumNs.load(std::memory_order_relaxed));
}

std::uint64_t added_time::count() const
{
    return m_count.load(std::memory_order_relaxed);
}

} // namespace sequoiawharf
