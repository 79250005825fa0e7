#include "src/shell/instance/instance.h"

#include "sequoiawharf/stop_plan.h"
#include "src/shell/gateway/gateway.h"
#include "src/shell/gateway/header_rules.h"
#include "src/shell/instance/control_metrics.h"
#include "src/shell/instance/control_plane.h"
#include "src/shell/instance/endpoint_page.h"
#include "src/shell/instance/status_page.h"
#include "src/shell/instance/surroundings.h"
#include "src/shell/metrics/gateway_metrics.h"
#include "src/shell/net/clock.h"
#include "src/shell/net/log.h"
#include "src/shell/net/page_server.h"
#include "src/shell/peer/peer_threads.h"
#include "src/shell/timeline/event_recorder.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <future>
#include <thread>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr const char *kInstancePart = "instance";
constexpr milliseconds kTickInterval {100};
constexpr std::chrono::seconds kRereadInterval {5}; ///< The settings file may change without SIGHUP; a read takes less than a millisecond.
// When a data centre starts, the instance that reads the endpoints for the others learns them a few round trips later than it is asked for them.
// Less than kAskTimeout, so that an instance without endpoints says so.
constexpr milliseconds kEndpointWait {200};
constexpr std::size_t kKeptEvents = 4096;
constexpr milliseconds kStopMargin {50}; ///< Time before the stop's deadline that is left for the process to exit.

incarnation newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<incarnation>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

// The control thread's context. Its pending handlers refer to other members of the instance, so they are destroyed before these.
class control_context : public asio::io_context
{
public:
    control_context()
        : io_context(1)
    {
    }

    /// Destroys all pending handlers. Precondition: no thread runs the context, now or later.
    void dropWork()
    {
        shutdown();
    }
};

} // namespace

class instance::implementation
{
public:
    implementation(instance_settings settings, surroundings &outside, settings_reader reread);
    ~implementation();
    implementation(const implementation &) = delete;
    implementation &operator=(const implementation &) = delete;

    tl::expected<void, std::string> start();
    stop_report runUntilStopped();

private:
    void addPages();
    tl::expected<void, std::string> startPublicPages();
    void awaitSignal();
    void onSignal(int number);
    asio::awaitable<void> tickLoop();
    void refreshReadiness();
    void rereadSettings();
    void updateStop(mono_time now);
    mono_time lastPromptTime() const;
    instance_summary summary() const;
    void record(event_kind kind, std::string detail);

    // Once it runs, the control thread uses the members declared before the gateway.
    instance_settings m_settings;
    surroundings &m_outside;
    settings_reader m_reread;
    instance_settings m_fileSettings; ///< Settings in the last valid read of the settings file.
    std::string m_fileError; ///< Error of the last read of the settings file; empty when it was valid.
    mono_time m_rereadDue {};
    mono_time m_tickedAt = monoNow();
    mono_time m_previousTickAt = m_tickedAt;
    incarnation m_process;
    event_recorder m_events;
    gateway_metrics m_metrics;
    control_context m_control;
    asio::signal_set m_signals;
    control_plane m_plane;
    page_server m_pages;
    page_server m_directoryPages;
    page_server m_readyPages;
    random_source m_lookupRandom {newIncarnation()};
    mono_time m_stopRequestedAt {};
    stop_plan m_stop;
    instance_readiness m_readiness {false, "it has just started"};
    std::promise<void> m_drained; ///< Set when every directory answer that names this instance has expired.
    bool m_isDraining = false;

    peer_threads m_peers;
    gateway m_gateway;
    std::thread m_controlThread;
};

instance::implementation::implementation(instance_settings settings, surroundings &outside, settings_reader reread)
    : m_settings(std::move(settings))
    , m_outside(outside)
    , m_reread(std::move(reread))
    , m_fileSettings(m_settings)
    , m_process(newIncarnation())
    , m_events(m_settings.id, kKeptEvents)
    , m_metrics(m_settings.threads)
    , m_signals(m_control, SIGTERM, SIGINT, SIGHUP)
    , m_plane(m_control, m_settings, m_process, m_events, outside)
    , m_pages(m_control)
    , m_directoryPages(m_control)
    , m_readyPages(m_control)
    , m_stop(m_settings.directoryLifetime + m_settings.directoryOverrun, m_settings.stopDeadline - kStopMargin)
    , m_peers(m_settings, m_process, m_settings.seed != 0 ? m_settings.seed : m_process, m_plane.node(), m_control, m_plane.routings())
    , m_gateway(m_settings,
                m_plane.routings(),
                m_plane.node().publishedDirectory(),
                m_peers.relays(),
                m_events,
                m_metrics,
                outside.dialect(),
                &m_plane.freshness(),
                m_plane.quotas())
{
}

instance::implementation::~implementation()
{
    m_control.stop();
    if (m_controlThread.joinable()) {
        m_controlThread.join();
    }
    m_control.dropWork();
}

tl::expected<void, std::string> instance::implementation::start()
{
    addPages();
    if (auto listening = m_pages.start(m_settings.admin); !listening) {
        return listening;
    }
    if (auto listening = startPublicPages(); !listening) {
        return listening;
    }
    if (auto listening = m_gateway.start(); !listening) {
        return listening;
    }
    if (auto listening = m_peers.start(m_gateway); !listening) {
        return listening;
    }
    awaitSignal();
    m_plane.setReadinessListener([this] {
        refreshReadiness();
    });
    m_plane.setTokenListener([this] {
        m_gateway.tokensArrived();
    });
    m_plane.start();
    asio::co_spawn(m_control, tickLoop(), asio::detached);
    m_controlThread = std::thread([this] {
        const rcu_reader_thread registration;
        m_control.run();
    });
    logTo(log_level::Info, kInstancePart, "Started. instance={} incarnation={}", m_settings.id.str(), m_process);
    return {};
}

// Serves the directory and the readiness page at their own addresses, if the settings name any.
tl::expected<void, std::string> instance::implementation::startPublicPages()
{
    m_outside.addDirectoryPage(m_directoryPages, [this](const data_centre_id &near, std::string_view host) {
        const auto homes = host.empty() ? std::vector<region_id> {} : m_plane.homesOf(host);
        return m_plane.node().publishedDirectory().lookup(near, homes, monoNow(), m_lookupRandom);
    });
    m_outside.addReadyPage(m_readyPages, [this] {
        return m_readiness.ready && m_stop.phase() == stop_phase::Serving;
    });
    if (!m_settings.directoryAddress.host.empty()) {
        if (auto listening = m_directoryPages.start(m_settings.directoryAddress); !listening) {
            return listening;
        }
    }
    return m_settings.readyAddress.host.empty() ? tl::expected<void, std::string> {} : m_readyPages.start(m_settings.readyAddress);
}

void instance::implementation::addPages()
{
    m_pages.add("/status", [this](const page_request &) -> asio::awaitable<page_answer> {
        refreshReadiness();
        co_return page_answer {200, "application/json", formatStatus(m_settings, summary())};
    });
    m_pages.add("/metrics", [this](const page_request &) -> asio::awaitable<page_answer> {
        const auto control = formatControlMetrics(m_plane, m_peers.traffic(), monoNow());
        co_return page_answer {200, "text/plain; version=0.0.4", m_metrics.text() + control};
    });
    m_pages.add("/configuration", [this](const page_request &) -> asio::awaitable<page_answer> {
        const auto text = m_plane.feed().stateText();
        if (!text) {
            co_return page_answer {503, "text/plain", "the state is not known: records expired before they were read\n"};
        }
        co_return page_answer {200, "application/json", *text};
    });
    m_pages.add(std::string(kEndpointPage), [this](const page_request &request) -> asio::awaitable<page_answer> {
        const auto from = parseEndpointPageQuery(request.query);
        if (!from) {
            co_return page_answer {400, "text/plain", "from must be an offset, and era a number\n"};
        }
        co_await m_plane.waitForEndpoints(monoNow() + kEndpointWait);
        co_return page_answer {200, "application/octet-stream", m_plane.endpointPage(*from, monoNow())};
    });
    m_pages.add("/events", [this](const page_request &request) -> asio::awaitable<page_answer> {
        co_return m_events.page(request);
    });
}

asio::awaitable<void> instance::implementation::tickLoop()
{
    asio::steady_timer timer(m_control);
    while (true) {
        const auto now = monoNow();
        m_previousTickAt = std::exchange(m_tickedAt, now);
        m_plane.tick(now);
        refreshReadiness();
        updateStop(now);
        if (now >= m_rereadDue) {
            m_rereadDue = now + kRereadInterval;
            rereadSettings();
        }
        timer.expires_after(kTickInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void instance::implementation::refreshReadiness()
{
    auto next = m_plane.readiness();
    if (next == m_readiness) {
        return;
    }
    m_readiness = std::move(next);
    const auto version = m_plane.feed().current()->version;
    logTo(log_level::Info, kInstancePart, "Readiness changed. ready={} why=\"{}\" version={}", m_readiness.ready, m_readiness.reason, version);
    record(event_kind::ReadinessChanged, fmt::format("ready={} version={}", m_readiness.ready, version));
    m_gateway.setReady(m_readiness.ready, m_readiness.reason);
}

instance_summary instance::implementation::summary() const
{
    instance_summary result;
    result.process = m_process;
    result.version = m_plane.feed().current()->version;
    result.asOf = m_plane.feed().asOf().offset;
    result.ready = m_readiness.ready;
    result.reason = m_readiness.reason;
    result.callsInFlight = m_gateway.callsInFlight();
    result.stopping = m_stop.phase() != stop_phase::Serving;
    return result;
}

void instance::implementation::awaitSignal()
{
    m_signals.async_wait([this](const boost::system::error_code &error, int number) {
        if (!error) {
            onSignal(number);
            awaitSignal();
        }
    });
}

void instance::implementation::onSignal(int number)
{
    if (number == SIGHUP) {
        logTo(log_level::Info, kInstancePart, "Received SIGHUP; reading the settings file again.");
        return rereadSettings();
    }
    const auto now = monoNow();
    if (m_stop.phase() == stop_phase::Serving) {
        m_stopRequestedAt = lastPromptTime();
    }
    m_stop.request(lastPromptTime(), now);
    const auto bounds = m_stop.bounds();
    const auto ms = [](std::chrono::nanoseconds time) {
        return std::chrono::duration_cast<milliseconds>(time).count();
    };
    const auto detail = fmt::format("signal={} calls_in_flight={} counts_from_ms={} answers_by_ms={}",
                                    number,
                                    m_gateway.callsInFlight(),
                                    ms(bounds.countsFrom - now),
                                    ms(bounds.answerBy - now));
    logTo(log_level::Info, kInstancePart, "Stopping. {}", detail);
    record(event_kind::StopStarted, detail);
    m_plane.node().startLeaving();
    m_gateway.beginStop(bounds);
    updateStop(now);
}

// Applies the settings that may change in a running process from the settings file. A faulty file changes nothing. Other threads read m_settings
// meanwhile, but none of the fields that change.
void instance::implementation::rereadSettings()
{
    if (!m_reread) {
        return;
    }
    auto read = m_reread();
    if (!read) {
        if (std::exchange(m_fileError, read.error()) != read.error()) {
            logTo(log_level::Warning, kInstancePart, "The settings file is invalid; the settings in force are unchanged. why=\"{}\"", m_fileError);
        }
        return;
    }
    m_fileError.clear();
    if (*read == m_fileSettings) {
        return;
    }
    m_fileSettings = std::move(*read);
    const auto change = planReload(m_settings, m_fileSettings);
    copyReloadable(change.next, m_settings);
    setLogLevel(toLogLevel(m_settings.logLevel));
    m_plane.node().setSeeds(m_settings.seeds);
    logTo(log_level::Info, kInstancePart, "The settings file has changed. in_force={} waits_for_start={}", change.appliesNow, change.needsRestart);
    record(event_kind::SettingsChanged, fmt::format("in_force={} waits_for_start={}", change.appliesNow, change.needsRestart));
}

// Returns the last time at which the control thread had handled all that had arrived. A signal that it handles now may have been sent since then.
mono_time instance::implementation::lastPromptTime() const
{
    const bool wasLastTickLate = m_tickedAt - m_previousTickAt > 2 * kTickInterval;
    return wasLastTickLate ? m_previousTickAt : m_tickedAt;
}

void instance::implementation::updateStop(mono_time now)
{
    const auto phase = m_stop.update(m_gateway.callsInFlight(), now);
    if (phase >= stop_phase::Draining && !m_isDraining) {
        m_isDraining = true;
        m_drained.set_value();
    }
}

void instance::implementation::record(event_kind kind, std::string detail)
{
    event entry;
    entry.kind = kind;
    entry.subject = m_settings.id.str();
    entry.detail = std::move(detail);
    m_events.record(std::move(entry));
}

stop_report instance::implementation::runUntilStopped()
{
    m_drained.get_future().wait();
    m_peers.beginStop(m_gateway);
    const auto left = m_settings.stopDeadline - kStopMargin - (monoNow() - m_stopRequestedAt);
    const auto cut = m_gateway.finish(std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(left)));
    m_control.stop();
    m_controlThread.join();
    logTo(log_level::Info, kInstancePart, "Stopped. calls_cut={}", cut);
    return {cut};
}

instance::instance(instance_settings settings, surroundings &outside, settings_reader reread)
    : m_implementation(std::make_unique<implementation>(std::move(settings), outside, std::move(reread)))
{
}

instance::~instance() = default;

tl::expected<void, std::string> instance::start()
{
    return m_implementation->start();
}

stop_report instance::runUntilStopped()
{
    return m_implementation->runUntilStopped();
}

} // namespace sequoiawharf
