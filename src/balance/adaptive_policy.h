#pragma once

#include "sequoiawharf/selection_policy.h"

namespace sequoiawharf
{

/// Selects the candidate with the least expected delay, estimated from own calls in flight, own latencies, and the newest reported load weighted by
/// its age and by the trust in the endpoint.
class adaptive_policy final : public selection_policy
{
public:
    std::uint32_t choose(const selection_candidates &candidates, mono_time now, random_source &random) const override;
    selection_sampling sampling() const override;
    std::string_view name() const override;
};

} // namespace sequoiawharf
