#pragma once

namespace sequoiawharf
{

inline constexpr unsigned kOk = 200;
inline constexpr unsigned kBadRequest = 400;
inline constexpr unsigned kUnauthorized = 401;
inline constexpr unsigned kNotFound = 404;
inline constexpr unsigned kGone = 410;
inline constexpr unsigned kTooManyRequests = 429;
inline constexpr unsigned kUnavailable = 503;

inline constexpr unsigned kMinStatus = 100;
inline constexpr unsigned kMaxStatus = 599;

/// Returns whether HTTP defines a class for the status. Parsers accept any three digits.
constexpr bool isValidStatus(unsigned status)
{
    return status >= kMinStatus && status <= kMaxStatus;
}

} // namespace sequoiawharf
