#include "src/shell/instance/control_plane.h"

#include "sequoiawharf/selection_policy.h"
#include "src/shell/net/clock.h"
#include "src/shell/net/log.h"
#include "src/shell/net/pause.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <ctime>
#include <iterator>
#include <random>
#include <ranges>
#include <set>
#include <utility>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr const char *kPart = "control";
constexpr milliseconds kListInterval {2000};
// Used while heartbeats report the other instances; the list then only reunites groups that lost each other. In a larger fleet each instance reads
// less often, so that all instances together read once a second.
constexpr milliseconds kQuietListInterval {30'000};
constexpr unsigned kListReadersPerSecond = 1;
// Instances that register at the same time miss each other in the first read, and the fleet's budget of repeats is divided by the number of those
// listed.
constexpr unsigned kListReadsAtStart = 2;
constexpr milliseconds kSecondListDelay {700}; ///< Instances that start together register within half of this.
constexpr unsigned kAssumedFleetSize = 1000; ///< Assumed until the list was read, so that restarted instances do not each use the whole fleet's slack.
constexpr milliseconds kMembersSettleTime {3000}; ///< After the first list; heartbeats of all live instances of a data centre have arrived by then.
constexpr milliseconds kStatusInterval {500};
constexpr milliseconds kMaxTickGap {1500}; ///< A longer gap between two ticks counts as a pause of the process.
constexpr milliseconds kProofQueryInterval {500}; ///< Between two queries of an instance whose proof is old.
constexpr unsigned kLogReadersPerRegion = 2; ///< Instances of a region that follow the log all the time.

std::uint64_t seedOf(const instance_settings &settings)
{
    return settings.seed != 0 ? settings.seed : std::random_device {}();
}

std::uint64_t processorTimeNs()
{
    timespec used {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return static_cast<std::uint64_t>(used.tv_sec) * 1'000'000'000ULL + static_cast<std::uint64_t>(used.tv_nsec);
}

member_hint toHint(const listed_instance &listed)
{
    return {listed.id, listed.peer, listed.dataCentre, listed.region};
}

bool isRefusal(verdict result)
{
    return result != verdict::Accepted && result != verdict::StateKnown && result != verdict::StateAdopted;
}

} // namespace

control_plane::control_plane(asio::io_context &context, const instance_settings &settings, incarnation process, event_sink &events, surroundings &outside)
    : m_context(context)
    , m_settings(settings)
    , m_events(events)
    , m_policy(makeSelectionPolicy(settings.policy))
    , m_limits(std::make_shared<placement_limits>(settings.regions))
    , m_routings(std::make_shared<const routing>())
    , m_routing(std::make_shared<const routing>())
    , m_list(outside.makeInstanceList(settings))
    , m_freshness(settings.revocationBound)
    , m_proofExpectedAt(bootNow() + settings.revocationBound)
    , m_feed(outside.makeConfigurationSource(context, settings, *this, seedOf(settings)))
    , m_node(context,
             {.settings = settings,
              .process = process,
              .seed = seedOf(settings),
              .configuration = this,
              .events = &events,
              .markLeaving =
                  [this](const leaving_notice &notice) {
                      applyLeavingNotice(notice);
                  },
              .answerQuota =
                  [this](const quota_request &request) {
                      return answerQuota(request);
                  },
              .limits = m_limits})
    , m_quotas(settings.quotas.isSet() ? std::make_unique<quota_control>(context, settings, process, m_node) : nullptr)
    , m_measuring(settings.measuring, monoNow())
    , m_prober(context,
               m_measuring,
               [this] {
                   return m_routing;
               })
    , m_config(std::make_shared<const configuration>())
    , m_readingTimes(reading_times::within(settings.leavingBound))
    , m_lastTick(monoNow())
    , m_keySeed(random_source(seedOf(settings)).next())
    , m_cpuAt(m_lastTick)
{
    if (auto discovery = outside.makeDiscoveryClient(settings)) {
        endpoint_observer &self = *this;
        m_endpoints = std::make_unique<endpoint_feed>(context, std::move(discovery), m_readingTimes, self, seedOf(settings));
    }
}

void control_plane::start()
{
    m_locality = makeLocality(monoNow());
    m_feed->start();
    if (m_endpoints) {
        m_endpoints->start(readsAtOnce(m_settings.id));
    }
    m_node.start();
    m_prober.start();
    if (m_quotas) {
        m_quotas->start();
    }
    asio::co_spawn(m_context, listLoop(), asio::detached);
}

void control_plane::tick(mono_time now)
{
    const auto gap = now - m_lastTick;
    m_lastTick = now;
    if (gap > kMaxTickGap) {
        logTo(log_level::Warning,
              kPart,
              "The process was paused; readiness is checked again. duration_ms={}",
              std::chrono::duration_cast<milliseconds>(gap).count());
        m_feed->resetReadiness();
    }
    updateMembers(now);
    if (m_freshness.isOn()) {
        updateFreshness(now);
    }
    if (const bool ready = readiness().ready; ready != m_publishedReady || now >= m_statusDue) {
        m_publishedReady = ready;
        m_statusDue = now + kStatusInterval;
        publishStatus(now);
    }
}

instance_readiness control_plane::readiness()
{
    const auto reason = m_feed->updateReadiness(m_node.peersPending());
    if (reason != readiness_reason::Ready) {
        return {false, std::string(toString(reason))};
    }
    if (m_endpoints && !m_endpoints->isKnown()) {
        return {false, "the endpoints are not known yet"};
    }
    if (m_feed->isNewest() && !m_node.isSuperseded()) {
        return {true, std::string(toString(reason))};
    }
    const auto peerReason = m_node.unreadyReason();
    return {peerReason.empty(), peerReason.empty() ? std::string(toString(reason)) : peerReason};
}

// Passes the live members to the prober, the feeds and the routing.
void control_plane::updateMembers(mono_time now)
{
    const auto live = m_node.members().liveMembers(now);
    std::vector<instance_id> ids;
    std::ranges::transform(live, std::back_inserter(ids), &member_row::id);
    if (ids != m_live) {
        m_live = ids;
        m_prober.setPages(m_config->pools, m_settings.id, m_settings.dataCentre, m_live);
    }
    m_feed->setLive(std::move(ids));
    if (m_endpoints) {
        updateEndpointFeed(now);
    } else {
        m_feed->setFollowing(m_node.members().readerRank(now) < kLogReadersPerRegion);
    }
    updateQuotas(now);
    if (auto next = makeLocality(now); next != m_locality) {
        m_locality = std::move(next);
        publishRouting(now);
    }
}

// Returns the operators' address of an instance. All instances use the same port for it.
host_port control_plane::operatorsAt(const host_port &gateway) const
{
    return {gateway.host, m_settings.admin.port};
}

// Returns the other instances of the data centre with their operators' addresses: the live ones, and shortly after the start the listed ones as
// well, since few heartbeats have arrived by then.
std::map<instance_id, host_port> control_plane::dataCentrePeers(mono_time now)
{
    auto near = !m_membersSettledAt || now < *m_membersSettledAt ? m_listedPeers : std::map<instance_id, host_port> {};
    std::ranges::for_each(m_node.members().liveMembers(now), [&](const member_row &row) {
        if (row.id != m_settings.id) {
            near.insert_or_assign(row.id, operatorsAt(row.gateway));
        }
    });
    return near;
}

// Passes the instances of the data centre that may be asked to the endpoint feed, once the first read of the list has
// ended.
void control_plane::updateEndpointFeed(mono_time now)
{
    const bool isStarting = !m_endpoints->isKnown();
    if (isStarting && !m_membersSettledAt) {
        return; // with only the few members known from heartbeats, every starting instance would become a reader
    }
    const auto near = dataCentrePeers(now);
    std::vector<instance_id> ids;
    std::ranges::copy(near | std::views::keys, std::back_inserter(ids));
    m_mayUseReaderForConfiguration = mayUseReaderForConfiguration(m_readingTimes, m_settings.configurationBound, near.size());
    if (!m_mayUseReaderForConfiguration) {
        m_feed->setFollowing(true);
    }
    const auto role = chooseReadingRole(m_settings.id, std::move(ids), isStarting);
    // The others learn of a new version from the reader within one interval, also those whose own poll has fallen silent.
    const bool isReliedUpon = role.isReader && !isStarting && !near.empty() && m_settings.configurationBound.count() > 0;
    m_feed->setPollTimes(pollTimes(isReliedUpon, role.isReader));
    std::vector<host_port> others;
    std::ranges::transform(role.readers, std::back_inserter(others), [&](const instance_id &id) {
        return near.at(id);
    });
    m_endpoints->setOthers(std::move(others), role.isReader);
}

// Passes the instances of the region to the quotas. Of this data centre, only the live ones may hold shares; others show by their answers whether they live.
void control_plane::updateQuotas(mono_time now)
{
    if (!m_quotas) {
        return;
    }
    const bool isSettled = m_membersSettledAt && now >= *m_membersSettledAt;
    std::map<instance_id, host_port> candidates;
    std::ranges::for_each(m_listedInRegion | std::views::values, [&](const listed_instance &entry) {
        if (!isSettled || entry.dataCentre != m_settings.dataCentre) {
            candidates.emplace(entry.id, entry.peer);
        }
    });
    std::ranges::for_each(m_node.members().liveMembers(now), [&](const member_row &row) {
        if (!row.leaving) {
            candidates.insert_or_assign(row.id, row.peer);
        }
    });
    m_quotas->setCandidates(std::move(candidates));
}

// An instance that stops grants nothing, so that others take over its part early.
std::optional<quota_grant> control_plane::answerQuota(const quota_request &request)
{
    const bool mayAnswer = m_quotas && !m_node.members().self().leaving;
    return mayAnswer ? std::optional(m_quotas->answer(request)) : std::nullopt;
}

// Returns the times of polls. An instance on which others rely must notice early that its poll has fallen silent, and the one that reads for the data
// centre proves for the others that their configuration is recent. nothing: the source's own times.
std::optional<poll_times> control_plane::pollTimes(bool isReliedUpon, bool isReader) const
{
    auto times = isReliedUpon ? std::optional(poll_times::within(m_settings.configurationBound)) : std::nullopt;
    if (!m_freshness.isOn()) {
        return times;
    }
    const auto proving = poll_times::withinRevocation(m_settings.revocationBound);
    if (shouldReadStoreForProof()) {
        return poll_times {.wait = milliseconds(0), .answerTimeout = proving.answerTimeout}; // only an answer proves
    }
    if (!isReader) {
        return times; // the reader's proof serves this instance, also when it follows the store for itself
    }
    const auto limit = times.value_or(proving);
    return poll_times {.wait = std::min(limit.wait, proving.wait), .answerTimeout = std::min(limit.answerTimeout, proving.answerTimeout)};
}

// Returns whether the proofs of other instances do not suffice. A new process gets its first proof from the read with which it starts.
bool control_plane::shouldReadStoreForProof() const
{
    const auto now = bootNow();
    return now >= m_proofExpectedAt && m_freshness.shouldReadStore(now);
}

// Rounded up, since another instance must not take the proof for younger than it is.
std::optional<milliseconds> control_plane::proofAge() const
{
    const auto age = m_freshness.isOn() ? m_freshness.age(bootNow()) : std::nullopt;
    return age ? std::optional(std::chrono::ceil<milliseconds>(*age)) : std::nullopt;
}

// Asks for a younger proof before the one that this instance has is too old, first another instance and then the store.
void control_plane::updateFreshness(mono_time now)
{
    const auto bootTime = bootNow();
    if (m_endpoints && now >= m_proofQueryDue && m_freshness.shouldAskPeers(bootTime)) {
        m_proofQueryDue = now + kProofQueryInterval;
        m_endpoints->askForProof();
    }
    if (shouldReadStoreForProof()) {
        m_feed->setFollowing(true);
    }
    const bool admits = m_freshness.admitsKeyedCalls(bootTime);
    if (admits == m_admitsKeyedCalls) {
        return;
    }
    m_admitsKeyedCalls = admits;
    const auto ageMs = proofAge().value_or(milliseconds(-1)).count();
    if (admits) {
        logTo(log_level::Info, kPart, "Calls with a key are admitted. version={} proof_age_ms={}", m_feed->current()->version, ageMs);
    } else {
        logTo(log_level::Warning,
              kPart,
              "Calls with a key are refused, because the configuration may be out of date. version={} proof_age_ms={} bound_ms={}",
              m_feed->current()->version,
              ageMs,
              m_settings.revocationBound.count());
    }
}

void control_plane::onConfigurationProven(boot_time sentAt)
{
    if (m_freshness.isOn()) {
        m_freshness.recordOwnRead(sentAt, m_feed->current()->version);
    }
}

void control_plane::onPeerProof(const peer_configuration &told, boot_time askedAt)
{
    if (m_freshness.isOn()) {
        m_freshness.recordPeer(askedAt, told.proofAge, told.version, m_feed->current()->version);
    }
}

void control_plane::onPeerConfiguration(const host_port &teller, const peer_configuration &told)
{
    m_feed->setFollowing(!told.isFollowed || !m_mayUseReaderForConfiguration || shouldReadStoreForProof());
    if (told.evacuations) {
        m_feed->applyPeerEvacuations(*told.evacuations);
    }
    // An instance of an earlier build tells a position, but not the evacuations before it.
    const bool tellsEvacuations = told.evacuations && told.evacuations->asOf >= told.next;
    if (told.isFollowed && told.next != log_position {} && tellsEvacuations) {
        m_feed->recordPosition(told.version, told.next);
    }
    if (told.version > m_feed->current()->version) {
        m_node.recordPeerVersion({teller.host, m_settings.peer.port}, told.version);
    }
}

void control_plane::onReaderUnavailable()
{
    m_feed->setFollowing(true);
}

void control_plane::onServiceRecovered()
{
    m_feed->reconnect();
}

// What this instance has registered may be lost.
void control_plane::onServiceRestored()
{
    m_feed->reconnect();
    m_listDue.notify();
}

void control_plane::publishStatus(mono_time now)
{
    m_node.setPoolTotals(poolTotals(now));
    std::ranges::for_each(m_routing->leavingSince(m_lastStatus, now), [this](const leaving_notice &notice) {
        m_node.announceLeaving(notice.pool, notice.endpoint);
    });
    m_lastStatus = now;
    std::ranges::for_each(m_watch.changes(*m_routing, now), [this](event &entry) {
        m_events.record(std::move(entry));
    });
    const auto cpuNs = processorTimeNs();
    const auto available = std::chrono::duration_cast<nanoseconds>(now - m_cpuAt).count() * m_settings.threads;
    const auto percent = available > 0 ? (cpuNs - m_cpuNs) * 100 / static_cast<std::uint64_t>(available) : 0;
    m_cpuNs = cpuNs;
    m_cpuAt = now;
    m_node.setStatus(static_cast<std::uint8_t>(std::min<std::uint64_t>(percent, 100)), readiness().ready);
}

std::vector<pool_totals> control_plane::poolTotals(mono_time now) const
{
    std::vector<pool_totals> facts;
    std::ranges::for_each(m_routing->balancers(), [&](const auto &entry) {
        if (auto found = entry.second->facts(m_settings.dataCentre, now); found.endpoints > 0) {
            facts.push_back(std::move(found));
        }
    });
    return facts;
}

// Applies another instance's notice that an endpoint leaves. The notice's age is kept, since the endpoint may have returned after it.
void control_plane::applyLeavingNotice(const leaving_notice &notice)
{
    if (const auto balancer = m_routing->find(notice.pool)) {
        balancer->applyReport(notice.endpoint, {.source = report_source::Shared, .state = reported_state::Leaving, .age = notice.age}, monoNow());
    }
}

locality control_plane::makeLocality(mono_time now)
{
    locality result;
    result.self = m_settings.id;
    result.dataCentre = m_settings.dataCentre;
    const auto centres = m_settings.regions.find(m_settings.region);
    if (centres != m_settings.regions.end()) {
        result.ownRegion = centres->second;
    }
    // With probing, an instance reaches endpoints of other regions itself when no nearer endpoint can take a call.
    const bool isProbing = m_settings.probing.count > 0;
    result.region = isProbing ? std::vector<data_centre_id> {} : result.ownRegion;
    result.instances = std::max(1U, isProbing ? m_listed : m_node.members().liveInRegion(now));
    result.fleetSize = m_listed > 0 ? m_listed : kAssumedFleetSize;
    result.repeats = m_settings.repeats;
    result.hedging = m_settings.hedging;
    result.limits = m_limits;
    return result;
}

// Returns the configuration in force with the endpoints from discovery.
std::shared_ptr<const configuration> control_plane::withEndpoints() const
{
    if (!m_endpoints) {
        return m_config;
    }
    std::vector<pool> filled;
    std::ranges::for_each(m_config->pools.pools(), [&](const pool &entry) {
        const auto found = m_discovered.find(entry.name);
        auto next = entry;
        next.endpoints = found == m_discovered.end() ? std::vector<endpoint> {} : found->second;
        filled.push_back(std::move(next));
    });
    auto result = std::make_shared<configuration>(*m_config);
    result->pools = pool_table(std::move(filled));
    return result;
}

void control_plane::onEndpoints(std::map<pool_name, std::vector<endpoint>> endpoints)
{
    m_discovered = std::move(endpoints);
    publishRouting(monoNow());
    m_onReadinessInput();
}

void control_plane::publishRouting(mono_time now)
{
    m_routing = std::make_shared<const routing>(withEndpoints(), m_locality, m_policy, *m_routing, now, m_keySeed);
    m_routings.store(m_routing);
}

void control_plane::onConfiguration(std::shared_ptr<const configuration> config)
{
    const auto before = m_config->version;
    m_config = std::move(config);
    if (m_endpoints) {
        std::set<pool_name> pools;
        std::ranges::transform(m_config->pools.pools(), std::inserter(pools, pools.end()), &pool::name);
        m_endpoints->setPools(std::move(pools));
    }
    publishRouting(monoNow());
    m_freshness.recordVersion(m_config->version);
    if (m_quotas) {
        m_quotas->setOrganisations(m_config->organisations);
    }
    m_prober.setPages(m_config->pools, m_settings.id, m_settings.dataCentre, m_live);
    record(event_kind::ConfigurationAccepted, std::to_string(m_config->version), fmt::format("before={} from={}", before, m_applyingPeer ? "peer" : "log"));
    if (!m_applyingPeer) {
        m_node.configurationRead(before, !m_endpoints || m_feed->isFollowing());
    }
    m_onReadinessInput();
}

// Puts evacuations in force, at once and also for calls that are running.
void control_plane::onEvacuations(const std::set<data_centre_id> &centres)
{
    m_limits->setEvacuated(centres);
    const auto before = std::exchange(m_evacuated, centres);
    std::ranges::for_each(m_evacuated, [&](const data_centre_id &centre) {
        if (!before.contains(centre)) {
            logTo(log_level::Warning,
                  kPart,
                  "A data centre is evacuated; no calls are sent to its endpoints. data_centre={} region={}",
                  centre.str(),
                  m_settings.regionOf(centre).str());
        }
    });
    std::ranges::for_each(before, [&](const data_centre_id &centre) {
        if (!m_evacuated.contains(centre)) {
            logTo(log_level::Warning, kPart, "The evacuation of a data centre has ended. data_centre={}", centre.str());
        }
    });
}

void control_plane::onVerdict(const record_verdict &entry)
{
    if (!isRefusal(entry.result)) {
        return;
    }
    logTo(log_level::Warning, kPart, "A record of the log was refused. offset={} verdict={} detail={}", entry.offset, toString(entry.result), entry.detail);
    record(event_kind::ConfigurationRefused, std::to_string(entry.offset), fmt::format("verdict={} id={}", toString(entry.result), entry.id.str()));
}

std::shared_ptr<const configuration> control_plane::current() const
{
    return m_feed->current();
}

change_set control_plane::changesSince(config_version version) const
{
    return m_feed->changesSince(version);
}

bool control_plane::apply(const change_set &changes)
{
    m_applyingPeer = true;
    const bool isNewer = m_feed->applyPeer(changes);
    m_applyingPeer = false;
    return isNewer;
}

asio::awaitable<void> control_plane::listLoop()
{
    unsigned reads = 0;
    while (true) {
        const auto listed = co_await m_list->instances();
        if (listed) {
            applyList(*listed);
            ++reads;
            m_isListed = std::ranges::find(*listed, m_settings.id, &listed_instance::id) != listed->end();
        } else {
            logTo(log_level::Warning, kPart, "The list of instances cannot be read. error=\"{}\"", toString(listed.error()));
        }
        const auto now = monoNow();
        m_membersSettledAt = m_membersSettledAt.value_or(now + kMembersSettleTime);
        updateMembers(now);
        co_await m_listDue.wait(monoNow() + listPause(listed.has_value(), reads));
    }
}

milliseconds control_plane::listPause(bool isAnswered, unsigned reads) const
{
    if (!isAnswered || m_settings.probing.count == 0) {
        return kListInterval;
    }
    if (reads < kListReadsAtStart && !m_isListed) {
        return kSecondListDelay;
    }
    return std::max<milliseconds>(kQuietListInterval, std::chrono::seconds(m_listed / kListReadersPerSecond));
}

void control_plane::applyList(const std::vector<listed_instance> &listed)
{
    std::vector<member_hint> hints;
    const auto isOther = [this](const listed_instance &entry) {
        return entry.id != m_settings.id;
    };
    std::ranges::for_each(listed | std::views::filter(isOther), [&](const listed_instance &entry) {
        hints.push_back(toHint(entry));
        if (entry.region == m_settings.region) {
            m_listedInRegion.insert_or_assign(entry.id, entry);
        }
        if (entry.dataCentre == m_settings.dataCentre) {
            m_listedPeers.insert_or_assign(entry.id, operatorsAt(entry.gateway));
        }
    });
    m_listed = std::max(m_listed, static_cast<unsigned>(hints.size()) + 1);
    m_node.setHints(std::move(hints));
    if (m_quotas) {
        m_quotas->recordInstances(static_cast<std::uint32_t>(m_listedInRegion.size()) + 1);
    }
}

void control_plane::record(event_kind kind, std::string subject, std::string detail)
{
    event entry;
    entry.kind = kind;
    entry.subject = std::move(subject);
    entry.detail = std::move(detail);
    m_events.record(std::move(entry));
}

} // namespace sequoiawharf
