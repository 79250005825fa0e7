#pragma once

#include "sequoiawharf/ids.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace sequoiawharf
{

/// Intervals at which discovery is read, derived from the time within which a leaving endpoint must stop getting new calls.
struct reading_times {
    std::chrono::milliseconds readInterval; ///< Between two reads of the discovery service by one instance.
    std::chrono::milliseconds askInterval; ///< Between two queries to the instance that reads for the data centre.
    std::chrono::milliseconds maxAnswerAge; ///< An older answer is rejected, and the instance reads the service itself.

    /// Returns intervals with which a change is known to all instances within the bound. Thread safe.
    static reading_times within(std::chrono::milliseconds leavingBound);
};

/// Times of a read of the service that may wait for news.
struct poll_times {
    std::chrono::milliseconds wait; ///< Time after which the service answers although there is no news.
    std::chrono::milliseconds answerTimeout; ///< Time beyond the wait after which a read without the first part of an answer counts as lost.

    /// Returns times with which the instance that reads for its data centre notices within the bound that its connection has fallen silent, early enough for
    /// the others to get a configuration from it within the bound. Thread safe.
    static poll_times within(std::chrono::milliseconds configurationBound);

    /// Returns times with which the answers to the reads of one instance prove to all instances of its data centre that their configuration is recent
    /// enough for keyed calls. Thread safe.
    static poll_times withinRevocation(std::chrono::milliseconds revocationBound);
};

/// Timeout of a query to another instance of the data centre. A healthy instance answers in a few milliseconds.
inline constexpr std::chrono::milliseconds kAskTimeout {300};

/// Data centres of up to this number of instances are small: there, reading the service by all instances costs less than the delay of asking one
/// another.
inline constexpr std::size_t kSmallDataCentre = 8;

/// Role of an instance in reading discovery for its data centre.
struct reading_role {
    bool isReader = true; ///< Reads the service for itself and for instances that ask.
    std::vector<instance_id> readers; ///< Other instances to ask, in this order.

    friend bool operator==(const reading_role &, const reading_role &) = default;
};

/// Returns the role of an instance among the known others of its data centre. Instances that know the same others choose the same readers.
/// Correctness doesn't depend on this agreement: an instance whose reader has no recent answer reads the discovery service itself.
/// isStarting: the instance knows no endpoints yet. In that case all instances of a small data centre read the service, and two of a large one,
/// since a known instance may be gone for good. Thread safe.
reading_role chooseReadingRole(const instance_id &self, std::vector<instance_id> others, bool isStarting);

/// Returns whether an instance that starts reads the service at once, before it knows the other instances of its data centre. About one instance in
/// sixteen does, and chooseReadingRole() names these first, so that a large data centre knows its endpoints one list read sooner. Thread safe.
bool readsAtOnce(const instance_id &self);

/// Returns whether an instance may get configurations from the instance that reads for its data centre instead of following the service itself:
/// the data centre is large, and a change is in force within the bound even if the reader loses the service or its connection falls silent right before
/// it. others: known other instances of the data centre. Thread safe.
bool mayUseReaderForConfiguration(const reading_times &times, std::chrono::milliseconds configurationBound, std::size_t others);

} // namespace sequoiawharf
