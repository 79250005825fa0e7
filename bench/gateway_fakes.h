#pragma once

#include "sequoiawharf/directory.h"
#include "sequoiawharf/event.h"

namespace sequoiawharf::bench
{

/// Directory without entries, since the benches call the gateway by its address.
class empty_directory final : public directory
{
public:
    directory_answer
    lookup(const data_centre_id & /*near*/, const std::vector<region_id> & /*homes*/, mono_time /*now*/, random_source & /*random*/) const override
    {
        return {};
    }
};

/// Discards every event.
class null_sink final : public event_sink
{
public:
    void record(event /*entry*/) override
    {
    }
};

} // namespace sequoiawharf::bench
