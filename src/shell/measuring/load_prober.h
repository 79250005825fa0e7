#pragma once

#include "sequoiawharf/measuring_budget.h"
#include "sequoiawharf/page_reader_plan.h"
#include "src/shell/measuring/load_page_reader.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace sequoiawharf
{

class routing;

/// Periodically reads the load pages assigned to this instance, as far as the budget allows, and passes their reports to the pools' balancers. Without
/// reports, calls are balanced on the outcomes of earlier calls. Runs on one context; not thread safe.
class load_prober
{
public:
    /// current: returns the active routing, never null. All arguments outlive the prober, and the context does not run after its destruction.
    load_prober(boost::asio::io_context &context, measuring_budget &budget, std::function<std::shared_ptr<const routing>()> current);

    /// Replaces the pages to read. Called after a change of the configuration or of the data centre's live instances. live: live instances of the data
    /// centre, with or without self.
    void setPages(const pool_table &pools, const instance_id &self, const data_centre_id &centre, const std::vector<instance_id> &live);

    /// Starts the periodic reads. Precondition: called once.
    void start();

    /// Stops the periodic reads. Reads in flight still end. Precondition: start() is not called afterwards.
    void stop();

    /// Returns the newest report of each page if it is no older than load_page_reader::kReportLifetime, with its age, for sending to other instances.
    std::vector<endpoint_report> recentReports(mono_time now)
    {
        return m_reader.recentReports(now);
    }

private:
    boost::asio::awaitable<void> readLoop();
    void startReads(mono_time now);

    boost::asio::io_context &m_context;
    measuring_budget &m_budget;
    page_reader_plan m_plan;
    load_page_reader m_reader;
    boost::asio::steady_timer m_timer;
    bool m_stopped = false;
};

} // namespace sequoiawharf
