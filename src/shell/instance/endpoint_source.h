#pragma once

#include "sequoiawharf/ids.h"
#include "sequoiawharf/pool_table.h"
#include "sequoiawharf/time.h"
#include "src/shell/instance/endpoint_page.h"

#include <map>
#include <vector>

namespace sequoiawharf
{

/// Receives the results of an endpoint feed. The methods run on the control thread.
class endpoint_observer
{
public:
    virtual ~endpoint_observer() = default;

    /// Called with the endpoints of all pools, ordered by address, when they changed.
    virtual void onEndpoints(std::map<pool_name, std::vector<endpoint>> endpoints) = 0;

    /// Called when another instance answered with the configuration that it has. teller: that instance's operators' address.
    virtual void onPeerConfiguration(const host_port &teller, const peer_configuration &told) = 0;

    /// Called when another instance answered, before onPeerConfiguration(). askedAt: when the query was sent.
    virtual void onPeerProof(const peer_configuration & /*told*/, boot_time /*askedAt*/)
    {
    }

    /// Called when no other instance answers for this one, so that it must follow configurations itself.
    virtual void onReaderUnavailable() = 0;

    /// Called when the service answers again after a failed read.
    virtual void onServiceRecovered() = 0;

    /// Called when the service was restored from an earlier copy, so that records are lost.
    virtual void onServiceRestored()
    {
    }
};

} // namespace sequoiawharf
