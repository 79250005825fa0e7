#pragma once

#include "src/shell/peer/write_pacer.h"

namespace sequoiawharf
{

class link_budget;

/// Paces writes by this instance's share of the link between regions. Thread safe.
class link_pacer : public write_pacer
{
public:
    /// The budget outlives the pacer.
    explicit link_pacer(link_budget &budget);

    boost::asio::awaitable<bool> admit(route_class priority, std::size_t bytes, mono_time deadline) override;
    std::size_t quantum() const override;

private:
    link_budget &m_budget;
};

} // namespace sequoiawharf
