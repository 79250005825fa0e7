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

/// One record of the log.
struct log_record {
    log_offset offset = 0;
    wall_time time; ///< When the platform's service appended it.
    std::string data;
};

/// The result of one read of the log: contiguous records, and the range of offsets that the log holds.
struct log_page {
    log_offset first = 0; ///< Oldest offset that the log still holds; equal to next when the log is empty.
    log_offset next = 0; ///< Offset of the next record to be appended.
    wall_time oldest; ///< Time of the oldest record that the log holds.
    wall_time now; ///< Current time by the service's clock.
    std::vector<log_record> records; ///< Ordered by offset.
};

/// The result of evaluating one record.
enum class verdict {
    Accepted, ///< The publication is in force from this offset on.
    Malformed, ///< The text cannot be decoded.
    InvalidTables, ///< The resulting tables would break a rule.
    WrongBase, ///< The base is not the version in force, since another publication was accepted first.
    StateAdopted, ///< The tables of a state record replaced older ones.
    StateKnown, ///< A state record holds no newer version.
    StateInvalid, ///< A state record contradicts the log or the tables in force, or its tables break a rule.
};

/// Returns the verdict's name in lower case with hyphens. Thread safe.
std::string_view toString(verdict value);

/// The verdict on one record, as shown in the operators' history.
struct record_verdict {
    log_offset offset = 0;
    wall_time time;
    verdict result = verdict::Malformed;
    std::string detail; ///< Why the record was refused; empty otherwise.
    publication_id id; ///< Empty, as author and note are, when the record is not a publication.
    config_version base = 0; ///< Version that the change applies to; for a state record, its own version.
    std::string author;
    std::string note;
};

/// An accepted publication with its offset, as exchanged between instances.
struct accepted_record {
    config_version version = 0; ///< Offset of the record.
    std::string data; ///< Text of the record.
};

/// The update that an instance sends to one with an older version: the accepted records in between, or the whole state when the sender no longer
/// holds them.
struct change_set {
    config_version from = 0; ///< Base of the chain's first record; used only when state is empty.
    log_offset asOf = 0; ///< Last offset that the sender had evaluated.
    std::vector<accepted_record> chain; ///< Ordered by version; the base of each record is the version before it.
    std::string state; ///< Text of a state record; empty: the chain applies.
};

/// Why an instance may not serve callers yet.
enum class readiness_reason {
    Ready,
    NoAnswer, ///< Neither the log nor another instance has given a configuration yet.
    BehindLog, ///< The log holds records that have not been read yet.
    RecordsExpired, ///< Records expired unread, and neither a state record nor another instance has filled the gap.
    PeersPending, ///< The log does not answer, and some instances may still answer.
    NoConfiguration, ///< The log was read to its end and holds no configuration.
};

/// Returns the reason as a short sentence for operators. Thread safe.
std::string_view toString(readiness_reason reason);

/// The state of the sources of configurations since the last resetReadiness().
struct source_status {
    bool logFailed = false; ///< A read of the log failed or timed out.
    unsigned peersPending = 0; ///< Number of instances that may still answer a request for their configuration.
};

/// The offset from which a new reader can rebuild the configuration by reading the log.
struct recovery_point {
    log_offset offset = 1; ///< First offset that the log must still hold. 1: the whole log is replayed on the empty configuration.
    wall_time time; ///< When the state record was appended; the epoch for offset 1.
    std::size_t bytes = 0; ///< Size of the state record.
};

/// The configuration in force at one reader of the log. A publication is accepted if it is well formed, its base is the version in force, and the
/// resulting tables are valid. All readers go through the same sequence of versions, in whatever order records and updates arrive, though a reader
/// may skip versions; the version never decreases. Uses no socket or clock. Not thread safe; the configurations that it returns are immutable.
class configuration_state
{
public:
    configuration_state();

    /// Returns the configuration in force. Never null.
    const std::shared_ptr<const configuration> &current() const
    {
        return m_current;
    }
    /// Returns the version in force; 0 when there is none.
    config_version version() const
    {
        return m_current->version;
    }
    /// Returns the last offset up to which every record has been evaluated, here or by the instance that sent the configuration.
    log_offset asOf() const
    {
        return m_asOf;
    }
    /// Returns the offset from which to read the log next.
    log_offset nextToRead() const;

    /// Returns whether records expired before they were read. A state record or an update from another instance closes the gap.
    bool hasGap() const
    {
        return m_gapEnd.has_value();
    }

    /// Evaluates the records of a page of the log and returns a verdict for each record evaluated by this call. Pages may repeat, overlap or arrive
    /// late: records before nextToRead() are skipped, and records after a missing one are left for a later read. The record at offset 0 is never
    /// accepted, since version 0 is the empty configuration.
    std::vector<record_verdict> applyLog(const log_page &page);

    /// Applies an update from another instance. Returns whether a newer configuration came into force. An update that is older, repeated, malformed
    /// or out of sequence leaves the configuration unchanged.
    bool applyPeer(const change_set &changes);

    /// Returns the update for an instance at the given version; both chain and state are empty when it needs none.
    change_set changesSince(config_version version) const;

    /// Returns a state record of the configuration in force. Precondition: hasGap() is false if the record is to be appended to the log.
    state_record makeStateRecord() const;

    /// Makes the instance not ready until its sources have answered again. Call it after a pause of the process.
    void resetReadiness();

    /// Returns whether callers may be served, or why not. The instance becomes ready once it has a configuration without a gap and has read the log to the
    /// end that the log's first answer since the last resetReadiness() stated or, if the log does not answer, once no more instances are expected to
    /// answer. It stays ready until resetReadiness().
    readiness_reason updateReadiness(const source_status &sources);

    /// Returns the newest offset in the log from which a new reader can rebuild the configuration.
    const recovery_point &recoveryPoint() const
    {
        return m_recoveryPoint;
    }

private:
    std::vector<record_verdict> process(const log_record &record);
    record_verdict evaluate(const log_record &record);
    void evaluatePublication(const publication &change, const std::string &data, record_verdict &result);
    void evaluateState(const state_record &state, const log_record &record, record_verdict &result);
    bool adopt(const state_record &state);
    bool applyAccepted(const accepted_record &record);
    void applyChain(const change_set &changes);
    void activate(std::shared_ptr<const configuration> next, const std::string &data);
    void trimChain();
    void advanceTo(log_offset asOf);
    void openGap(log_offset firstAvailable);
    void bufferRecord(const log_record &record);
    std::vector<record_verdict> closeGapIfFilled();

    std::shared_ptr<const configuration> m_current;
    log_offset m_asOf = 0;
    std::optional<log_offset> m_gapEnd; ///< First offset after the gap; unset: there is no gap.
    std::deque<log_record> m_buffered; ///< Records after the gap, which cannot be evaluated yet.
    std::size_t m_bufferedBytes = 0;
    std::deque<accepted_record> m_chain; ///< The newest accepted records; the base of each is the version before it.
    config_version m_chainBase = 0; ///< Version before the first record of the chain.
    std::size_t m_chainBytes = 0;
    std::optional<log_offset> m_logEnd; ///< End of the log in its first answer after the last resetReadiness().
    bool m_ready = false;
    recovery_point m_recoveryPoint;
};

} // namespace sequoiawharf
