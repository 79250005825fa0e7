#pragma once

#include "sequoiawharf/directory.h"
#include "sequoiawharf/settings.h"
#include "src/shell/gateway/call_dialect.h"
#include "src/shell/instance/configuration_source.h"
#include "src/shell/instance/discovery_client.h"
#include "src/shell/net/page_server.h"
#include "src/shell/platform/log_client.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string_view>

namespace sequoiawharf
{

/// Looks up instances in the directory. near: the caller's data centre, or empty. host: of the caller's calls, whose homes limit the answer, or empty.
using directory_lookup = std::function<directory_answer(const data_centre_id &near, std::string_view host)>;

/// Interface to an instance's environment: the protocols of callers, targets, operators and the platform. One object per deployment; it outlives
/// the instance.
class surroundings
{
public:
    virtual ~surroundings() = default;

    /// Returns the dialect of calls that callers and targets use.
    virtual const call_dialect &dialect() const = 0;

    /// Creates the source of configuration. Precondition: settings and observer outlive it.
    virtual std::unique_ptr<configuration_source>
    makeConfigurationSource(boost::asio::io_context &control, const instance_settings &settings, config_observer &observer, std::uint64_t seed) = 0;

    /// Creates the client of the service in which endpoints register themselves, or returns null when the pool table names the endpoints.
    /// Precondition: settings outlives it.
    virtual std::unique_ptr<discovery_client> makeDiscoveryClient(const instance_settings &settings) = 0;

    /// Creates the client of the platform's list of instances.
    virtual std::unique_ptr<instance_list_client> makeInstanceList(const instance_settings &settings) = 0;

    /// Adds the page on which callers look up instances. It is served when the settings give the directory an address of its own.
    virtual void addDirectoryPage(page_server &pages, directory_lookup lookup) const = 0;

    /// Adds the page that reports whether the instance accepts callers. It is served when the settings give readiness an address of its own.
    virtual void addReadyPage(page_server &pages, std::function<bool()> isReady) const = 0;
};

/// The project's own environment: its log of publications, its pool table and its pages.
class own_surroundings : public surroundings
{
public:
    const call_dialect &dialect() const override;
    std::unique_ptr<configuration_source>
    makeConfigurationSource(boost::asio::io_context &control, const instance_settings &settings, config_observer &observer, std::uint64_t seed) override;
    std::unique_ptr<discovery_client> makeDiscoveryClient(const instance_settings &settings) override;
    std::unique_ptr<instance_list_client> makeInstanceList(const instance_settings &settings) override;
    void addDirectoryPage(page_server &pages, directory_lookup lookup) const override;
    void addReadyPage(page_server &pages, std::function<bool()> isReady) const override;
};

} // namespace sequoiawharf
