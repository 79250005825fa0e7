#pragma once

#include "sequoiawharf/configuration.h"
#include "sequoiawharf/ids.h"
#include "sequoiawharf/time.h"

#include <tl/expected.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace sequoiawharf
{

/// A change of the endpoints of one pool. The pool's other fields are unchanged.
struct pool_patch {
    pool_name pool;
    std::vector<endpoint> set; ///< Added, or replacing the endpoint of the same address.
    std::vector<host_port> removed;

    friend bool operator==(const pool_patch &, const pool_patch &) = default;
};

/// A change of individual rows. Removals are applied before additions.
struct table_delta {
    std::vector<route> routesSet; ///< Added, or replacing the route of the same name.
    std::vector<route_name> routesRemoved;
    std::vector<pool> poolsSet; ///< Added, or replacing the pool of the same name.
    std::vector<pool_name> poolsRemoved;
    std::vector<pool_patch> poolsPatched;
    std::vector<organisation> organisationsSet {}; ///< Added, or replacing the organisation of the same name.
    std::vector<organisation_name> organisationsRemoved {};

    /// Returns whether the delta changes nothing. Thread safe.
    bool empty() const;

    friend bool operator==(const table_delta &, const table_delta &) = default;
};

/// All tables in full; as a change, they replace the tables in force.
struct whole_tables {
    route_table routes;
    pool_table pools;
    organisation_table organisations {};

    friend bool operator==(const whole_tables &, const whole_tables &) = default;
};

/// A change published by an operator, stored as one record of the log.
struct publication {
    publication_id id; ///< Unique to this attempt to publish.
    config_version base = 0; ///< Version that the change applies to.
    std::variant<whole_tables, table_delta> change;
    std::string author;
    std::string note;

    friend bool operator==(const publication &, const publication &) = default;
};

/// A snapshot of the tables in force. It is appended to the log before the records that the tables were built from expire.
struct state_record {
    config_version version = 0; ///< Version in force after all records up to asOf.
    log_offset asOf = 0; ///< Last offset that the writer had evaluated.
    whole_tables tables;

    friend bool operator==(const state_record &, const state_record &) = default;
};

using configuration_record = std::variant<publication, state_record>;

/// Why a record cannot be decoded.
enum class record_error { TooLarge, NotJson, UnknownKind, BadField };

/// An error in a record's text.
struct record_fault {
    record_error error = record_error::NotJson;
    std::string detail; ///< For operators.
};

/// Longest record that decodeRecord() accepts, in bytes.
inline constexpr std::size_t kMaxRecordBytes = 16U << 20U;

/// Returns the record as JSON text. Thread safe.
std::string encodeRecord(const configuration_record &record);

/// Decodes a record from untrusted text. Does not validate the tables. Every fault of the text is returned as an error; none throws. Thread safe.
tl::expected<configuration_record, record_fault> decodeRecord(std::string_view text);

/// Returns the configuration that results from applying the change to `from`. The error lists every rule that the result breaks. A delta shares
/// unchanged rows with `from`, and only the rows affected by it are validated. Precondition: `from` is valid. Thread safe.
tl::expected<std::shared_ptr<const configuration>, std::vector<table_fault>>
applyChange(const configuration &from, const std::variant<whole_tables, table_delta> &change, config_version version);

/// Returns the configuration that results from applying a delta between two valid configurations. Unlike applyChange(), it does not validate the rows
/// of the result; the error lists changes that do not fit `from`. Thread safe.
tl::expected<configuration, std::vector<table_fault>> applyTrustedDelta(const configuration &from, const table_delta &delta, config_version version);

/// Returns the delta that turns the tables of `from` into the given tables. A pool of which only some endpoints differ is patched. Thread safe.
table_delta makeDelta(const configuration &from, const whole_tables &to);

/// Returns one line of text for each row that the delta changes, such as "pool quotes: endpoint 127.0.0.1:9000 added". Thread safe.
std::vector<std::string> describe(const table_delta &delta, const configuration &from);

} // namespace sequoiawharf
