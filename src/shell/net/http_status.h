#pragma once

namespace sequoiawharf
{

inline constexpr unsigned kOk = 200;
inline constexpr unsigned kUnauthorized = 401;
inline constexpr unsigned kNotFound = 404;
inline constexpr unsigned kGone = 410;
inline constexpr unsigned kTooManyRequests = 429;
inline constexpr unsigned kUnavailable = 503;

} // namespace sequoiawharf
