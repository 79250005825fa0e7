#pragma once

#include "sequoiawharf/configuration_state.h"
#include "sequoiawharf/time.h"

#include <tl/expected.hpp>

#include <chrono>
#include <string>

namespace sequoiawharf
{

/// Errors of the log.
enum class log_access_error {
    Unavailable, ///< The log did not accept the request, which had no effect.
    AnswerLost, ///< The answer was lost, so that an append may have taken effect.
};

/// Blocking access to the log and the clock, which tests replace. Not thread safe.
class publication_log
{
public:
    virtual ~publication_log() = default;

    /// Appends a record and returns its offset.
    virtual tl::expected<log_offset, log_access_error> append(const std::string &data) = 0;

    /// Reads up to max records from the offset on. Waits up to the given time for a record if there is none yet.
    virtual tl::expected<log_page, log_access_error> read(log_offset from, unsigned max, std::chrono::milliseconds wait) = 0;

    /// Returns the current time.
    virtual mono_time now() = 0;

    /// Blocks for the given time.
    virtual void pause(std::chrono::milliseconds time) = 0;
};

} // namespace sequoiawharf
