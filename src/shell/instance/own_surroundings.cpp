#include "src/shell/gateway/directory_page.h"
#include "src/shell/instance/surroundings.h"
#include "src/shell/net/http_status.h"
#include "src/shell/platform/config_feed.h"
#include "src/shell/platform/platform_client.h"

namespace sequoiawharf
{

namespace
{

/// Holds the client of a feed. A base class, so that the client is constructed before the feed.
struct feed_client {
    platform_client client;
};

/// A configuration feed that owns its client.
class own_configuration_source : private feed_client, public config_feed
{
public:
    own_configuration_source(boost::asio::io_context &control, const instance_settings &settings, config_observer &observer, std::uint64_t seed)
        : feed_client {platform_client(settings.platform)}
        , config_feed(control, client, settings.id, observer, seed)
    {
    }
};

} // namespace

const call_dialect &own_surroundings::dialect() const
{
    return ownDialect();
}

std::unique_ptr<configuration_source>
own_surroundings::makeConfigurationSource(boost::asio::io_context &control, const instance_settings &settings, config_observer &observer, std::uint64_t seed)
{
    return std::make_unique<own_configuration_source>(control, settings, observer, seed);
}

std::unique_ptr<discovery_client> own_surroundings::makeDiscoveryClient(const instance_settings & /*settings*/)
{
    return nullptr;
}

std::unique_ptr<instance_list_client> own_surroundings::makeInstanceList(const instance_settings &settings)
{
    return std::make_unique<platform_client>(settings.platform);
}

void own_surroundings::addDirectoryPage(page_server &pages, directory_lookup lookup) const
{
    pages.add(std::string(kDirectoryPath), [lookup = std::move(lookup)](const page_request &request) -> boost::asio::awaitable<page_answer> {
        const auto near = request.query.find("near");
        const auto host = request.query.find("host");
        const auto found = lookup(data_centre_id(near == request.query.end() ? std::string {} : near->second),
                                  host == request.query.end() ? std::string_view {} : std::string_view(host->second));
        co_return page_answer {found.entries.empty() ? kUnavailable : kOk, "application/json", formatDirectory(found)};
    });
}

void own_surroundings::addReadyPage(page_server &pages, std::function<bool()> isReady) const
{
    pages.add("/ready", [isReady = std::move(isReady)](const page_request &) -> boost::asio::awaitable<page_answer> {
        const bool ready = isReady();
        co_return page_answer {ready ? kOk : kUnavailable, "text/plain", ready ? "ready\n" : "not ready\n"};
    });
}

} // namespace sequoiawharf
