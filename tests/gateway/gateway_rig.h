#pragma once

#include "fake_target.h"

#include "sequoiawharf/configuration_freshness.h"
#include "sequoiawharf/directory.h"
#include "sequoiawharf/event.h"
#include "sequoiawharf/routing.h"
#include "sequoiawharf/settings.h"
#include "src/base/rcu_snapshot.h"
#include "src/shell/gateway/gateway.h"
#include "src/shell/gateway/quota_access.h"
#include "src/shell/metrics/gateway_metrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sequoiawharf::testing
{

/// A directory with a single instance.
class fake_directory : public directory
{
public:
    directory_answer lookup(const data_centre_id &near, const std::vector<region_id> &homes, mono_time now, random_source &random) const override;
};

/// Discards all events.
class null_sink : public event_sink
{
public:
    void record(event entry) override;
};

/// An answer as received by a caller.
struct received_answer {
    bool isWhole = false;
    unsigned status = 0; ///< 0: no complete head was received.
    std::map<std::string, std::string> fields; ///< Names in lower case.
    std::string body;

    std::string ending() const
    {
        const auto found = fields.find("sequoiawharf-ending");
        return found == fields.end() ? std::string {} : found->second;
    }
    std::string reason() const
    {
        const auto found = fields.find("sequoiawharf-reason");
        return found == fields.end() ? std::string {} : found->second;
    }
    /// Returns the ending and the reason, separated by a space, of a complete answer.
    std::string endingAndReason() const
    {
        return isWhole ? ending() + " " + reason() : std::string("no whole answer");
    }
};

/// A caller's connection with blocking reads and writes.
class test_caller
{
public:
    explicit test_caller(const host_port &gateway);

    /// Sends the text unchanged. Returns false if the gateway has closed the connection.
    bool send(std::string_view text);

    /// Reads and returns one answer. bodiless: the request was HEAD.
    received_answer read(bool bodiless = false);

    /// Sends a request and returns its answer.
    received_answer call(std::string_view method, std::string_view path, std::string_view body = {}, std::string_view extraFields = {});

    /// Returns whether the gateway closes the connection within 10 s.
    bool isClosed();

    /// Closes the connection.
    void close();

    /// Ends the connection in both directions, so that a send() on another thread returns.
    void stopSending();

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_unread;
};

/// Makes a call with an upload of 64 MB, sent as fast as the gateway reads it, and returns the answer, which may arrive before the upload ends.
received_answer uploadAndRead(const host_port &gateway, std::string_view path, bool isChunked);

/// Makes idempotent calls, one after the other, and expects that each is answered. Their latencies let the gateway hedge later calls.
void expectAnswered(test_caller &caller, int calls);

/// Waits until the condition holds. Returns false if it does not within 10 s.
bool eventually(const std::function<bool()> &condition);

/// A gateway on loopback in front of fake targets. The pool "p" serves all routes: GET and PUT on "/" are idempotent, POST is not. Deadlines are 10 s,
/// on "/short" 150 ms, on "/big" 60 s; bodies are at most 1 MiB, on "/big" 1 GiB. An endpoint allows one connection, so that none is opened ahead of
/// need and tests can count connections.
class gateway_rig
{
public:
    /// The targets outlive the rig.
    explicit gateway_rig(std::vector<const fake_target *> targets, relay_client *relay = nullptr, unsigned threads = 1);
    ~gateway_rig();

    gateway &server()
    {
        return *m_gateway;
    }
    gateway_metrics &metrics()
    {
        return m_metrics;
    }
    host_port address() const
    {
        return m_gateway->address();
    }

    /// Replaces the gateway by a new one with the current settings, targetPool and organisations.
    void start();

    /// As start(), with a gateway that probes one target before each call.
    void startProbing();

    /// Puts the current targetPool in force while the gateway serves.
    void updatePool();

    instance_settings settings;
    pool targetPool;
    organisation_table organisations;
    bool hasPublicRoutes = false; ///< All routes are public.
    config_version version = 1; ///< Of the configuration.
    const configuration_freshness *freshness = nullptr; ///< Outlives the rig.
    quota_access *quotas = nullptr; ///< Outlives the rig; null: the calls of organisations are not limited.
    std::vector<region_id> homes; ///< Of all routes.
    std::shared_ptr<placement_limits> limits; ///< Of the gateway, for settings.regions.

private:
    void publishRouting(const routing &previous);

    std::vector<relay_client *> m_relays;
    fake_directory m_directory;
    null_sink m_events;
    gateway_metrics m_metrics;
    std::shared_ptr<const routing> m_current; ///< As published in m_routing.
    rcu_snapshot<routing> m_routing;
    std::unique_ptr<gateway> m_gateway;
};

} // namespace sequoiawharf::testing
