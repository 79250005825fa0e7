#pragma once

#include "sequoiawharf/ids.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace sequoiawharf
{

/// Times at which discovery is read, as parts of the time within which a leaving endpoint must get no new calls.
struct reading_times {
    std::chrono::milliseconds readInterval; ///< Between reads of the service by one instance.
    std::chrono::milliseconds askInterval; ///< Between questions to the instance that reads for the data centre.
    std::chrono::milliseconds maxAnswerAge; ///< An answer that is older is not taken; the instance reads the service itself.

    static reading_times within(std::chrono::milliseconds leavingBound);
};

/// Longest wait for the answer to a question within a data centre; a healthy instance answers in a few milliseconds.
inline constexpr std::chrono::milliseconds kAskTimeout {300};

/// Data centres of up to so many instances are small: there the reads of all cost less than the delay of asking one another.
inline constexpr std::size_t kSmallDataCentre = 8;

/// What an instance has to do for the knowledge of its data centre.
struct reading_part {
    bool isReader = true; ///< Reads the service, for itself and for those who ask.
    std::vector<instance_id> readers; ///< Whom else to ask, in this order.

    friend bool operator==(const reading_part &, const reading_part &) = default;
};

/// Returns the part of an instance among the others of its data centre that it knows of. Whoever sees the same ones chooses the same readers, and
/// nothing rests on it: who finds its reader ignorant reads itself. isStarting: the instance knows no endpoints yet. Then several read in a large
/// data centre, since some of those that are known may be gone for good. Thread safe.
reading_part chooseReadingRole(const instance_id &self, std::vector<instance_id> others, bool isStarting);

/// Tells whether an instance may hear of configurations from the one that reads for its data centre, in place of following the service itself.
/// When that one loses the service right before a change, the change must still be in force within the bound. Thread safe.
bool mayUseReaderForConfiguration(const reading_times &times, std::chrono::milliseconds configurationBound, std::size_t others);

} // namespace sequoiawharf
