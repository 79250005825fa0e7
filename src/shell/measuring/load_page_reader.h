#pragma once

#include "sequoiawharf/measuring_budget.h"
#include "sequoiawharf/page_reader_plan.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace sequoiawharf
{

class routing;
struct http_answer;

/// Reads load pages, passes their reports to the pools' balancers, and keeps the reports for kReportLifetime. Used on one thread.
class load_page_reader
{
public:
    /// Limit of the bytes that reading one page takes, in both directions together, without packet headers.
    static constexpr std::uint64_t kMaxReadBytes = 832;

    /// current: returns the active routing, never null. All arguments outlive the reader.
    load_page_reader(measuring_budget &budget, std::function<std::shared_ptr<const routing>()> current);

    /// Starts to read a page on the context and returns unused bytes to the budget afterwards. Precondition: the budget admitted kMaxReadBytes, and the
    /// context does not run after the reader's destruction.
    void start(boost::asio::io_context &context, const load_page &page);

    /// Returns the number of pages whose reading has started and not ended.
    unsigned readsInFlight() const
    {
        return m_readsInFlight;
    }

    /// Returns the newest report of each page if it is no older than kReportLifetime, with its age, and drops older ones.
    std::vector<endpoint_report> recentReports(mono_time now);

    /// Age above which a report is dropped.
    static constexpr std::chrono::milliseconds kReportLifetime {1000};

private:
    struct timed_report {
        endpoint_report entry;
        mono_time measuredAt;
    };

    void handleAnswer(const load_page &page, const http_answer &answer, std::chrono::nanoseconds duration);
    void storeReport(const load_page &page, const load_report &report);

    measuring_budget &m_budget;
    std::function<std::shared_ptr<const routing>()> m_current;
    std::unordered_map<host_port, timed_report> m_reports;
    unsigned m_readsInFlight = 0;
};

} // namespace sequoiawharf
