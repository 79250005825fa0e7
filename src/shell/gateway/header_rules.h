#pragma once

#include "sequoiawharf/endpoint_availability.h"
#include "src/shell/call_stream.h"

#include <boost/beast/http/fields.hpp>

#include <chrono>
#include <optional>
#include <string_view>

namespace sequoiawharf
{

class call_dialect;

// Header fields of the project's own dialect.
inline constexpr std::string_view kCallerHeader = "Sequoiawharf-Caller";
inline constexpr std::string_view kDeadlineHeader = "Sequoiawharf-Deadline-Ms";
inline constexpr std::string_view kDepthHeader = "Sequoiawharf-Depth";
inline constexpr std::string_view kCallHeader = "Sequoiawharf-Call";
inline constexpr std::string_view kEndingHeader = "Sequoiawharf-Ending";
inline constexpr std::string_view kReasonHeader = "Sequoiawharf-Reason";
inline constexpr std::string_view kRetryHeader = "Sequoiawharf-Retry";

/// Returns why a message's framing is invalid, or an empty text if it is valid. Invalid are more than one length, a length that is not a number, and a
/// transfer coding other than a single "chunked" of HTTP/1.1. version: 10 or 11. Thread safe.
std::string_view framingFault(const boost::beast::http::fields &fields, unsigned version);

/// Returns why the Host of a request is invalid, or an empty text if it is valid. version: 10 or 11. Thread safe.
std::string_view hostFault(const boost::beast::http::fields &fields, unsigned version);

/// Returns the end-to-end fields: all but hop-by-hop fields, fields named by Connection, framing fields and the dialect's own fields. Thread safe.
header_list endToEnd(const boost::beast::http::fields &fields, const call_dialect &dialect);

/// Parses a text that is a decimal number of at most 18 digits; returns nothing for any other text. Thread safe.
std::optional<std::uint64_t> parseDecimal(std::string_view text);

/// Parses a number of seconds such as "2" or "0.25", and returns at most kMaxRest. Returns nothing for any other text, a date among them. Thread safe.
std::optional<std::chrono::milliseconds> parseSeconds(std::string_view text);

/// Returns the rest that the Retry-After fields of an answer ask for, if its status turns a request away for now (429, 503). Of several fields the longest
/// time counts, and those that are no number of seconds are ignored. Thread safe.
endpoint_availability readRest(unsigned status, const boost::beast::http::fields &fields);

/// Returns the token of an Authorization field with the Bearer scheme (RFC 6750), or an empty text. Thread safe.
std::string bearerToken(std::string_view authorization);

/// Parses a text of exactly 16 hexadecimal digits; returns nothing for any other text. Thread safe.
std::optional<call_id> parseCallId(std::string_view text);

/// Returns the application utilisation from the text form of an "endpoint-load-metrics" field, or nothing if it is missing or not a finite number of
/// at least 0. Thread safe.
std::optional<float> parseReportedLoad(std::string_view text);

/// Returns whether two field names or tokens are equal when case is ignored. Thread safe.
bool equalsIgnoringCase(std::string_view a, std::string_view b);

} // namespace sequoiawharf
