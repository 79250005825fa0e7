#include "tools/platform/platform_pages.h"

#include "src/shell/platform/platform_json.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr std::uint64_t kMaxWaitMs = 60'000;
constexpr std::uint64_t kMaxRecordsPerRead = 1000;

wall_time wallNow()
{
    return std::chrono::system_clock::now();
}

std::uint64_t numberOf(const page_request &request, const std::string &key, std::uint64_t fallback)
{
    const auto entry = request.query.find(key);
    if (entry == request.query.end()) {
        return fallback;
    }
    std::uint64_t value = fallback;
    const auto &text = entry->second;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

page_answer pageOf(unsigned status, std::string body)
{
    page_answer page;
    page.status = status;
    page.body = std::move(body);
    return page;
}

page_answer droppedConnection()
{
    page_answer page;
    page.dropConnection = true;
    return page;
}

asio::awaitable<void> sleepFor(milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

platform_pages::platform_pages(asio::io_context &context, page_server &server)
    : m_context(context)
{
    addFaultyPage(server, "/log/append", [this](const page_request &request) {
        return append(request);
    });
    addFaultyPage(server, "/log/read", [this](const page_request &request) {
        return read(request);
    });
    addFaultyPage(server, "/instances", [this](const page_request &) -> page_awaitable {
        co_return pageOf(200, encodeInstances(m_instances.visible(wallNow())));
    });
    server.add("/instances/set", [this](const page_request &request) {
        return setInstances(request);
    });
    server.add("/control", [this](const page_request &request) {
        return control(request);
    });
    server.add("/stats", [this](const page_request &) -> page_awaitable {
        co_return pageOf(200, stats());
    });
}

// Adds a page to which the active faults apply.
void platform_pages::addFaultyPage(page_server &server, const std::string &path, page_server::handler page)
{
    server.add(path, [this, page = std::move(page)](const page_request &request) -> page_awaitable {
        if (m_faults.drop) {
            co_return droppedConnection();
        }
        if (m_faults.down) {
            co_return pageOf(503, "{\"error\":\"the service is down\"}");
        }
        if (m_faults.slow.count() > 0) {
            co_await sleepFor(m_faults.slow);
        }
        co_return co_await page(request);
    });
}

platform_pages::page_awaitable platform_pages::append(const page_request &request)
{
    if (request.method != "POST") {
        co_return pageOf(405, "{\"error\":\"use POST\"}");
    }
    const auto offset = m_log.append(request.body, wallNow());
    std::ranges::for_each(m_waiting, [](asio::steady_timer &timer) {
        timer.cancel();
    });
    if (m_faults.loseAnswers > 0) {
        --m_faults.loseAnswers;
        co_return droppedConnection();
    }
    co_return pageOf(200, encodeAppended(offset));
}

platform_pages::page_awaitable platform_pages::read(const page_request &request)
{
    const auto from = numberOf(request, "from", 0);
    const auto max = std::min(numberOf(request, "max", kMaxRecordsPerRead), kMaxRecordsPerRead);
    const milliseconds wait(std::min(numberOf(request, "wait_ms", 0), kMaxWaitMs));
    auto page = m_log.read(from, max, wallNow());
    if (page.records.empty() && from >= page.next && wait.count() > 0) {
        co_await waitForAppend(wait);
        page = m_log.read(from, max, wallNow());
    }
    auto body = encodePage(page);
    ++m_reads;
    m_readBytes += body.size();
    co_return m_faults.down ? pageOf(503, "{}") : pageOf(200, std::move(body));
}

asio::awaitable<void> platform_pages::waitForAppend(milliseconds maxWait)
{
    const auto timer = m_waiting.emplace(m_waiting.end(), m_context, maxWait);
    boost::system::error_code ignored;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    m_waiting.erase(timer);
}

platform_pages::page_awaitable platform_pages::control(const page_request &request)
{
    m_faults.down = numberOf(request, "down", m_faults.down ? 1 : 0) != 0;
    m_faults.drop = numberOf(request, "drop", m_faults.drop ? 1 : 0) != 0;
    m_faults.slow = milliseconds(numberOf(request, "slow_ms", static_cast<std::uint64_t>(m_faults.slow.count())));
    m_faults.loseAnswers = static_cast<unsigned>(numberOf(request, "lose_answer", m_faults.loseAnswers));
    if (request.query.contains("retain")) {
        m_log.setMaxRecords(numberOf(request, "retain", 0));
    }
    if (request.query.contains("retain_ms")) {
        m_log.setMaxAge(milliseconds(numberOf(request, "retain_ms", 0)));
    }
    if (request.query.contains("list_lag_ms")) {
        m_instances.setLag(milliseconds(numberOf(request, "list_lag_ms", 0)));
    }
    if (m_faults.down || m_faults.drop) {
        std::ranges::for_each(m_waiting, [](asio::steady_timer &timer) {
            timer.cancel();
        });
    }
    co_return pageOf(200, stats());
}

platform_pages::page_awaitable platform_pages::setInstances(const page_request &request)
{
    auto instances = parseInstances(request.body);
    if (!instances) {
        co_return pageOf(400, "{\"error\":\"the list cannot be read\"}");
    }
    m_instances.set(std::move(*instances), wallNow());
    co_return pageOf(200, "{}");
}

std::string platform_pages::stats() const
{
    return fmt::format("{{\"appends\":{},\"append_bytes\":{},\"reads\":{},\"read_bytes\":{},\"down\":{},\"drop\":{},\"slow_ms\":{},\"lose_answer\":{}}}\n",
                       m_log.appends(),
                       m_log.appendedBytes(),
                       m_reads,
                       m_readBytes,
                       m_faults.down,
                       m_faults.drop,
                       m_faults.slow.count(),
                       m_faults.loseAnswers);
}

} // namespace sequoiawharf
