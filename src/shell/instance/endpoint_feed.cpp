#include "src/shell/instance/endpoint_feed.h"

#include "src/shell/instance/endpoint_page.h"
#include "src/shell/net/clock.h"
#include "src/shell/net/http_client.h"
#include "src/shell/net/http_status.h"
#include "src/shell/net/log.h"
#include "src/shell/net/pause.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr std::string_view kFeedPart = "endpoints";
// Entries that lapsed while the service was away are back within two seconds of its return; half a second is for the way.
constexpr milliseconds kReturnGrace {2500};
constexpr milliseconds kRetry {500};
// While the service answers neither the reader nor this instance, this one asks the reader, which tries all the time, and the service only now and
// then: in a large data centre the tries of all would be most of what the service gets.
constexpr milliseconds kOwnRetry {2000};
// All entries are asked for now and then, and soon after another instance has become the reader: two of them may have told a change in different
// order. Not by all at once, since a page of all entries takes a small reader milliseconds.
constexpr milliseconds kWholeEvery {30'000};
constexpr milliseconds kWholeAfterChange {5000};
// The list of instances comes in one call to the service, across regions in an eighth of a second; when a whole fleet starts for the first time,
// a second after all have entered themselves.
constexpr milliseconds kOthersWait {1500};
// A data centre's readers know all within a second even when its whole region starts at once; then each one reads for itself.
constexpr milliseconds kAskAtStart {1500};
constexpr milliseconds kAskAtStartPace {100};

} // namespace

endpoint_feed::endpoint_feed(
    asio::io_context &context, std::unique_ptr<discovery_client> client, reading_times times, endpoint_observer &observer, std::uint64_t seed)
    : m_context(context)
    , m_client(std::move(client))
    , m_times(times)
    , m_observer(observer)
    , m_random(seed)
    , m_registry(kReturnGrace)
{
}

void endpoint_feed::start()
{
    asio::co_spawn(m_context, run(), asio::detached);
}

void endpoint_feed::setOthers(std::vector<host_port> others, bool isReader)
{
    m_others = std::move(others);
    m_isReader = isReader;
    m_areOthersSet = true;
    m_othersSet.notify();
}

asio::awaitable<void> endpoint_feed::run()
{
    bool isFollowing = co_await askAtStart();
    if (!isFollowing) {
        m_observer.onNothingTold();
    }
    while (true) {
        bool isAnswered = isFollowing;
        if (!isAnswered && monoNow() >= m_ownReadDue) {
            isAnswered = co_await readService();
            // The reader could not tell enough, and the service answers this instance: configurations must be heard of from there, too.
            if (isAnswered) {
                m_observer.onNothingTold();
            } else if (!m_isReader && m_others.size() >= kSmallDataCentre) {
                m_ownReadDue = monoNow() + kOwnRetry + randomPart(kOwnRetry / 2);
            }
        }
        if (!isAnswered) {
            isAnswered = co_await askAnother();
        }
        publish();
        const auto answeredPace = isFollowing ? m_times.askInterval : m_times.readInterval;
        const auto pause = isAnswered ? answeredPace : kRetry;
        co_await pauseFor(pause - randomPart(pause / 8));
        isFollowing = co_await askReader();
    }
}

// Asks the instance that reads for the data centre, if it is another one. What this one knows it can only keep up to date so.
asio::awaitable<bool> endpoint_feed::askReader()
{
    if (m_isReader || m_others.empty() || !m_isKnown) {
        co_return false;
    }
    const bool isAnswered = co_await askForAll(m_others.front());
    if (isAnswered) {
        noteAnswer();
    }
    co_return isAnswered;
}

// Asks another instance and passes on what it tells of the configuration.
asio::awaitable<bool> endpoint_feed::askForAll(host_port other)
{
    const auto told = co_await askInstance(other);
    if (told) {
        m_observer.onConfigurationTold(other, *told);
    }
    co_return told.has_value();
}

// Asks the others until one knows the endpoints: in turn one of the first two, which read at the start, and any, which may have learned from them.
// So no reader has to tell all.
asio::awaitable<bool> endpoint_feed::askAtStart()
{
    const auto listUntil = monoNow() + kOthersWait;
    while (!m_areOthersSet && monoNow() < listUntil) {
        co_await m_othersSet.wait(listUntil);
    }
    const auto askUntil = monoNow() + kAskAtStart;
    for (unsigned i = 0; !m_isReader && !m_others.empty() && monoNow() < askUntil; ++i) {
        const auto any = m_random.below(static_cast<std::uint32_t>(m_others.size()));
        const auto first = std::min<std::size_t>(i / 2 % 2, m_others.size() - 1);
        // Who follows configurations is left to the first question to the reader: most of those asked here do not.
        const auto told = co_await askInstance(m_others[i % 2 == 0 ? first : any]);
        if (told) {
            co_return true;
        }
        co_await pauseFor(kAskAtStartPace);
    }
    co_return false;
}

// Asks an instance that the service may serve while it turns this one away.
asio::awaitable<bool> endpoint_feed::askAnother()
{
    if (m_others.empty()) {
        co_return false;
    }
    m_asked = (m_asked + 1) % m_others.size();
    co_return co_await askForAll(m_others[m_asked]);
}

// Asks another instance for what it knows and returns the configuration that it has; nothing: it does not answer, or what it knows is too old.
asio::awaitable<std::optional<told_configuration>> endpoint_feed::askInstance(host_port other)
{
    const auto asked = monoNow();
    if (other != m_teller) {
        m_teller = other;
        m_wholeDue = std::min(m_wholeDue, asked + randomPart(kWholeAfterChange));
    }
    const bool wantsWhole = !m_next || asked >= m_wholeDue;
    http_request request;
    request.server = std::move(other);
    request.path = endpointPagePath(wantsWhole ? 0 : *m_next);
    const auto answer = co_await fetch(std::move(request), kAskTimeout);
    if (!answer || answer->status != kOk) {
        co_return std::nullopt;
    }
    const auto page = parseEndpointPage(answer->body);
    if (!page || page->age > m_times.maxAnswerAge) {
        co_return std::nullopt;
    }
    if (wantsWhole) {
        m_wholeDue = asked + kWholeEvery / 2 + randomPart(kWholeEvery);
    }
    m_registry.discoveryAnswered(asked);
    m_asOf = std::max(m_asOf, asked - page->age);
    applyPage(page->changes);
    co_return page->configuration;
}

milliseconds endpoint_feed::randomPart(milliseconds time)
{
    return milliseconds(m_random.below(static_cast<std::uint32_t>(time.count())));
}

asio::awaitable<bool> endpoint_feed::readService()
{
    const auto asked = monoNow();
    ++m_reads;
    discovery_client::result page;
    if (m_next) {
        page = co_await m_client->since(*m_next);
    } else {
        page = co_await m_client->whole();
    }
    if (!page) {
        const bool wasReading = m_next.has_value();
        m_next.reset();
        if (page.error().isDropped && wasReading) {
            co_return co_await readService();
        }
        if (!m_hasFailed) {
            logTo(log_level::Warning, kFeedPart, "Discovery does not answer. endpoints={} why=\"{}\"", m_registry.size(), page.error().detail);
        }
        m_hasFailed = true;
        m_registry.discoveryLost(asked);
        co_return false;
    }
    m_registry.discoveryAnswered(asked);
    m_asOf = asked;
    applyPage(*page);
    noteAnswer();
    co_return true;
}

// Notes that the service answers, this instance or the one that reads for it.
void endpoint_feed::noteAnswer()
{
    if (std::exchange(m_hasFailed, false)) {
        logTo(log_level::Info, kFeedPart, "Discovery answers again. endpoints={}", m_registry.size());
        m_observer.onServiceBack();
    }
}

void endpoint_feed::applyPage(const discovery_page &page)
{
    m_registry.applyPage(page, monoNow());
    m_next = std::max(m_next.value_or(0), page.next);
    m_isKnown = true;
}

void endpoint_feed::publish()
{
    const auto now = monoNow();
    if (!m_isKnown || !m_registry.hasChanged(now)) {
        return;
    }
    auto endpoints = m_registry.endpoints(now);
    const auto ageMs = std::chrono::duration_cast<milliseconds>(now - m_asOf).count();
    logTo(log_level::Info, kFeedPart, "The endpoints changed. known={} read_to={} age_ms={}", m_registry.size(), m_next.value_or(0), ageMs);
    m_observer.onEndpoints(std::move(endpoints));
}

std::string endpoint_feed::page(log_offset from, const told_configuration &configuration, mono_time now)
{
    // Nothing is known yet, or not any more: an age that nobody takes.
    const auto age = m_asOf == mono_time {} ? m_times.maxAnswerAge * 2 : std::chrono::duration_cast<milliseconds>(now - m_asOf);
    return formatEndpointPage({.changes = m_registry.changesSince(from, m_next.value_or(0), now), .age = age, .configuration = configuration});
}

} // namespace sequoiawharf
