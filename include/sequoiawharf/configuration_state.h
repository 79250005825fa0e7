#pragma once

#include "sequoiawharf/configuration.h"
#include "sequoiawharf/configuration_record.h"
#include "sequoiawharf/ids.h"
#include "sequoiawharf/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiawharf
{

/// One record as the log holds it.
struct log_record {
    log_offset offset = 0;
    wall_time time; ///< When the platform's service took it.
    std::string data;
};

/// One answer of the log: contiguous records, and the ends of what it holds.
struct log_page {
    log_offset first = 0; ///< Oldest offset that the log still holds; next when it holds none.
    log_offset next = 0; ///< Offset that the next appended record will get.
    wall_time oldest; ///< Time of the oldest record that the log holds.
    wall_time now; ///< The service's clock.
    std::vector<log_record> records; ///< Ordered by offset.
};

/// What a reader made of one record.
enum class verdict {
    Accepted, ///< The change is in force from here.
    Malformed, ///< The text cannot be read.
    InvalidTables, ///< The tables would break a rule.
    WrongBase, ///< Made from a version that was not in force: another change won.
    StateAdopted, ///< A state record gave the tables in force.
    StateKnown, ///< A state record said nothing new.
    StateInvalid, ///< A state record contradicts itself or its tables break a rule.
};

/// Returns the verdict's name in lower case with hyphens. Thread safe.
std::string_view toString(verdict value);

/// The verdict about one record, for the operators' history.
struct record_verdict {
    log_offset offset = 0;
    wall_time time;
    verdict result = verdict::Malformed;
    std::string detail; ///< Why, when it was refused.
    publication_id id; ///< The fields below are empty when the record is no publication.
    config_version base = 0;
    std::string author;
    std::string note;
};

/// An accepted record with its place, as instances pass it to each other.
struct accepted_record {
    config_version version = 0; ///< Its offset.
    std::string data; ///< The record's own bytes.
};

/// What an instance passes to one that has an older version: the records in between, or the whole state when it no longer holds them.
struct change_set {
    config_version from = 0; ///< Version that the chain begins at; meaningful when state is empty.
    log_offset asOf = 0; ///< Last offset that the sender had judged.
    std::vector<accepted_record> chain; ///< In order; each one's base is the version before it.
    std::string state; ///< Text of a state record; empty: use the chain.
};

/// Why an instance may not yet take callers.
enum class readiness_reason {
    Ready,
    NoAnswer, ///< Neither the log nor another instance has answered yet.
    BehindLog, ///< The log holds records that were not read yet.
    RecordsExpired, ///< Records were missed and neither a state record nor an instance has filled them in.
    PeersPending, ///< The log is down, and some instances have not answered yet.
    NoConfiguration, ///< Nothing was ever published.
};

/// Returns the reason as a short sentence for operators. Thread safe.
std::string_view toString(readiness_reason reason);

/// What asking around gave since the last resetReadiness().
struct source_status {
    bool logFailed = false; ///< The log was asked and gave no answer in time.
    unsigned peersPending = 0; ///< Instances that were asked and may still answer.
};

/// A place in the log from which a new reader can learn the state.
struct recovery_point {
    log_offset offset = 1; ///< The log must still hold it. 1: all publications follow on the empty configuration.
    wall_time time; ///< When the state record was taken; zero for offset 1.
    std::size_t bytes = 0; ///< Size of the state record.
};

/// The configuration in force at one reader of the log, and the rule that makes it: a publication is accepted if it is well formed, valid as a
/// whole and made from the version in force. Every reader gets the same sequence of versions, whatever order its inputs come in; the version
/// never decreases. Owns no socket or clock. Not thread safe; the configurations that it hands out are immutable.
class configuration_state
{
public:
    configuration_state();

    /// Returns the configuration in force. Never null.
    const std::shared_ptr<const configuration> &current() const
    {
        return m_current;
    }
    config_version version() const
    {
        return m_current->version;
    }
    /// Returns the last offset up to which every record has been judged, here or by the instance that told.
    log_offset asOf() const
    {
        return m_asOf;
    }
    /// Returns the offset from which the log must be read next.
    log_offset nextToRead() const;

    /// Tells whether records expired before they were read; a state record or another instance fills the gap.
    bool hasGap() const
    {
        return m_gapEnd.has_value();
    }

    /// Judges the records of a page of the log. Pages may come twice, overlap, or come late: what does not follow on is left for the next
    /// read. The record at offset 0 is never accepted, since version 0 is the empty configuration. Returns a verdict for each record judged now.
    std::vector<record_verdict> applyLog(const log_page &page);

    /// Takes in what another instance passed on. Returns true when a newer configuration came in force. Anything older, doubled, broken or out of
    /// place changes nothing.
    bool applyPeer(const change_set &changes);

    /// Returns what an instance at the given version lacks. An empty chain and state: nothing.
    change_set changesSince(config_version version) const;

    /// Returns a record of the state in force, for the log. Precondition: no gap.
    state_record makeStateRecord() const;

    /// Forgets how far the log is known, so that the instance is not ready until it has asked again. Call it after a pause.
    void resetReadiness();

    /// Tells whether callers may be served, by what was learned since the last resetReadiness(): the whole log up to its end then, or, with the
    /// log down, all that the reachable instances have. Once ready it stays ready until resetReadiness().
    readiness_reason updateReadiness(const source_status &sources);

    /// Returns the newest place in the log from which a new reader can learn the state.
    const recovery_point &recoveryPoint() const
    {
        return m_anchor;
    }

private:
    std::vector<record_verdict> take(const log_record &record);
    record_verdict judge(const log_record &record);
    void judgePublication(const publication &change, const std::string &data, record_verdict &result);
    void judgeState(const state_record &state, const log_record &record, record_verdict &result);
    bool adopt(const state_record &state);
    bool applyAccepted(const accepted_record &record);
    void applyChain(const change_set &changes);
    void takeInForce(std::shared_ptr<const configuration> next, const std::string &data);
    void trimChain();
    void advanceTo(log_offset asOf);
    void openGap(log_offset firstHeld);
    void buffer(const log_record &record);
    std::vector<record_verdict> closeGapIfFilled();

    std::shared_ptr<const configuration> m_current;
    log_offset m_asOf = 0;
    std::optional<log_offset> m_gapEnd; ///< First offset that is read continuously again after a gap.
    std::deque<log_record> m_buffered; ///< Records after a gap, which cannot be judged yet.
    std::size_t m_bufferedBytes = 0;
    std::deque<accepted_record> m_chain; ///< The newest accepted records, each made from the one before.
    config_version m_chainBase = 0; ///< Version before the first record of the chain.
    std::size_t m_chainBytes = 0;
    std::optional<log_offset> m_knownNext; ///< End of the log when it first answered after the last resetReadiness().
    bool m_ready = false;
    recovery_point m_anchor;
};

} // namespace sequoiawharf
