#include "src/shell/measuring/load_prober.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr auto kReadInterval = 10ms;
constexpr unsigned kMaxConcurrentReads = 8;

} // namespace

load_prober::load_prober(asio::io_context &context, measuring_budget &budget, std::function<std::shared_ptr<const routing>()> current)
    : m_context(context)
    , m_budget(budget)
    , m_reader(budget, std::move(current))
    , m_timer(context)
{
}

void load_prober::setPages(const pool_table &pools, const instance_id &self, const data_centre_id &centre, const std::vector<instance_id> &live)
{
    m_plan.set(pools, self, centre, live);
}

void load_prober::start()
{
    asio::co_spawn(m_context, readLoop(), asio::detached);
}

void load_prober::stop()
{
    m_stopped = true;
    m_timer.cancel();
}

asio::awaitable<void> load_prober::readLoop()
{
    while (!m_stopped) {
        startReads(std::chrono::steady_clock::now());
        boost::system::error_code error;
        m_timer.expires_after(kReadInterval);
        co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

void load_prober::startReads(mono_time now)
{
    for (auto started = m_reader.readsInFlight(); started < kMaxConcurrentReads && m_budget.canAfford(load_page_reader::kMaxReadBytes, now); ++started) {
        const auto page = m_plan.next(now);
        if (!page) {
            return;
        }
        m_budget.take(measuring_kind::LoadPage, load_page_reader::kMaxReadBytes, now);
        m_reader.start(m_context, *page);
    }
}

} // namespace sequoiawharf
