#pragma once

#include "sequoiawharf/ids.h"
#include "sequoiawharf/organisation_table.h"
#include "sequoiawharf/pool_table.h"
#include "sequoiawharf/route_table.h"

#include <string>
#include <vector>

namespace sequoiawharf
{

/// Limits on callers that are distributed with the tables. 0: the limit of the instance's settings applies.
struct caller_bounds {
    std::uint32_t headerBytes = 0;
    std::uint64_t bodyBytes = 0;
    std::chrono::milliseconds idleTimeout {0};

    friend bool operator==(const caller_bounds &, const caller_bounds &) = default;
};

/// The tables of one version. Immutable and shared between threads.
struct configuration {
    config_version version = 0;
    route_table routes;
    pool_table pools;
    caller_bounds callers {};
    organisation_table organisations {}; ///< Empty: calls need no key.

    friend bool operator==(const configuration &, const configuration &) = default;
};

/// One fault in the tables or in a settings file.
struct table_fault {
    std::string message; ///< Names the row or the mapping that is faulty.
    int line = 0; ///< Line in the source file, counted from 1; 0: not read from a file.

    friend bool operator==(const table_fault &, const table_fault &) = default;
};

/// Validates the organisations: names and keys must be unique, and keys must not be empty. Returns one fault for each broken rule. Thread safe.
std::vector<table_fault> validate(const organisation_table &organisations);

/// Validates both tables together. Returns one fault for each broken rule, such as an unknown pool, a duplicate name or a value out of range;
/// empty when the tables are valid. Thread safe.
std::vector<table_fault> validate(const route_table &routes, const pool_table &pools);

} // namespace sequoiawharf
