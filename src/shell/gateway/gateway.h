#pragma once

#include "sequoiawharf/ids.h"
#include "sequoiawharf/stop_plan.h"
#include "src/base/rcu_snapshot.h"
#include "src/shell/call_stream.h"
#include "src/shell/gateway/call_dialect.h"

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiawharf
{

class directory;
class event_sink;
class configuration_freshness;
class gateway_metrics;
class gateway_thread;
class quota_access;
class routing;
struct gateway_shared;
struct instance_settings;

/// Serves callers: forwards their calls to targets and answers their directory requests. Owns the gateway threads.
class gateway
{
public:
    /// relays: one relay client for each thread, or none, in which case no call leaves the region. freshness: decides whether calls with a key are admitted;
    /// null: always. quotas: limits the calls of organisations; null: nothing does. All arguments outlive the gateway.
    gateway(const instance_settings &settings,
            const rcu_snapshot<routing> &routings,
            const directory &entries,
            std::vector<relay_client *> relays,
            event_sink &events,
            gateway_metrics &metrics,
            const call_dialect &dialect = ownDialect(),
            const configuration_freshness *freshness = nullptr,
            quota_access *quotas = nullptr);

    /// Stops the threads at once, which cuts calls in flight. For a graceful stop, call finish() first.
    ~gateway();

    /// Listens on settings.gateway (port 0: any free port) and starts the threads. The error states why the address cannot be used.
    /// Precondition: called once.
    tl::expected<void, std::string> start();

    /// Returns the address that the gateway listens on. Precondition: start() succeeded.
    host_port address() const;

    /// Sets whether calls are accepted. While not ready, a call waits as long as readinessWaitEnd() allows and is then refused as not run; the answer
    /// states why. Initially not ready. Calls of this method must not overlap; otherwise thread safe.
    void setReady(bool ready, std::string_view why);

    /// Wakes the calls that wait for tokens, after some have been granted. Thread safe.
    void tokensArrived();

    /// Makes every answer close its connection from now on, so that callers reconnect to other instances. New connections and calls are still
    /// served as far as calls can end by bounds.answerBy; every other call is answered by then as not run, or as unknown if a target may have run it. A
    /// call that arrives after bounds.lastArrival and whose deadline is after bounds.answerBy is refused at once.
    /// Later bounds than those of an earlier call have no effect. Thread safe.
    void beginStop(const stop_bounds &bounds);

    /// Returns the number of calls that have been received and have not ended. Thread safe.
    std::size_t callsInFlight() const;

    /// Closes the listening sockets, waits up to the deadline, a duration from now, for calls in flight to end and callers to disconnect, and joins the
    /// threads. Returns the number of calls cut at the deadline.
    /// Precondition: not called on a gateway thread.
    std::size_t finish(std::chrono::milliseconds deadline);

    /// Returns the number of gateway threads. Thread safe.
    std::size_t threadCount() const;

    /// Runs the action on a gateway thread with that thread's call handler, which lives until the thread ends.
    /// Precondition: start() succeeded and thread is below threadCount(). Thread safe.
    void runOnThread(std::size_t thread, std::function<void(call_handler &, boost::asio::io_context &)> action);

private:
    std::unique_ptr<gateway_shared> m_shared;
    std::vector<std::unique_ptr<gateway_thread>> m_threads;
};

} // namespace sequoiawharf
