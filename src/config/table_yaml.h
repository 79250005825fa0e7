#pragma once

#include "sequoiawharf/configuration_record.h"

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace sequoiawharf
{

/// The text of one of the operators' table files.
struct table_file {
    std::string name; ///< File name for messages.
    std::string text;
};

/// A fault in one of the operators' table files.
struct file_fault {
    std::string file;
    table_fault fault;

    friend bool operator==(const file_fault &, const file_fault &) = default;
};

/// Returns the fault as "FILE:LINE: MESSAGE". Thread safe.
std::string toString(const file_fault &fault);

/// Parses the tables from YAML and validates them. The error lists all faults of both files, ordered by file and line. Thread safe.
tl::expected<whole_tables, std::vector<file_fault>> parseTables(const table_file &routes, const table_file &pools);

/// Returns the table of routes as YAML that parseTables() reads. Thread safe.
std::string formatRoutes(const route_table &routes);

/// Returns the table of pools as YAML that parseTables() reads. Thread safe.
std::string formatPools(const pool_table &pools);

} // namespace sequoiawharf
