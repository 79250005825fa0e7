#pragma once

#include "fake_target.h"

#include "sequoiawharf/directory.h"
#include "sequoiawharf/event.h"
#include "sequoiawharf/routing.h"
#include "sequoiawharf/settings.h"
#include "src/base/rcu_snapshot.h"
#include "src/shell/gateway/gateway.h"
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

/// A directory that knows one instance.
class fake_directory : public directory
{
public:
    directory_answer lookup(const data_centre_id &near, mono_time now, random_source &random) const override;
};

/// Takes events and forgets them.
class null_sink : public event_sink
{
public:
    void record(event entry) override;
};

/// An answer as a caller saw it.
struct received_answer {
    bool isWhole = false;
    unsigned status = 0; ///< 0: not even a head came.
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
};

/// A caller's connection with blocking reads and writes.
class test_caller
{
public:
    explicit test_caller(const host_port &gateway);

    /// Sends the text as it is; false when the gateway has closed.
    bool send(std::string_view text);

    /// Reads one answer. bodiless: the request was HEAD.
    received_answer read(bool bodiless = false);

    /// Sends a request and reads its answer.
    received_answer call(std::string_view method, std::string_view path, std::string_view body = {}, std::string_view extraFields = {});

    /// Tells whether the gateway closed the connection, waiting a generous time for it.
    bool isClosed();

    /// Closes the connection.
    void close();

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_unread;
};

/// Waits until the condition holds; false when it does not within a generous time.
bool eventually(const std::function<bool()> &condition);

/// A gateway on loopback in front of fake targets. The pool "p" serves all routes: GET and PUT on "/" are idempotent, POST is not. Deadlines
/// are 10 s, on "/short" 150 ms; bodies are at most 1 MB, under "/big" 1 GB. An endpoint allows one
/// connection, so that none is opened ahead of need and tests can count them.
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

    /// Adds endpoints by port and starts again with the settings as they are now.
    void start();

    instance_settings settings;
    pool targetPool;

private:
    std::vector<relay_client *> m_relays;
    fake_directory m_directory;
    null_sink m_events;
    gateway_metrics m_metrics;
    rcu_snapshot<routing> m_routing;
    std::unique_ptr<gateway> m_gateway;
};

} // namespace sequoiawharf::testing
