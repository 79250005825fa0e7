#include "src/shell/peer/published_views.h"

namespace sequoiawharf
{

published_directory::published_directory()
    : m_view(std::make_shared<directory_view>())
{
}

void published_directory::publish(std::shared_ptr<const directory_view> view)
{
    m_view.store(std::move(view));
}

directory_answer published_directory::lookup(const data_centre_id &near, const std::vector<region_id> &homes, mono_time, random_source &random) const
{
    return chooseEntries(*m_view.load(), near, homes, random);
}

published_capacity::published_capacity()
    : m_capacity(std::make_shared<far_capacity>())
{
}

void published_capacity::publish(std::shared_ptr<const far_capacity> capacity)
{
    m_capacity.store(std::move(capacity));
}

bool published_capacity::available(const pool_name &pool, mono_time, centre_mask allowed) const
{
    return m_capacity.load()->available(pool, allowed);
}

std::optional<relay_target> published_capacity::choose(const pool_name &pool, mono_time, random_source &random, centre_mask allowed) const
{
    const auto capacity = m_capacity.load();
    const auto *const row = capacity->choose(pool, random, allowed);
    return row == nullptr ? std::nullopt : std::optional(relay_target {row->id, row->process, row->peer, row->region});
}

} // namespace sequoiawharf
