#include "tools/target/target_endpoint.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <numbers>

namespace sequoiawharf::stand_in
{

namespace
{

namespace asio = boost::asio;

constexpr double kColdFactor = 8.0;
constexpr double kLognormalSigma = 0.8;
constexpr std::chrono::seconds kLeavingGrace {3};

double drawFactor(service_distribution distribution, random_source &random)
{
    if (distribution == service_distribution::Fixed) {
        return 1.0;
    }
    const double u = 1.0 - random.unit();
    if (distribution == service_distribution::Exponential) {
        return -std::log(u);
    }
    const double normal = std::sqrt(-2.0 * std::log(u)) * std::cos(2.0 * std::numbers::pi * random.unit());
    return std::exp(kLognormalSigma * normal - kLognormalSigma * kLognormalSigma / 2.0);
}

} // namespace

target_endpoint::target_endpoint(host_port address, const target_options &options, run_ledger &ledger, std::uint64_t seed)
    : m_address(std::move(address))
    , m_options(options)
    , m_ledger(ledger)
    , m_random(seed)
{
}

asio::awaitable<bool> target_endpoint::acquireSlot(mono_time deadline)
{
    if (m_busy < m_options.slots) {
        ++m_busy;
        co_return true;
    }
    if (m_waiting.size() >= m_options.queue) {
        ++counts.shed;
        co_return false;
    }
    waiter self(co_await asio::this_coro::executor);
    self.timer.expires_at(deadline);
    const auto position = m_waiting.insert(m_waiting.end(), &self);
    boost::system::error_code error;
    co_await self.timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    if (!self.granted) {
        m_waiting.erase(position);
        ++counts.expired;
    }
    co_return self.granted;
}

void target_endpoint::release()
{
    if (m_waiting.empty()) {
        --m_busy;
        return;
    }
    auto *next = m_waiting.front();
    m_waiting.pop_front();
    next->granted = true;
    next->timer.cancel();
}

void target_endpoint::countRun(std::string_view requestId, bool repeatable, mono_time now)
{
    m_ledger.add(requestId, repeatable);
    ++counts.runs;
    if (switches.leaving && now - switches.leavingSince >= kLeavingGrace) {
        ++counts.lateRuns;
    }
}

double target_endpoint::coldFactor(mono_time now) const
{
    const std::chrono::duration<double> age = now - switches.coldSince;
    const std::chrono::duration<double> ramp = switches.coldFor;
    if (ramp.count() <= 0.0 || age >= ramp) {
        return 1.0;
    }
    return kColdFactor + (1.0 - kColdFactor) * (age / ramp);
}

std::chrono::nanoseconds target_endpoint::serviceTime(std::string_view path, mono_time now)
{
    const auto rule = std::ranges::find_if(m_options.service, [&](const service_rule &candidate) {
        return path.starts_with(candidate.pathPrefix);
    });
    const double factor = drawFactor(m_options.distribution, m_random) * switches.slowFactor * switches.moveFactor * coldFactor(now);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(rule->mean * factor);
}

double target_endpoint::claimedLoad() const
{
    if (switches.lie != endpoint_switches::lie_kind::None) {
        return switches.lie == endpoint_switches::lie_kind::Idle ? 0.0 : 9.0;
    }
    return static_cast<double>(m_busy + m_waiting.size()) / m_options.slots;
}

bool target_endpoint::claimedHealthy() const
{
    if (switches.lie != endpoint_switches::lie_kind::None) {
        return switches.lie == endpoint_switches::lie_kind::Idle;
    }
    return !switches.leaving && !switches.shed && !switches.fail;
}

std::string target_endpoint::loadPage() const
{
    const bool idle = switches.lie == endpoint_switches::lie_kind::Idle;
    const auto *const state = switches.leaving && !idle ? "leaving" : "serving";
    return fmt::format(R"({{"state":"{}","in_flight":{},"queued":{},"slots":{}}})", state, idle ? 0 : m_busy, idle ? 0 : m_waiting.size(), m_options.slots);
}

std::string target_endpoint::countsPage() const
{
    return fmt::format(R"({{"endpoint":"{}","runs":{},"late_runs":{},"shed":{},"failed":{},"cancelled":{},"expired":{},)"
                       R"("accepted":{},"refused_connections":{},"connections":{},"bytes_in":{}}})",
                       toString(m_address),
                       counts.runs,
                       counts.lateRuns,
                       counts.shed,
                       counts.failed,
                       counts.cancelled,
                       counts.expired,
                       counts.accepted,
                       counts.refusedConnections,
                       connections,
                       counts.bytesIn);
}

} // namespace sequoiawharf::stand_in
