#include "src/config/publisher.h"

#include <algorithm>
#include <fmt/format.h>

namespace sequoiawharf
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds kPublishRetryPause {300};
constexpr milliseconds kReadWait {500};
constexpr milliseconds kSettleTime {2000}; // an append whose answer was lost may still take effect within this time

std::string encodeChange(const publish_request &request, const configuration &base, const table_delta &delta)
{
    publication record {request.id, base.version, delta, request.author, request.note};
    auto asDelta = encodeRecord(record);
    record.change = request.tables;
    auto asWhole = encodeRecord(record);
    return asDelta.size() < asWhole.size() ? asDelta : asWhole;
}

// Returns why readers would refuse the record, or nothing if they would accept it.
std::optional<std::string> faultOf(const std::string &record, const configuration &base)
{
    const auto decoded = decodeRecord(record);
    if (!decoded) {
        return decoded.error().detail;
    }
    const auto next = applyChange(base, std::get<publication>(*decoded).change, base.version + 1);
    return next ? std::nullopt : std::optional(next.error().front().message);
}

} // namespace

std::string_view toString(publish_outcome outcome)
{
    switch (outcome) {
    case publish_outcome::Accepted:
        return "accepted";
    case publish_outcome::Unchanged:
        return "unchanged";
    case publish_outcome::Refused:
        return "refused";
    case publish_outcome::NotSent:
        return "not-sent";
    case publish_outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

publisher::publisher(publication_log &log)
    : m_log(log)
    , m_reader(log)
{
}

publish_report publisher::publish(const publish_request &request)
{
    publish_report report;
    report.id = request.id;
    const auto deadline = m_log.now() + request.timeout;
    if (!m_reader.catchUp(deadline)) {
        report.problem = "the log cannot be read; nothing was appended";
        return report;
    }
    if (const auto *const verdict = m_reader.find(request.id)) {
        fillFromVerdict(*verdict, report);
        return report;
    }
    if (prepareRecord(request, report)) {
        appendUntilSettled(request, deadline, report);
    }
    return report;
}

publish_report publisher::rebuild(const publish_request &request)
{
    publish_report report;
    report.id = request.id;
    const auto deadline = m_log.now() + request.timeout;
    bool mayBeInLog = false;
    while (m_log.now() < deadline && m_reader.catchUp(deadline)) {
        const auto &inForce = *m_reader.state().current();
        report.version = inForce.version;
        if (!m_reader.state().hasGap()) {
            const bool isRebuilt = mayBeInLog && inForce.routes == request.tables.routes && inForce.pools == request.tables.pools;
            report.outcome = isRebuilt ? publish_outcome::Accepted : publish_outcome::Refused;
            report.problem = isRebuilt ? "" : "the version in force can be read from the log; publish without rebuilding";
            return report;
        }
        const auto last = m_reader.state().nextToRead() - 1;
        const auto record = encodeRecord(state_record {last, last, request.tables});
        report.recordBytes = record.size();
        const auto appended = m_log.append(record);
        mayBeInLog = mayBeInLog || appended || appended.error() == log_access_error::AnswerLost;
        m_log.pause(kPublishRetryPause);
    }
    report.outcome = mayBeInLog ? publish_outcome::Unknown : publish_outcome::NotSent;
    report.problem = "the log cannot be read or accepts no records";
    return report;
}

// Encodes the record to append. Returns false, with the reason in the report, when there is nothing to append.
bool publisher::prepareRecord(const publish_request &request, publish_report &report)
{
    m_base = m_reader.state().current();
    report.base = m_base->version;
    report.version = m_base->version;
    if (m_reader.state().hasGap()) {
        report.problem = "the log holds no state record from which the version in force can be read";
        return false;
    }
    const auto delta = makeDelta(*m_base, request.tables);
    if (delta.empty()) {
        report.outcome = publish_outcome::Unchanged;
        return false;
    }
    m_record = encodeChange(request, *m_base, delta);
    report.changes = describe(delta, *m_base);
    report.recordBytes = m_record.size();
    if (const auto fault = faultOf(m_record, *m_base)) {
        report.problem = fmt::format("readers would refuse the record: {}", *fault);
        return false;
    }
    return true;
}

void publisher::appendUntilSettled(const publish_request &request, mono_time deadline, publish_report &report)
{
    bool mayBeInLog = false;
    while (m_log.now() < deadline) {
        const auto appended = m_log.append(m_record);
        // Readers ignore the record at offset 0, since version 0 is the empty configuration.
        const bool isIgnored = appended && *appended == 0;
        if (isIgnored) {
            m_log.pause(kPublishRetryPause);
            continue;
        }
        if (!appended && appended.error() == log_access_error::Unavailable && !mayBeInLog) {
            m_log.pause(kPublishRetryPause);
            continue;
        }
        mayBeInLog = true;
        const auto settled = appended ? deadline : m_log.now() + kSettleTime;
        const auto found = search(request.id, settled, deadline);
        if (found == search_result::Found) {
            return fillFromVerdict(*m_reader.find(request.id), report);
        }
        if (found == search_result::Unreadable) {
            break;
        }
    }
    report.outcome = mayBeInLog ? publish_outcome::Unknown : publish_outcome::NotSent;
    report.problem = mayBeInLog ? "the record may be in the log, which could not be read to find out" : "the log accepts no records; nothing was appended";
}

// Reads the log until it finds the publication. Absent: the log was read to its end at or after the time `settled` without finding it.
publisher::search_result publisher::search(const publication_id &id, mono_time settled, mono_time deadline)
{
    while (m_log.now() < deadline) {
        const auto atEnd = m_reader.readOnce(kReadWait);
        if (m_reader.find(id) != nullptr) {
            return search_result::Found;
        }
        if (m_reader.state().hasGap()) {
            return search_result::Unreadable;
        }
        if (!atEnd) {
            m_log.pause(kPublishRetryPause);
        } else if (*atEnd && m_log.now() >= settled) {
            return search_result::Absent;
        }
    }
    return search_result::Unreadable;
}

void publisher::fillFromVerdict(const record_verdict &verdict, publish_report &report) const
{
    const auto &inForce = *m_reader.state().current();
    report.base = verdict.base;
    report.version = inForce.version;
    if (verdict.result == verdict::Accepted) {
        report.outcome = publish_outcome::Accepted;
        report.version = verdict.offset;
        return;
    }
    report.outcome = publish_outcome::Refused;
    report.problem = verdict.detail;
    const auto winner = std::ranges::find_if(m_reader.verdicts(), [&](const record_verdict &other) {
        return other.result == verdict::Accepted && other.base == verdict.base;
    });
    if (winner != m_reader.verdicts().end()) {
        report.winner = *winner;
    }
    if (m_base) {
        report.winnerChanges = describe(makeDelta(*m_base, {inForce.routes, inForce.pools, inForce.organisations}), *m_base);
    }
}

} // namespace sequoiawharf
