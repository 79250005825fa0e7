#pragma once

#include "sequoiawharf/settings.h"
#include "src/shell/peer/link_pacer.h"
#include "src/shell/peer/peer_relay.h"
#include "src/shell/peer/peer_server.h"

#include <tl/expected.hpp>

#include <memory>
#include <string>
#include <vector>

namespace sequoiawharf
{

class gateway;
class peer_node;
template<typename value> class rcu_snapshot;
class routing;

/// Runs the peer server and the relay to other regions of each gateway thread. Create it before the gateway, which uses its relays, and destroy it after
/// the gateway.
class peer_threads
{
public:
    /// The references outlive the object. control: the context of the node. routings: determine the priority of a call.
    peer_threads(const instance_settings &settings,
                 incarnation process,
                 std::uint64_t seed,
                 peer_node &node,
                 boost::asio::io_context &control,
                 const rcu_snapshot<routing> &routings);
    ~peer_threads();
    peer_threads(const peer_threads &) = delete;
    peer_threads &operator=(const peer_threads &) = delete;

    /// Returns the relays, one for each gateway thread, as the gateway's constructor expects them.
    std::vector<relay_client *> relays() const;

    /// Listens at the peer address on each thread of the gateway. Returns why the address cannot be used as the error. Precondition: the gateway has started.
    tl::expected<void, std::string> start(gateway &threads);

    /// Stops accepting and sending relayed calls; those in flight continue. The connections of gateway threads accept no more control requests either, so
    /// call it when the instance no longer needs these.
    void beginStop(gateway &threads);

    /// Returns the traffic of the peer connections of all gateway threads.
    const peer_traffic &traffic() const
    {
        return *m_traffic;
    }

private:
    peer_services services(call_handler &calls) const;

    const instance_settings &m_settings;
    incarnation m_process;
    peer_node &m_node;
    boost::asio::io_context &m_control;
    const rcu_snapshot<routing> &m_routings;
    std::shared_ptr<peer_traffic> m_traffic;
    std::unique_ptr<link_pacer> m_pacer;
    std::vector<std::unique_ptr<peer_relay>> m_relays;
    std::vector<std::weak_ptr<peer_server>> m_servers; ///< Owned by the contexts of the threads; each is used on its thread.
};

} // namespace sequoiawharf
