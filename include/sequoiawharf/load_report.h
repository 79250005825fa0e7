#pragma once

#include <chrono>
#include <optional>

namespace sequoiawharf
{

/// The state that an endpoint reports of itself.
enum class reported_state { Active, Starting, Failing, Leaving };

/// The source of a report about an endpoint, from the most to the least trusted.
enum class report_source { Answer, Probe, Shared };

/// The load and state of one endpoint as a source reported them.
struct load_report {
    report_source source = report_source::Probe;
    std::optional<float> load = std::nullopt; ///< Calls at the endpoint, waiting ones included, divided by its slots.
    reported_state state = reported_state::Active;
    std::chrono::nanoseconds age {0}; ///< Time since the endpoint reported it.
};

} // namespace sequoiawharf
