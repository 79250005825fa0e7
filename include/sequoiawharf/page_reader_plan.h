#pragma once

#include "sequoiawharf/load_report.h"
#include "sequoiawharf/pool_table.h"
#include "sequoiawharf/time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sequoiawharf
{

/// The location of one endpoint's load page.
struct load_page {
    pool_name pool;
    host_port address;
    std::string path;
    std::uint32_t slots = 4; ///< Slots of the endpoint, used when its page does not state them.

    friend bool operator==(const load_page &, const load_page &) = default;
};

/// Schedules the load pages that one instance reads. Rendezvous hashing over the live instances of an endpoint's data centre assigns up to
/// kReadersPerPage of them to each page, so all instances compute the same readers without exchanging messages. Used on one thread.
class page_reader_plan
{
public:
    static constexpr unsigned kReadersPerPage = 2; ///< Maximum number of instances that read the same page.

    /// Replaces the pages by those of the data centre's endpoints that are assigned to self. live: the live instances of that data centre, with or
    /// without self.
    void set(const pool_table &pools, const instance_id &self, const data_centre_id &centre, const std::vector<instance_id> &live);

    /// Returns the next page to read, round robin over all pages, or nothing when none is due. The returned page counts as read.
    std::optional<load_page> next(mono_time now);

    /// Returns the pages assigned to this instance.
    const std::vector<load_page> &pages() const
    {
        return m_pages;
    }

private:
    std::vector<load_page> m_pages;
    std::size_t m_position = 0;
    mono_time m_nextRoundStart; // earliest start of the next pass over the pages
};

/// A load report together with the endpoint that it describes, as instances share it.
struct endpoint_report {
    pool_name pool;
    host_port address;
    load_report report;
};

} // namespace sequoiawharf
