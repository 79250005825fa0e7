#include "src/shell/platform/config_feed.h"

#include "src/shell/net/clock.h"
#include "src/shell/net/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr unsigned kRecordsPerRead = 500;
constexpr milliseconds kMaxWaitWhenStateRecordDue {1000};
constexpr const char *kPart = "config";

} // namespace

config_feed::config_feed(
    asio::io_context &context, log_client &log, instance_id self, config_observer &observer, std::uint64_t seed, config_feed_options options)
    : m_context(context)
    , m_log(log)
    , m_self(std::move(self))
    , m_observer(observer)
    , m_random(seed)
    , m_options(options)
    , m_schedule(options.stateRecords)
    , m_pauseTimer(context)
    , m_retry(options.lowestRetry)
    , m_lastContact(monoNow())
{
}

void config_feed::start()
{
    asio::co_spawn(m_context, run(), asio::detached);
}

void config_feed::stop()
{
    m_stopped = true;
    m_pauseTimer.cancel();
}

void config_feed::setFollowing(bool following)
{
    if (following && !m_following) {
        m_pauseTimer.cancel();
    }
    m_following = following;
}

void config_feed::setLive(std::vector<instance_id> live)
{
    m_live = std::move(live);
}

bool config_feed::applyPeer(const change_set &changes)
{
    m_lastContact = monoNow();
    const auto before = m_state.version();
    const bool newer = m_state.applyPeer(changes);
    announceIfNewer(before);
    return newer;
}

// Every reader of the log judges all of its records.
void config_feed::recordPosition(config_version /*version*/, log_position /*next*/)
{
}

void config_feed::resetReadiness()
{
    ++m_newestCheck;
    m_logFailed = false;
    m_state.resetReadiness();
    asio::co_spawn(m_context, readOnce(milliseconds(0)), asio::detached);
}

readiness_reason config_feed::updateReadiness(unsigned peersPending)
{
    return m_state.updateReadiness({m_logFailed, peersPending});
}

// A read of the log may end before its newest record, so this source never vouches for having the newest version.
bool config_feed::isNewest() const
{
    return false;
}

std::shared_ptr<const configuration> config_feed::current() const
{
    return m_state.current();
}

change_set config_feed::changesSince(config_version version) const
{
    return m_state.changesSince(version);
}

log_position config_feed::asOf() const
{
    return m_state.asOf();
}

std::optional<std::string> config_feed::stateText() const
{
    return m_state.hasGap() ? std::nullopt : std::optional(encodeRecord(m_state.makeStateRecord()));
}

asio::awaitable<void> config_feed::run()
{
    while (!m_stopped) {
        if (m_following || !canSkipRead()) {
            const auto wait = m_following ? m_options.pollWait : milliseconds(0);
            co_await readOnce(wait);
        }
        const auto pause = nextPause();
        if (!m_stopped && pause.count() > 0) {
            co_await pauseFor(pause);
        }
    }
}

// Returns whether the log need not be read: the state is complete, the newest check was answered, and the log or a peer was in contact within the
// fallback time.
bool config_feed::canSkipRead() const
{
    return m_state.version() > 0 && !m_state.hasGap() && m_answeredCheck == m_newestCheck && monoNow() - m_lastContact < m_options.fallback;
}

asio::awaitable<void> config_feed::readOnce(milliseconds wait)
{
    const auto check = m_newestCheck;
    const auto from = m_state.nextToRead();
    // A check must not wait for new records: its answer shows how far the log extends, and readiness depends on it.
    const auto maxWait = m_schedule.isDue() ? std::min(wait, kMaxWaitWhenStateRecordDue) : wait;
    const auto readWait = m_answeredCheck == m_newestCheck && !m_logFailed ? maxWait : milliseconds(0);
    const auto started = monoNow();
    ++m_counters.reads;
    auto page = co_await m_log.read(from, kRecordsPerRead, readWait);
    if (m_stopped) {
        co_return;
    }
    if (!page) {
        recordFailure(check);
        co_return;
    }
    m_answeredEarly = page->records.empty() && readWait.count() > 0 && monoNow() - started < readWait / 2;
    applyPage(*page, check);
    page->records.clear();
    co_await writeStateIfDue(std::move(*page));
}

void config_feed::applyPage(const log_page &page, std::uint64_t check)
{
    if (m_logFailed) {
        logTo(log_level::Info, kPart, "Reading the log succeeds again. next={}", page.next);
    }
    m_logFailed = false;
    m_retry = m_options.lowestRetry;
    m_lastContact = monoNow();
    const auto before = m_state.version();
    const auto verdicts = m_state.applyLog(page);
    m_answeredCheck = std::max(m_answeredCheck, check);
    if (m_answeredCheck < m_newestCheck) {
        m_state.resetReadiness(); // this read may have begun before the newest check
    }
    std::ranges::for_each(verdicts, [this](const record_verdict &entry) {
        m_observer.onVerdict(entry);
    });
    announceIfNewer(before);
}

void config_feed::recordFailure(std::uint64_t check)
{
    ++m_counters.failedReads;
    m_retry = std::min(m_retry * 2, m_options.highestRetry);
    if (check != m_newestCheck) {
        return;
    }
    if (!m_logFailed) {
        logTo(log_level::Warning, kPart, "Reading the log failed. version={} as_of={}", m_state.version(), m_state.asOf());
    }
    m_logFailed = true;
}

void config_feed::announceIfNewer(config_version before)
{
    if (m_state.version() == before) {
        return;
    }
    logTo(log_level::Info, kPart, "A newer configuration is in force. version={} before={}", m_state.version(), before);
    m_observer.onConfiguration(m_state.current());
}

asio::awaitable<void> config_feed::writeStateIfDue(log_page page)
{
    const auto rank = writerRank(m_self, m_live, m_state.recoveryPoint().offset);
    if (!m_following || !m_schedule.shouldWrite(m_state, page, rank, monoNow(), m_random)) {
        co_return;
    }
    auto text = encodeRecord(m_state.makeStateRecord());
    const auto bytes = text.size();
    m_schedule.recordWritten(bytes, monoNow());
    const auto appended = co_await m_log.append(std::move(text));
    ++m_counters.stateRecords;
    m_counters.stateRecordBytes += bytes;
    logTo(log_level::Info, kPart, "Wrote a state record. version={} bytes={} taken={}", m_state.version(), bytes, appended.has_value());
}

// Returns the pause before the next read of the log: none while following, an exponential backoff with jitter after failures.
milliseconds config_feed::nextPause()
{
    if (m_logFailed) {
        const auto span = static_cast<std::uint32_t>(m_retry.count());
        return m_retry / 2 + milliseconds(m_random.below(span / 2 + 1));
    }
    if (m_following) {
        return m_answeredEarly ? m_options.lowestRetry : milliseconds(0);
    }
    return canSkipRead() ? m_options.highestRetry : m_options.lowestRetry;
}

asio::awaitable<void> config_feed::pauseFor(milliseconds time)
{
    m_pauseTimer.expires_after(time);
    boost::system::error_code ignored;
    co_await m_pauseTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace sequoiawharf
