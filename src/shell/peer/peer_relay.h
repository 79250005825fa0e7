#pragma once

#include "src/region/relay_target.h"
#include "src/shell/call_stream.h"
#include "src/shell/peer/peer_identity.h"
#include "src/shell/peer/write_pacer.h"

#include <functional>
#include <map>
#include <memory>

namespace sequoiawharf
{

class peer_connection;
class peer_session;
class peer_stream;
struct peer_traffic;

/// Relays calls to instances of other regions over one persistent HTTP/2 connection to each. Each gateway thread has its own relay: all methods but
/// canRelay() run on that thread, and the object outlives its calls.
class peer_relay : public relay_client
{
public:
    /// Dependencies of a relay. All pointers outlive the relay.
    struct parts {
        peer_identity self;
        const relay_chooser *chooser = nullptr; ///< Not null.
        write_pacer *pacer = nullptr; ///< Null: writes are not paced.
        std::function<route_class(const call_head &)> classify; ///< Null: every call is Normal.
        std::shared_ptr<peer_traffic> traffic; ///< Not null.
    };

    peer_relay(parts dependencies, std::uint64_t seed);
    ~peer_relay() override;
    peer_relay(const peer_relay &) = delete;
    peer_relay &operator=(const peer_relay &) = delete;

    bool canRelay(const pool_name &pool, mono_time now, centre_mask allowed) const override;
    boost::asio::awaitable<relay_outcome>
    relay(const pool_name &pool, const call_head &head, mono_time deadline, centre_mask allowed, body_source &body, answer_sink &answer) override;

    /// Closes connections that have been idle for two minutes, once their calls have ended.
    void closeIdle(mono_time now);

    /// Closes each connection once its calls have ended.
    void stop();

private:
    boost::asio::awaitable<std::shared_ptr<peer_stream>> open(const relay_target &target, const call_head &head, mono_time deadline);
    boost::asio::awaitable<relay_outcome> exchange(
        std::shared_ptr<peer_stream> stream, const relay_target &target, const call_head &head, mono_time deadline, body_source &body, answer_sink &answer);

    parts m_parts;
    random_source m_random;
    std::map<peer_identity, std::shared_ptr<peer_connection>> m_connections;
};

} // namespace sequoiawharf
