#include "src/shell/measuring/load_page_reader.h"

#include "sequoiawharf/routing.h"
#include "src/shell/measuring/load_page_format.h"
#include "src/shell/net/clock.h"
#include "src/shell/net/http_client.h"
#include "src/shell/net/log.h"

#include <boost/asio/co_spawn.hpp>

#include <algorithm>
#include <ranges>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;

constexpr std::string_view kReaderPart = "measuring";
constexpr auto kLoadPageTimeout = 250ms;
constexpr std::uint64_t kMaxPageBytes = 512; // the remainder of kMaxReadBytes is for the heads of request and answer
constexpr unsigned kStatusOk = 200;

http_request requestFor(const load_page &page)
{
    http_request request;
    request.server = page.address;
    request.path = page.path;
    request.maxAnswerBytes = kMaxPageBytes;
    return request;
}

} // namespace

load_page_reader::load_page_reader(measuring_budget &budget, std::function<std::shared_ptr<const routing>()> current)
    : m_budget(budget)
    , m_current(std::move(current))
{
}

void load_page_reader::start(boost::asio::io_context &context, const load_page &page)
{
    ++m_readsInFlight;
    const auto started = monoNow();
    boost::asio::co_spawn(context, fetch(requestFor(page), kLoadPageTimeout), [this, page, started](const std::exception_ptr &, auto answer) {
        --m_readsInFlight;
        if (answer) {
            handleAnswer(page, *answer, monoNow() - started);
        }
    });
}

void load_page_reader::handleAnswer(const load_page &page, const http_answer &answer, std::chrono::nanoseconds duration)
{
    m_budget.refund(measuring_kind::LoadPage, kMaxPageBytes - std::min<std::uint64_t>(kMaxPageBytes, answer.body.size()));
    auto report = parseLoadPage(answer.body, page.slots);
    if (answer.status != kStatusOk || !report) {
        logTo(log_level::Debug, kReaderPart, "Ignoring an invalid load page. endpoint={} status={}", toString(page.address), answer.status);
        return;
    }
    report->age = duration / 2;
    storeReport(page, *report);
}

std::vector<endpoint_report> load_page_reader::recentReports(mono_time now)
{
    std::erase_if(m_reports, [now](const auto &item) {
        return now - item.second.measuredAt > kReportLifetime;
    });
    std::vector<endpoint_report> reports;
    std::ranges::transform(m_reports | std::views::values, std::back_inserter(reports), [now](const timed_report &stored) {
        auto entry = stored.entry;
        entry.report.age = now - stored.measuredAt;
        return entry;
    });
    return reports;
}

void load_page_reader::storeReport(const load_page &page, const load_report &report)
{
    const auto now = monoNow();
    m_reports[page.address] = {{page.pool, page.address, report}, now - report.age};
    if (const auto balancer = m_current()->find(page.pool)) {
        balancer->applyReport(page.address, report, now);
    }
}

} // namespace sequoiawharf
