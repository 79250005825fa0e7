#pragma once

#include "sequoiawharf/ids.h"
#include "sequoiawharf/pool_table.h"
#include "src/shell/instance/endpoint_page.h"

#include <map>
#include <vector>

namespace sequoiawharf
{

/// Hears of endpoints, on the control thread.
class endpoint_observer
{
public:
    virtual ~endpoint_observer() = default;

    /// The endpoints of all pools, ordered by address, are these from now on.
    virtual void onEndpoints(std::map<pool_name, std::vector<endpoint>> endpoints) = 0;

    /// The instance that reads for this one told what configuration it has; teller: its operators' address. Nothing was told: this instance
    /// must hear of configurations by itself.
    virtual void onConfigurationTold(const host_port &teller, const told_configuration &told) = 0;
    virtual void onNothingTold() = 0;

    /// The service answers again after it did not answer this instance.
    virtual void onServiceBack() = 0;
};

} // namespace sequoiawharf
