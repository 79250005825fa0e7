#include "src/cli/log_view.h"

#include <fmt/format.h>

#include <algorithm>

namespace sequoiawharf::cli
{

log_view::log_view(const std::vector<host_port> &platform)
    : m_session(platform)
    , m_reader(m_session)
{
}

bool log_view::read(std::chrono::milliseconds timeout)
{
    if (!m_reader.catchUp(m_session.now() + timeout)) {
        fmt::print(stderr, "sequoiawharf: the log cannot be read\n");
        return false;
    }
    if (m_reader.state().hasGap()) {
        fmt::print(stderr, "sequoiawharf: the log holds no state record from which the version in force can be learned\n");
        return false;
    }
    return true;
}

std::shared_ptr<const configuration> log_view::find(config_version version) const
{
    const auto &versions = m_reader.versions();
    const auto position = std::ranges::find(versions, version, [](const auto &entry) {
        return entry->version;
    });
    return position == versions.end() ? nullptr : *position;
}

} // namespace sequoiawharf::cli
