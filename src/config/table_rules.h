#pragma once

#include "sequoiawharf/configuration.h"

#include <vector>

namespace sequoiawharf
{

/// Adds a fault for each rule that the route breaks, alone or together with other rows of the tables. Thread safe.
void checkRoute(const route &rule, const route_table &routes, const pool_table &pools, std::vector<table_fault> &faults);

/// Adds a fault for each rule that the pool breaks. Thread safe.
void checkPool(const pool &entry, std::vector<table_fault> &faults);

/// Adds a fault for each pool of the route, or of its split, that is not in the table. Thread safe.
void checkPoolExists(const route &rule, const pool_table &pools, std::vector<table_fault> &faults);

/// Adds a fault when a table has more rows than allowed. Thread safe.
void checkSizes(const route_table &routes, const pool_table &pools, std::vector<table_fault> &faults);

} // namespace sequoiawharf
