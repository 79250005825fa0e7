#include "sequoiawharf/configuration_state.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>
#include <limits>

namespace sequoiawharf
{

namespace
{

// An instance whose version is older than the chain gets the whole state in place of the records.
constexpr std::size_t kMaxChainRecords = 512;
constexpr std::size_t kMaxChainBytes = 256U << 10U;
constexpr std::size_t kMaxBufferedBytes = 32U << 20U;
constexpr log_offset kMaxOffset = std::numeric_limits<std::int64_t>::max(); // decodeRecord() refuses larger numbers

std::string joinFaults(const std::vector<table_fault> &faults)
{
    constexpr std::size_t kMaxListed = 3;
    std::string text;
    std::ranges::for_each(faults.begin(), faults.begin() + static_cast<std::ptrdiff_t>(std::min(kMaxListed, faults.size())), [&](const table_fault &fault) {
        text += (text.empty() ? "" : "; ") + fault.message;
    });
    return faults.size() > kMaxListed ? fmt::format("{}; and {} more", text, faults.size() - kMaxListed) : text;
}

bool isValid(const whole_tables &tables)
{
    return validate(tables.routes, tables.pools).empty();
}

record_verdict makeVerdict(const log_record &record)
{
    record_verdict result;
    result.offset = record.offset;
    result.time = record.time;
    return result;
}

} // namespace

configuration_state::configuration_state()
    : m_current(std::make_shared<const configuration>())
{
}

log_offset configuration_state::nextToRead() const
{
    if (!m_buffered.empty()) {
        return m_buffered.back().offset + 1;
    }
    return m_gapEnd.value_or(m_asOf + 1);
}

std::vector<record_verdict> configuration_state::applyLog(const log_page &page)
{
    if (page.next > kMaxOffset || page.first > page.next) {
        return {};
    }
    if (!m_logEnd) {
        m_logEnd = page.next;
    }
    if (page.first > nextToRead()) {
        openGap(page.first);
    }
    std::vector<record_verdict> verdicts;
    for (const auto &record : page.records) {
        if (record.offset < nextToRead()) {
            continue;
        }
        if (record.offset > nextToRead()) {
            break;
        }
        std::ranges::move(process(record), std::back_inserter(verdicts));
    }
    return verdicts;
}

std::vector<record_verdict> configuration_state::process(const log_record &record)
{
    if (!hasGap()) {
        return {evaluate(record)};
    }
    bufferRecord(record);
    const auto decoded = decodeRecord(record.data);
    const auto *const state = decoded ? std::get_if<state_record>(&*decoded) : nullptr;
    if (state == nullptr || state->asOf >= record.offset || !isValid(state->tables)) {
        return {};
    }
    adopt(*state);
    return closeGapIfFilled();
}

record_verdict configuration_state::evaluate(const log_record &record)
{
    assert(record.offset == m_asOf + 1);
    m_asOf = record.offset;
    auto result = makeVerdict(record);
    const auto decoded = decodeRecord(record.data);
    if (!decoded) {
        result.result = verdict::Malformed;
        result.detail = decoded.error().detail;
    } else if (const auto *const change = std::get_if<publication>(&*decoded)) {
        evaluatePublication(*change, record.data, result);
    } else {
        evaluateState(std::get<state_record>(*decoded), record, result);
    }
    return result;
}

void configuration_state::evaluatePublication(const publication &change, const std::string &data, record_verdict &result)
{
    result.id = change.id;
    result.base = change.base;
    result.author = change.author;
    result.note = change.note;
    if (change.base != version()) {
        result.result = verdict::WrongBase;
        result.detail = fmt::format("made from version {}, but version {} was in force", change.base, version());
        return;
    }
    auto next = applyChange(*m_current, change.change, result.offset);
    if (!next) {
        result.result = verdict::InvalidTables;
        result.detail = joinFaults(next.error());
        return;
    }
    result.result = verdict::Accepted;
    activate(std::move(*next), data);
}

void configuration_state::evaluateState(const state_record &state, const log_record &record, record_verdict &result)
{
    result.base = state.version;
    const bool contradictsCurrent = state.version == version() && (state.tables.routes != m_current->routes || state.tables.pools != m_current->pools);
    if (state.asOf >= record.offset || contradictsCurrent || !isValid(state.tables)) {
        result.result = verdict::StateInvalid;
        result.detail = "the state record contradicts the log or its tables are not valid";
        return;
    }
    result.result = adopt(state) ? verdict::StateAdopted : verdict::StateKnown;
    if (state.asOf + 1 > m_recoveryPoint.offset) {
        m_recoveryPoint = {state.asOf + 1, record.time, record.data.size()};
    }
}

// Replaces the configuration by that of a valid state record if its version is newer, and returns whether it is. Such a record follows in
// the log without a gap only after the state was lost and an operator rebuilt it, see publisher::rebuild().
bool configuration_state::adopt(const state_record &state)
{
    if (state.version < version()) {
        return false;
    }
    const bool isNewer = state.version > version();
    if (isNewer) {
        m_chain.clear();
        m_chainBytes = 0;
        m_chainBase = state.version;
        m_current = std::make_shared<const configuration>(
            configuration {.version = state.version, .routes = state.tables.routes, .pools = state.tables.pools, .organisations = state.tables.organisations});
    }
    advanceTo(state.asOf);
    return isNewer;
}

bool configuration_state::applyPeer(const change_set &changes)
{
    if (changes.asOf > kMaxOffset) {
        return false;
    }
    const auto before = version();
    if (changes.state.empty()) {
        applyChain(changes);
    } else {
        const auto decoded = decodeRecord(changes.state);
        const auto *const state = decoded ? std::get_if<state_record>(&*decoded) : nullptr;
        if (state != nullptr && state->version >= version() && (state->version == version() || isValid(state->tables))) {
            adopt(*state);
        }
    }
    closeGapIfFilled();
    return version() > before;
}

void configuration_state::applyChain(const change_set &changes)
{
    const auto senderVersion = changes.chain.empty() ? changes.from : changes.chain.back().version;
    std::ranges::all_of(changes.chain, [this](const accepted_record &record) {
        return applyAccepted(record);
    });
    if (version() == senderVersion && changes.asOf >= senderVersion) {
        advanceTo(changes.asOf);
    }
}

// Returns false when the record does not apply to the version in force, so that the records after it do not either.
bool configuration_state::applyAccepted(const accepted_record &record)
{
    if (record.version <= version()) {
        return true;
    }
    const auto decoded = decodeRecord(record.data);
    const auto *const change = decoded ? std::get_if<publication>(&*decoded) : nullptr;
    if (change == nullptr || change->base != version() || record.version <= m_asOf || record.version > kMaxOffset) {
        return false;
    }
    auto next = applyChange(*m_current, change->change, record.version);
    if (!next) {
        return false;
    }
    activate(std::move(*next), record.data);
    advanceTo(record.version);
    return true;
}

void configuration_state::activate(std::shared_ptr<const configuration> next, const std::string &data)
{
    assert(next->version > version());
    m_current = std::move(next);
    m_chain.push_back({version(), data});
    m_chainBytes += data.size();
    trimChain();
}

void configuration_state::trimChain()
{
    while (m_chain.size() > kMaxChainRecords || m_chainBytes > kMaxChainBytes) {
        m_chainBase = m_chain.front().version;
        m_chainBytes -= m_chain.front().data.size();
        m_chain.pop_front();
    }
}

void configuration_state::advanceTo(log_offset asOf)
{
    m_asOf = std::max(m_asOf, asOf);
}

void configuration_state::openGap(log_offset firstAvailable)
{
    m_gapEnd = firstAvailable;
    m_buffered.clear();
    m_bufferedBytes = 0;
}

// Keeps the record until the gap is closed. Above the limit the oldest records are dropped, which widens the gap.
void configuration_state::bufferRecord(const log_record &record)
{
    m_buffered.push_back(record);
    m_bufferedBytes += record.data.size();
    while (m_bufferedBytes > kMaxBufferedBytes && m_buffered.size() > 1) {
        m_bufferedBytes -= m_buffered.front().data.size();
        m_gapEnd = m_buffered.front().offset + 1;
        m_buffered.pop_front();
    }
}

std::vector<record_verdict> configuration_state::closeGapIfFilled()
{
    std::vector<record_verdict> verdicts;
    if (!hasGap() || m_asOf + 1 < *m_gapEnd) {
        return verdicts;
    }
    m_gapEnd.reset();
    const auto buffered = std::exchange(m_buffered, {});
    m_bufferedBytes = 0;
    for (const auto &record : buffered) {
        if (record.offset == m_asOf + 1) {
            verdicts.push_back(evaluate(record));
        }
    }
    return verdicts;
}

change_set configuration_state::changesSince(config_version since) const
{
    change_set changes;
    changes.from = since;
    changes.asOf = m_asOf;
    if (since >= version()) {
        changes.from = version();
        return changes;
    }
    const auto base = std::ranges::find(m_chain, since, &accepted_record::version);
    if (since == m_chainBase) {
        changes.chain.assign(m_chain.begin(), m_chain.end());
    } else if (base != m_chain.end()) {
        changes.chain.assign(std::next(base), m_chain.end());
    } else {
        changes.state = encodeRecord(makeStateRecord());
    }
    return changes;
}

state_record configuration_state::makeStateRecord() const
{
    return {version(), m_asOf, {m_current->routes, m_current->pools}};
}

void configuration_state::resetReadiness()
{
    m_logEnd.reset();
    m_ready = false;
}

readiness_reason configuration_state::updateReadiness(const source_status &sources)
{
    if (m_ready) {
        return readiness_reason::Ready;
    }
    if (hasGap()) {
        return readiness_reason::RecordsExpired;
    }
    if (m_logEnd && m_asOf + 1 < *m_logEnd) {
        return readiness_reason::BehindLog;
    }
    if (!m_logEnd && !sources.logFailed) {
        return readiness_reason::NoAnswer;
    }
    if (!m_logEnd && sources.peersPending > 0) {
        return readiness_reason::PeersPending;
    }
    if (version() == 0) {
        return m_logEnd ? readiness_reason::NoConfiguration : readiness_reason::NoAnswer;
    }
    m_ready = true;
    return readiness_reason::Ready;
}

} // namespace sequoiawharf
