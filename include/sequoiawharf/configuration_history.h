#pragma once

#include "sequoiawharf/configuration.h"
#include "sequoiawharf/configuration_record.h"
#include "sequoiawharf/ids.h"

#include <deque>
#include <memory>
#include <optional>

namespace sequoiawharf
{

/// The newest configurations of an instance. It tells other instances, which hold one of them, what has changed since. Configurations share the
/// rows in which they agree. Not thread safe; the configurations that it returns are immutable.
class configuration_history
{
public:
    configuration_history();

    /// Returns the newest configuration; an empty one of version 0 when none was added. Never null.
    const std::shared_ptr<const configuration> &current() const
    {
        return m_versions.back();
    }

    /// Adds a configuration. Precondition: its version is higher than that of current().
    void add(configuration next);

    /// Returns the change from the given version to current(), or nothing when that version is not held, or not lower than that of current().
    std::optional<table_delta> changeSince(config_version version) const;

private:
    std::deque<std::shared_ptr<const configuration>> m_versions; ///< Ordered by version; never empty.
};

} // namespace sequoiawharf
