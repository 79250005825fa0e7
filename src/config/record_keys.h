#pragma once

namespace sequoiawharf::record_keys
{

// Keys of the JSON records in the log, and the values of kKind.
inline constexpr const char *kKind = "kind";
inline constexpr const char *kPublication = "publication";
inline constexpr const char *kState = "state";
inline constexpr const char *kId = "id";
inline constexpr const char *kBase = "base";
inline constexpr const char *kAuthor = "author";
inline constexpr const char *kNote = "note";
inline constexpr const char *kTables = "tables";
inline constexpr const char *kDelta = "delta";
inline constexpr const char *kVersion = "version";
inline constexpr const char *kAsOf = "as_of";
inline constexpr const char *kRoutes = "routes";
inline constexpr const char *kPools = "pools";
inline constexpr const char *kRoutesSet = "routes_set";
inline constexpr const char *kRoutesRemoved = "routes_removed";
inline constexpr const char *kPoolsSet = "pools_set";
inline constexpr const char *kPoolsRemoved = "pools_removed";
inline constexpr const char *kPoolsPatched = "pools_patched";
inline constexpr const char *kName = "name";
inline constexpr const char *kPath = "path";
inline constexpr const char *kMethods = "methods";
inline constexpr const char *kPool = "pool";
inline constexpr const char *kClass = "class";
inline constexpr const char *kDeadlineMs = "deadline_ms";
inline constexpr const char *kIdempotent = "idempotent";
inline constexpr const char *kMaxBodyBytes = "max_body_bytes";
inline constexpr const char *kHost = "host";
inline constexpr const char *kBeneathOnly = "beneath_only";
inline constexpr const char *kSplit = "split";
inline constexpr const char *kWeight = "weight";
inline constexpr const char *kMaxAttempts = "max_attempts";
inline constexpr const char *kObjectiveMs = "objective_ms";
inline constexpr const char *kProbePath = "probe_path";
inline constexpr const char *kSlots = "slots";
inline constexpr const char *kConnections = "connections";
inline constexpr const char *kLoadPath = "load_path";
inline constexpr const char *kNotRunStatuses = "not_run_statuses";
inline constexpr const char *kEndpoints = "endpoints";
inline constexpr const char *kLeaving = "leaving";
inline constexpr const char *kOrganisations = "organisations";
inline constexpr const char *kOrganisationsSet = "organisations_set";
inline constexpr const char *kOrganisationsRemoved = "organisations_removed";
inline constexpr const char *kKeys = "keys";
inline constexpr const char *kCallsPerSecond = "calls_per_second";
inline constexpr const char *kBurst = "burst";
inline constexpr const char *kHomes = "homes";
inline constexpr const char *kPublic = "public";
inline constexpr const char *kWarmupMs = "warmup_ms";
inline constexpr const char *kColdCallsPerSecond = "cold_calls_per_second";
inline constexpr const char *kSet = "set";
inline constexpr const char *kRemoved = "removed";

} // namespace sequoiawharf::record_keys
