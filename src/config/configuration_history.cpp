#include "sequoiawharf/configuration_history.h"

#include <algorithm>
#include <cassert>

namespace sequoiawharf
{

namespace
{

// Versions held. Changes come up to three times a second, and an instance that lacks more than the changes of some seconds reads all tables.
constexpr std::size_t kMaxVersions = 16;

// Returns the configuration with the rows that it has in common with another one shared.
std::shared_ptr<const configuration> sharingRows(const configuration &from, configuration next)
{
    auto shared = applyTrustedDelta(from, makeDelta(from, {next.routes, next.pools, next.organisations}), next.version);
    if (!shared) {
        return std::make_shared<const configuration>(std::move(next));
    }
    shared->callers = next.callers;
    return std::make_shared<const configuration>(std::move(*shared));
}

} // namespace

configuration_history::configuration_history()
    : m_versions {std::make_shared<const configuration>()}
{
}

void configuration_history::add(configuration next)
{
    assert(next.version > current()->version);
    // Nothing is shared with the empty configuration.
    m_versions.push_back(current()->version == 0 ? std::make_shared<const configuration>(std::move(next)) : sharingRows(*current(), std::move(next)));
    if (m_versions.size() > kMaxVersions) {
        m_versions.pop_front();
    }
}

std::optional<table_delta> configuration_history::changeSince(config_version version) const
{
    const auto base = std::ranges::find(m_versions, version, [](const auto &held) {
        return held->version;
    });
    // The empty configuration is held only until others have replaced it, and its change is as long as the tables.
    if (version == 0 || base == m_versions.end() || version >= current()->version) {
        return std::nullopt;
    }
    return makeDelta(**base, {current()->routes, current()->pools, current()->organisations});
}

} // namespace sequoiawharf
