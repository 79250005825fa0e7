#include "src/shell/peer/peer_node.h"

#include "src/shell/net/http_status.h"
#include "src/shell/net/log.h"
#include "src/shell/net/pause.h"
#include "src/wire/codec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <ranges>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;
using clock = std::chrono::steady_clock;

constexpr std::string_view kPart = "member";
constexpr std::chrono::milliseconds kTickInterval {100};
constexpr std::chrono::milliseconds kPublishInterval {250};
constexpr std::chrono::seconds kLinkUpdateInterval {1};
constexpr std::chrono::milliseconds kHeartbeatTimeout {1000};
constexpr std::chrono::milliseconds kChangesTimeout {10'000};
constexpr std::chrono::milliseconds kQuotaTimeout {1000}; // the lifetime of a token, which a later answer cannot bring any more
constexpr std::uint64_t kControlBytesPerSecond = 20'000;
constexpr std::size_t kMaxPushBytes = 16U << 10U; ///< Instances that lack a larger change request it themselves.

membership_settings toMembershipSettings(const peer_node_parts &parts)
{
    const auto &from = parts.settings;
    membership_settings to;
    to.self.id = from.id;
    to.self.process = parts.process;
    to.self.gateway = from.gateway;
    to.self.peer = from.peer;
    to.self.dataCentre = from.dataCentre;
    to.self.region = from.region;
    to.seeds = from.seeds;
    std::ranges::copy(from.regions | std::views::keys, std::back_inserter(to.regions));
    to.bytesPerSecond = kControlBytesPerSecond;
    to.linkBytesPerSecond = from.link.controlBytesPerSecond;
    return to;
}

directory_rules toDirectoryRules(const instance_settings &settings)
{
    return {.lifetime = settings.directoryLifetime, .entries = settings.directoryEntries, .nearOnly = settings.directoryNearOnly};
}

std::string_view nameOf(member_change::kind change)
{
    switch (change) {
    case member_change::kind::Joined:
        return "joined";
    case member_change::kind::Suspected:
        return "suspected";
    case member_change::kind::Returned:
        return "returned";
    case member_change::kind::Left:
        break;
    }
    return "leaving";
}

event_kind eventOf(member_change::kind change)
{
    switch (change) {
    case member_change::kind::Suspected:
        return event_kind::MemberSuspected;
    case member_change::kind::Left:
        return event_kind::MemberLeaving;
    case member_change::kind::Joined:
    case member_change::kind::Returned:
        break;
    }
    return event_kind::MemberJoined;
}

bool isEmpty(const change_set &changes)
{
    return changes.chain.empty() && changes.state.empty() && changes.asOf == 0;
}

} // namespace

peer_node::peer_node(asio::io_context &control, peer_node_parts parts)
    : m_context(control)
    , m_parts(std::move(parts))
    , m_random(m_parts.seed)
    , m_members(toMembershipSettings(m_parts), clock::now())
    , m_transfers(kTransferBytesPerSecond, kMaxTransferWait)
    , m_link(m_parts.settings.link.bytesPerSecond)
    , m_share(m_parts.settings.link.bytesPerSecond, m_parts.settings.link.controlBytesPerSecond)
    , m_traffic(std::make_shared<peer_traffic>())
    , m_client(m_traffic)
{
}

void peer_node::start()
{
    m_running = true;
    asio::co_spawn(m_context, run(), asio::detached);
}

void peer_node::stop()
{
    m_running = false;
    m_client.close(true);
    m_wake.notify();
}

control_handler peer_node::handler()
{
    return [this](std::string request) {
        return answer(std::move(request));
    };
}

void peer_node::setHints(std::vector<member_hint> hints)
{
    m_members.setHints(std::move(hints));
    m_wake.notify();
}

void peer_node::setStatus(std::uint8_t load, bool ready)
{
    const bool wasReady = m_members.self().ready;
    m_members.setSelf(m_parts.configuration->current()->version, load, ready);
    if (m_members.self().ready != wasReady) {
        m_wake.notify();
    }
}

void peer_node::setPoolTotals(std::vector<pool_totals> facts)
{
    m_sums.setOwn(std::move(facts));
}

void peer_node::configurationRead(config_version previous, bool pushes)
{
    const auto &self = m_members.self();
    m_members.setSelf(m_parts.configuration->current()->version, self.load, self.ready);
    if (pushes) {
        pushChanges(previous);
    }
    m_wake.notify();
}

void peer_node::recordPeerVersion(const host_port &peer, config_version version)
{
    m_follower.heard(peer, nearness::DataCentre, version, clock::now(), m_random);
}

void peer_node::announceLeaving(const pool_name &pool, const host_port &endpoint)
{
    const leaving_notice notice {pool, endpoint, {}};
    if (m_members.announceLeaving(notice, clock::now())) {
        m_parts.markLeaving(notice);
        m_wake.notify();
    }
}

void peer_node::startLeaving()
{
    m_members.startLeaving();
    publishDirectory();
    m_wake.notify();
}

std::string peer_node::unreadyReason() const
{
    if (m_members.isSuperseded()) {
        return "a newer process of the same instance runs";
    }
    if (!m_members.isViewConfirmed(clock::now())) {
        return "other instances were not heard since the start or the last pause";
    }
    return {};
}

unsigned peer_node::peersPending() const
{
    const bool behind = m_follower.isBehind(m_parts.configuration->current()->version);
    return m_members.pendingMembers(clock::now()) + (behind ? 1 : 0);
}

asio::awaitable<void> peer_node::run()
{
    while (m_running) {
        tick();
        co_await m_wake.wait(clock::now() + kTickInterval);
    }
}

void peer_node::tick()
{
    const auto now = clock::now();
    auto actions = m_members.tick(now, std::chrono::system_clock::now(), m_random);
    std::ranges::for_each(actions, [&](heartbeat_action &action) {
        asio::co_spawn(m_context, sendHeartbeat(std::move(action)), asio::detached);
    });
    if (const auto query = m_follower.next(m_parts.configuration->current()->version, now)) {
        asio::co_spawn(m_context, requestChanges(*query), asio::detached);
    }
    applyMemberUpdates();
    if (now >= m_publishDue) {
        m_publishDue = now + kPublishInterval;
        publishDirectory();
    }
    if (now >= m_linkDue) {
        m_linkDue = now + kLinkUpdateInterval;
        updateLink();
        m_capacity.publish(m_farPools.capacity(*m_parts.configuration->current(), m_members.centres(), m_members.self().region, now, m_parts.limits.get()));
        m_client.closeIdle(now);
    }
}

void peer_node::publishDirectory()
{
    m_directory.publish(makeDirectoryView(m_members, toDirectoryRules(m_parts.settings), clock::now()));
}

void peer_node::updateLink()
{
    const auto now = clock::now();
    const auto total = m_link.bytes(route_class::Urgent) + m_link.bytes(route_class::Normal) + m_link.bytes(route_class::Bulk);
    const auto used = total - std::exchange(m_linkBytes, total);
    m_members.setLinkUse(m_share.percentOf(used));
    m_link.setShare(m_share.update(m_members.liveInRegion(now), used, m_members.othersLinkUse(now)));
    m_members.setShares(m_sums.ownShares());
    m_members.setPools(m_sums.summaries(m_members.liveMembers(now).size() - 1, now));
}

void peer_node::applyMemberUpdates()
{
    const auto now = clock::now();
    const auto updates = m_members.drainUpdates();
    std::ranges::for_each(updates.changes, [&](const member_change &change) {
        recordMemberChange(change);
    });
    std::ranges::for_each(updates.leaving, m_parts.markLeaving);
    std::ranges::for_each(updates.pools, [&](const centre_pools &rows) {
        m_farPools.take(rows, now);
    });
    std::ranges::for_each(updates.shares, [&](const auto &item) {
        m_sums.recordShares(item.first, item.second, now);
    });
}

void peer_node::recordMemberChange(const member_change &change)
{
    logTo(log_level::Info, kPart, "Instance {}. instance={}", nameOf(change.transition), change.instance.str());
    if (m_parts.events != nullptr) {
        m_parts.events->record({{}, eventOf(change.transition), 0, {}, change.instance.str(), fmt::format("change={}", nameOf(change.transition))});
    }
}

asio::awaitable<void> peer_node::sendHeartbeat(heartbeat_action action)
{
    const auto body = encode(action.message);
    const auto bytes = co_await m_client.request(action.to, body, kHeartbeatTimeout);
    const auto now = clock::now();
    const auto reply = bytes ? decode(*bytes) : tl::unexpected(codec_error::Malformed);
    const auto *const message = reply ? std::get_if<heartbeat_message>(&*reply) : nullptr;
    if (message == nullptr) {
        co_return m_members.handleFailure(action, now);
    }
    auto next = m_members.handleReply(action, *message, now, m_random);
    recordVersions(*message);
    if (next) {
        co_await sendHeartbeat(std::move(*next));
    }
}

asio::awaitable<void> peer_node::requestChanges(change_query query)
{
    const auto body = encode(change_request {query.since});
    const auto bytes = co_await m_client.request(query.to, body, kChangesTimeout, kPingAfterPause);
    const auto reply = bytes ? decode(*bytes) : tl::unexpected(codec_error::Malformed);
    const auto *const changes = reply ? std::get_if<change_set>(&*reply) : nullptr;
    m_follower.finishQuery(query, changes == nullptr, clock::now());
    if (changes == nullptr || !m_parts.configuration->apply(*changes)) {
        co_return;
    }
    const auto &self = m_members.self();
    m_members.setSelf(m_parts.configuration->current()->version, self.load, self.ready);
    if (query.distance != nearness::DataCentre) {
        pushChanges(query.since);
    }
    m_wake.notify();
}

asio::awaitable<std::optional<quota_grant>> peer_node::requestQuota(host_port to, quota_request request)
{
    const auto bytes = co_await m_client.request(std::move(to), encode(std::move(request)), kQuotaTimeout, kPingAfterPause);
    const auto reply = bytes ? decode(*bytes) : tl::unexpected(codec_error::Malformed);
    const auto *const grant = reply ? std::get_if<quota_grant>(&*reply) : nullptr;
    co_return grant == nullptr ? std::nullopt : std::optional(*grant);
}

asio::awaitable<void> peer_node::push(host_port to, std::string body)
{
    co_await m_client.request(to, body, kHeartbeatTimeout, kPingAfterPause);
}

void peer_node::pushChanges(config_version previous)
{
    const auto changes = m_parts.configuration->changesSince(previous);
    const auto body = encode(changes);
    if (!changes.state.empty() || body.size() > kMaxPushBytes) {
        return;
    }
    const auto now = clock::now();
    auto lacking = m_members.members().inState(member_state::Live, now);
    std::erase_if(lacking, [&](const member_entry *entry) {
        return entry->row.version >= m_parts.configuration->current()->version;
    });
    // A change that the budget cannot send to all is left to their requests, since it would use up the heartbeats' part as well.
    if (body.size() * lacking.size() > m_members.budget().available(control_kind::Configuration, now)) {
        return;
    }
    std::ranges::for_each(lacking, [&](const member_entry *entry) {
        if (m_members.budget().admit(control_kind::Configuration, body.size(), now)) {
            asio::co_spawn(m_context, push(entry->row.peer, body), asio::detached);
        }
    });
}

asio::awaitable<tl::expected<std::string, unsigned>> peer_node::answer(std::string request)
{
    const auto message = decode(request);
    if (!message) {
        logTo(log_level::Warning, kPart, "Control request is malformed. bytes={}", request.size());
        co_return tl::unexpected(kBadRequest);
    }
    if (const auto *const heartbeat = std::get_if<heartbeat_message>(&*message)) {
        co_return answerHeartbeat(*heartbeat);
    }
    if (const auto *const wanted = std::get_if<change_request>(&*message)) {
        co_return co_await answerChangeRequest(wanted->since);
    }
    if (const auto *const wanted = std::get_if<quota_request>(&*message)) {
        const auto grant = m_parts.answerQuota ? m_parts.answerQuota(*wanted) : std::nullopt;
        co_return grant ? tl::expected<std::string, unsigned>(encode(*grant)) : tl::unexpected(kUnavailable);
    }
    if (const auto *const changes = std::get_if<change_set>(&*message)) {
        co_return acceptPushedChanges(*changes);
    }
    co_return tl::unexpected(kBadRequest);
}

tl::expected<std::string, unsigned> peer_node::answerHeartbeat(const heartbeat_message &message)
{
    const auto reply = m_members.take(message, clock::now(), m_random);
    recordVersions(message);
    applyMemberUpdates();
    if (!reply) {
        return tl::unexpected(kTooManyRequests);
    }
    return encode(*reply);
}

// Many instances request a change at the same time. Spacing the answers keeps the heartbeats and the answers to other questions prompt; an
// instance that is refused asks another one, which may have the change by then.
asio::awaitable<tl::expected<std::string, unsigned>> peer_node::answerChangeRequest(config_version since)
{
    const auto changes = m_parts.configuration->changesSince(since);
    auto body = encode(changes);
    const auto wait = m_transfers.reserve(body.size(), clock::now());
    if (!wait) {
        co_return tl::unexpected(kTooManyRequests);
    }
    if (wait->count() > 0) {
        co_await pauseFor(*wait);
    }
    // The budget counts this but does not limit it: an instance that got no change would read more from the service.
    m_members.budget().count(changes.state.empty() ? control_kind::Configuration : control_kind::State, body.size());
    co_return body;
}

tl::expected<std::string, unsigned> peer_node::acceptPushedChanges(const change_set &changes)
{
    m_members.budget().count(control_kind::Configuration, 0);
    if (!isEmpty(changes) && m_parts.configuration->apply(changes)) {
        const auto &self = m_members.self();
        m_members.setSelf(m_parts.configuration->current()->version, self.load, self.ready);
        m_wake.notify();
    }
    return std::string {};
}

void peer_node::recordVersions(const heartbeat_message &message)
{
    const auto now = clock::now();
    const auto own = m_parts.configuration->current()->version;
    const auto note = [&](const member_row &row, config_version version) {
        if (version > own && row.id != m_members.self().id) {
            m_follower.heard(row.peer, nearnessOf(row), version, now, m_random);
        }
    };
    note(message.sender, message.sender.version);
    std::ranges::for_each(message.centres, [&](const centre_summary &summary) {
        std::ranges::for_each(summary.entries, [&](const member_row &row) {
            note(row, row.version);
        });
    });
}

nearness peer_node::nearnessOf(const member_row &row) const
{
    const auto &self = m_members.self();
    if (row.dataCentre == self.dataCentre) {
        return nearness::DataCentre;
    }
    return row.region == self.region ? nearness::Region : nearness::Far;
}

} // namespace sequoiawharf
