#pragma once

#include "sequoiawharf/configuration_state.h"
#include "src/shell/platform/log_client.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace sequoiawharf
{

/// An in-memory log with offsets from 1 and limited retention. Not thread safe.
class log_store
{
public:
    /// Sets the maximum number of records kept; 0 means no limit.
    void setMaxRecords(std::uint64_t records)
    {
        m_maxRecords = records;
    }
    /// Sets the age at which records expire; 0 means never.
    void setMaxAge(std::chrono::milliseconds age)
    {
        m_maxAge = age;
    }

    /// Appends a record and returns its offset.
    log_offset append(std::string data, wall_time now);

    /// Drops expired records and returns up to max records from the offset on.
    log_page read(log_offset from, std::size_t max, wall_time now);

    std::uint64_t appends() const
    {
        return m_appends;
    }
    std::uint64_t appendedBytes() const
    {
        return m_appendedBytes;
    }

private:
    void expire(wall_time now);

    std::deque<log_record> m_records;
    log_offset m_next = 1;
    std::uint64_t m_maxRecords = 0;
    std::chrono::milliseconds m_maxAge {0};
    std::uint64_t m_appends = 0;
    std::uint64_t m_appendedBytes = 0;
};

/// A list of instances that readers see with a configurable lag. Not thread safe.
class instance_registry
{
public:
    /// Sets the time after which readers see a change.
    void setLag(std::chrono::milliseconds lag)
    {
        m_lag = lag;
    }

    /// Replaces the list.
    void set(std::vector<listed_instance> instances, wall_time now);

    /// Returns the list as readers see it.
    std::vector<listed_instance> visible(wall_time now) const;

private:
    struct version {
        wall_time since;
        std::vector<listed_instance> instances;
    };

    std::vector<version> m_history;
    std::chrono::milliseconds m_lag {0};
};

} // namespace sequoiawharf
