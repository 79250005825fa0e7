#pragma once

#include "sequoiawharf/configuration_record.h"
#include "sequoiawharf/configuration_state.h"
#include "src/config/log_reader.h"
#include "src/config/publication_log.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sequoiawharf
{

/// An operator's request to put tables in force.
struct publish_request {
    whole_tables tables; ///< Precondition: valid.
    publication_id id; ///< A new id for each new attempt; the id of an earlier attempt to learn its outcome.
    std::string author;
    std::string note;
    std::chrono::milliseconds timeout {30'000}; ///< Longest time to reach an outcome.
};

/// The outcome of a publication.
enum class publish_outcome {
    Accepted, ///< Read back from the log as the version in force.
    Unchanged, ///< The tables were in force already; nothing was appended.
    Refused, ///< The publication can never come into force.
    NotSent, ///< Nothing was appended.
    Unknown, ///< The record may be in the log, which could not be read to find out.
};

/// Returns the outcome's name in lower case with hyphens. Thread safe.
std::string_view toString(publish_outcome outcome);

/// The outcome of a publication with its details for the operator.
struct publish_report {
    publish_outcome outcome = publish_outcome::NotSent;
    publication_id id;
    config_version base = 0; ///< Version that the change applies to.
    config_version version = 0; ///< Newest version known to be in force; once accepted, the publication's own.
    std::vector<std::string> changes; ///< Rows that the publication changes.
    std::size_t recordBytes = 0; ///< Size of the record that was or would be appended.
    std::string problem; ///< Why the publication was not accepted.
    std::optional<record_verdict> winner; ///< The publication that was accepted in its place, when refused because of that.
    std::vector<std::string> winnerChanges; ///< Rows that changed since the base version.
};

/// Publishes tables: reads the version in force, appends the change and reads it back. After a lost answer the log is searched for the publication's
/// id. The record is appended again only after the log was read to its end without finding it, and then with the same id and base, so that at most
/// one copy can be accepted. Not thread safe.
class publisher
{
public:
    /// Precondition: `log` outlives the object.
    explicit publisher(publication_log &log);

    /// Publishes the tables unless they are in force already, within the request's timeout. If the log holds a record with the request's id, nothing is
    /// appended and the outcome of that record is returned.
    publish_report publish(const publish_request &request);

    /// Restores a configuration after the state was lost, that is, no instance has it and the log holds no state record. Appends a state record of the
    /// tables with a version newer than any before. Refused when the version in force can be read from the log. May be repeated. The request's id,
    /// author and note are not used.
    publish_report rebuild(const publish_request &request);

private:
    enum class search_result { Found, Absent, Unreadable };

    bool prepareRecord(const publish_request &request, publish_report &report);
    void appendUntilSettled(const publish_request &request, mono_time deadline, publish_report &report);
    search_result search(const publication_id &id, mono_time settled, mono_time deadline);
    void fillFromVerdict(const record_verdict &verdict, publish_report &report) const;

    publication_log &m_log;
    log_reader m_reader;
    std::shared_ptr<const configuration> m_base;
    std::string m_record;
};

} // namespace sequoiawharf
