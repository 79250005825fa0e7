#pragma once

#include "sequoiawharf/event.h"
#include "sequoiawharf/hybrid_clock.h"
#include "src/shell/net/page_server.h"
#include "src/timeline/event_ring.h"

namespace sequoiawharf
{

/// The timeline of one instance: stamps events with a hybrid logical clock, logs them and keeps the newest ones. Thread safe.
class event_recorder final : public event_sink
{
public:
    /// capacity: number of events that are kept.
    event_recorder(instance_id self, std::size_t capacity);

    /// Stamps and logs an event, and keeps it in place of the oldest one. The event is not kept when another thread uses its slot.
    void record(event entry) override;

    /// Returns the clock, which is also advanced by the readings of other instances.
    hybrid_clock &clock()
    {
        return m_clock;
    }

    /// Answers GET /events?since=MS&pool=NAME&kind=NAME&call=ID with the matching events as JSON, or with status 400 when a parameter is invalid.
    page_answer page(const page_request &request) const;

private:
    instance_id m_self;
    hybrid_clock m_clock;
    event_ring m_ring;
};

} // namespace sequoiawharf
