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
// Endpoints whose entries expired during an outage of the service register again within 2 seconds of its return; 0.5 s are for transport.
constexpr milliseconds kReturnGrace {2500};
constexpr milliseconds kRetryInterval {500};
// While the service answers neither the reader nor this instance, this instance asks the reader, which retries the service every kRetryInterval, and
// retries the service itself less often: in a large data centre the retries of all instances would be most of the service's load.
constexpr milliseconds kOwnReadRetryInterval {2000};
// All entries are requested periodically, and soon after another instance has become the reader, since two readers may have reported a change in
// different order. The times are random, since a page of all entries takes a small reader milliseconds.
constexpr milliseconds kFullReadInterval {30'000};
constexpr milliseconds kFullReadAfterReaderChange {5000};
// Reading the list of instances takes one call to the service, an eighth of a second across regions. When a whole fleet starts for the first time,
// the list is complete one second after all instances have registered.
constexpr milliseconds kPeerListTimeout {1500};
// A data centre's readers know all endpoints within a second even when the whole region starts at once. After this time an instance reads the
// service itself.
constexpr milliseconds kStartupAskTimeout {1500};
constexpr milliseconds kStartupAskInterval {100};

// While the reader of a data centre cannot read the service, another instance notices this and reads it itself within this time of the reader's last
// read. Entries expire only after a longer outage of the service.
milliseconds longestUnreadTime(const reading_times &times)
{
    return times.maxAnswerAge + times.askInterval + kRetryInterval;
}

constexpr std::uint64_t kMaxEndpointPageBytes = 16U << 20U; // 100 times the page of 600 endpoints; a longer one is damaged

} // namespace

endpoint_feed::endpoint_feed(
    asio::io_context &context, std::unique_ptr<discovery_client> client, reading_times times, endpoint_observer &observer, std::uint64_t seed)
    : m_context(context)
    , m_client(std::move(client))
    , m_times(times)
    , m_observer(observer)
    , m_random(seed)
    , m_registry(kReturnGrace, longestUnreadTime(times))
{
}

void endpoint_feed::start(bool readsAtOnce)
{
    asio::co_spawn(m_context, run(readsAtOnce), asio::detached);
}

void endpoint_feed::setOthers(std::vector<host_port> others, bool isReader)
{
    m_others = std::move(others);
    m_isReader = isReader;
    m_areOthersSet = true;
    m_othersSet.notify();
}

asio::awaitable<void> endpoint_feed::run(bool readsAtOnce)
{
    bool isFollowing = false;
    if (!readsAtOnce) {
        isFollowing = co_await askAtStart();
    }
    if (!isFollowing) {
        m_observer.onReaderUnavailable();
    }
    while (true) {
        bool isAnswered = isFollowing;
        if (!isAnswered && monoNow() >= m_ownReadDue) {
            isAnswered = co_await readService();
            // The reader gave no usable answer while the service answers this instance, so this instance must follow configurations itself as well.
            if (isAnswered) {
                m_observer.onReaderUnavailable();
            } else if (!m_isReader && m_others.size() >= kSmallDataCentre) {
                m_ownReadDue = monoNow() + kOwnReadRetryInterval + randomBelow(kOwnReadRetryInterval / 2);
            }
        }
        if (!isAnswered) {
            isAnswered = co_await askAnother();
        }
        publish();
        const auto answeredPace = isFollowing ? m_times.askInterval : m_times.readInterval;
        const auto pause = isAnswered ? answeredPace : kRetryInterval;
        co_await pauseFor(pause - randomBelow(pause / 8));
        isFollowing = co_await askReader();
    }
}

// Asks the data centre's reader for changes, if that is another instance. Returns false without asking while the endpoints are not known.
asio::awaitable<bool> endpoint_feed::askReader()
{
    if (m_isReader || m_others.empty() || !m_isKnown) {
        co_return false;
    }
    const bool isAnswered = co_await askAndReport(m_others.front());
    if (isAnswered) {
        reportRecovery();
    }
    co_return isAnswered;
}

// Asks another instance and passes the configuration in its answer to the observer. Returns whether it answered.
asio::awaitable<bool> endpoint_feed::askAndReport(host_port other)
{
    const auto told = co_await askInstance(other);
    if (told) {
        m_observer.onPeerConfiguration(other, *told);
    }
    co_return told.has_value();
}

// Asks the others until one knows the endpoints. Alternates between the first two, which read at the start, and a random one, which may have learned
// the endpoints from them, so that no reader has to answer all starting instances.
asio::awaitable<bool> endpoint_feed::askAtStart()
{
    const auto listUntil = monoNow() + kPeerListTimeout;
    while (!m_areOthersSet && monoNow() < listUntil) {
        co_await m_othersSet.wait(listUntil);
    }
    const auto askUntil = monoNow() + kStartupAskTimeout;
    for (unsigned i = 0; !m_isReader && !m_others.empty() && monoNow() < askUntil; ++i) {
        const auto any = m_random.below(static_cast<std::uint32_t>(m_others.size()));
        const auto first = std::min<std::size_t>(i / 2 % 2, m_others.size() - 1);
        const auto other = m_others[i % 2 == 0 ? first : any];
        const auto told = co_await askInstance(other);
        if (told) {
            // Most instances that are asked here do not follow configurations; then the next answer of the reader decides whether this instance must.
            if (told->isFollowed) {
                m_observer.onPeerConfiguration(other, *told);
            }
            co_return true;
        }
        co_await pauseFor(kStartupAskInterval);
    }
    co_return false;
}

// Asks the other instances in turn, since the service may answer one of them while it fails for this instance.
asio::awaitable<bool> endpoint_feed::askAnother()
{
    if (m_others.empty()) {
        co_return false;
    }
    m_askedIndex = (m_askedIndex + 1) % m_others.size();
    co_return co_await askAndReport(m_others[m_askedIndex]);
}

// Asks another instance for endpoints, applies them, and returns the configuration that it has. Returns nothing when it does not answer or its
// entries are too old.
asio::awaitable<std::optional<peer_configuration>> endpoint_feed::askInstance(host_port other)
{
    const auto asked = monoNow();
    if (other != m_lastAsked) {
        m_lastAsked = other;
        m_fullReadDue = std::min(m_fullReadDue, asked + randomBelow(kFullReadAfterReaderChange));
    }
    const bool isFullRead = m_mustReadAll || asked >= m_fullReadDue;
    http_request request;
    request.server = std::move(other);
    request.path = endpointPagePath(isFullRead ? log_position {} : m_next);
    request.maxAnswerBytes = kMaxEndpointPageBytes;
    const auto askedAt = bootNow();
    const auto answer = co_await fetch(std::move(request), kAskTimeout);
    if (!answer || answer->status != kOk) {
        co_return std::nullopt;
    }
    const auto page = parseEndpointPage(answer->body);
    // An instance that does not know yet that the service was restored has nothing to tell.
    if (!page || page->age > m_times.maxAnswerAge || page->changes.next.era < m_registry.era()) {
        co_return std::nullopt;
    }
    if (isFullRead) {
        m_fullReadDue = asked + kFullReadInterval / 2 + randomBelow(kFullReadInterval);
    }
    m_registry.discoveryAnswered(asked - page->age);
    m_asOf = std::max(m_asOf, asked - page->age);
    applyPage(page->changes);
    m_observer.onPeerProof(page->configuration, askedAt);
    co_return page->configuration;
}

void endpoint_feed::askForProof()
{
    if (!std::exchange(m_isAskingForProof, true)) {
        asio::co_spawn(m_context, askNextForProof(), asio::detached);
    }
}

// Does not go through askInstance(), which would request all entries from each instance that is asked.
asio::awaitable<void> endpoint_feed::askNextForProof()
{
    if (m_others.empty() || m_mustReadAll) {
        m_isAskingForProof = false;
        co_return;
    }
    m_proofAskedIndex = (m_proofAskedIndex + 1) % m_others.size();
    http_request request;
    request.server = m_others[m_proofAskedIndex];
    request.path = endpointPagePath(m_next);
    request.maxAnswerBytes = kMaxEndpointPageBytes;
    const auto askedAt = bootNow();
    const auto answer = co_await fetch(std::move(request), kAskTimeout);
    m_isAskingForProof = false;
    const auto page = answer && answer->status == kOk ? parseEndpointPage(answer->body) : std::nullopt;
    if (page) {
        m_observer.onPeerProof(page->configuration, askedAt);
    }
}

milliseconds endpoint_feed::randomBelow(milliseconds time)
{
    return milliseconds(m_random.below(static_cast<std::uint32_t>(time.count())));
}

asio::awaitable<bool> endpoint_feed::readService()
{
    const auto asked = monoNow();
    ++m_reads;
    discovery_client::result page;
    if (m_mustReadAll) {
        page = co_await m_client->whole();
    } else {
        page = co_await m_client->since(m_next);
    }
    if (!page) {
        const bool wasReadingChanges = !std::exchange(m_mustReadAll, true);
        if (page.error().isDropped && wasReadingChanges) {
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
    reportRecovery();
    co_return true;
}

// Reports the end of an outage, after the service answered this instance or its reader.
void endpoint_feed::reportRecovery()
{
    if (std::exchange(m_hasFailed, false)) {
        logTo(log_level::Info, kFeedPart, "Discovery answers again. endpoints={}", m_registry.size());
        m_observer.onServiceRecovered();
    }
}

void endpoint_feed::applyPage(const discovery_page &page)
{
    const auto now = monoNow();
    const auto eraBefore = m_registry.era();
    m_registry.applyPage(page, now);
    m_next = std::max(m_next, page.next);
    m_mustReadAll = false;
    if (m_isKnown && page.next.era > eraBefore) {
        // Instances that have read the service at different times since the restore know different changes.
        m_fullReadDue = std::min(m_fullReadDue, now + kReturnGrace - randomBelow(kReturnGrace / 4));
        logTo(log_level::Warning,
              kFeedPart,
              "Discovery was restored from an earlier copy. era={} before={} endpoints={}",
              page.next.era,
              eraBefore,
              m_registry.size());
        m_observer.onServiceRestored();
    }
    if (!std::exchange(m_isKnown, true)) {
        m_known.notify();
    }
}

void endpoint_feed::publish()
{
    const auto now = monoNow();
    if (!m_isKnown || !m_registry.hasChanged(now)) {
        return;
    }
    auto endpoints = m_registry.endpoints(now);
    const auto ageMs = std::chrono::duration_cast<milliseconds>(now - m_asOf).count();
    logTo(log_level::Info, kFeedPart, "The endpoints changed. known={} read_to={} age_ms={}", m_registry.size(), m_next.offset, ageMs);
    m_observer.onEndpoints(std::move(endpoints));
}

std::string endpoint_feed::page(log_position from, const peer_configuration &configuration, mono_time now)
{
    // While nothing is known, the age exceeds the limit, so that the asking instance discards the page.
    const auto age = m_asOf == mono_time {} ? m_times.maxAnswerAge * 2 : std::chrono::duration_cast<milliseconds>(now - m_asOf);
    const bool isSnapshot = from == log_position {};
    const endpoint_page page {.changes = {.records = {}, .next = m_next, .isSnapshot = isSnapshot}, .age = age, .configuration = configuration};
    if (!isSnapshot) {
        return formatEndpointPage(page, formatEndpointRecords(m_registry.changesSince(from, m_next, now).records, m_next.era));
    }
    if (std::exchange(m_allRecordsNext, m_next) != m_next) {
        m_allRecords = formatEndpointRecords(m_registry.changesSince(from, m_next, now).records, m_next.era);
    }
    return formatEndpointPage(page, m_allRecords);
}

asio::awaitable<void> endpoint_feed::waitUntilKnown(mono_time until)
{
    while (!m_isKnown && monoNow() < until) {
        co_await m_known.wait(until);
    }
}

} // namespace sequoiawharf
