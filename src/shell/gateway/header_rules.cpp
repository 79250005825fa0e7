#include "src/shell/gateway/header_rules.h"

#include "src/shell/gateway/call_dialect.h"
#include "src/shell/net/http_status.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <ranges>

namespace sequoiawharf
{

namespace
{

namespace http = boost::beast::http;

constexpr std::size_t kMaxDecimalDigits = 18;
constexpr std::size_t kCallIdDigits = 16;
constexpr std::string_view kUtilisationKey = "application_utilization=";

std::string_view asView(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

bool isHopByHop(http::field name)
{
    switch (name) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::content_length:
    case http::field::upgrade:
    case http::field::expect:
        return true;
    default:
        return false;
    }
}

// Host always stays end-to-end, since a target needs exactly one.
bool isNamedByConnection(std::string_view name, std::string_view connection)
{
    return !connection.empty() && !equalsIgnoringCase(name, "Host") && http::token_list(connection).exists(name);
}

} // namespace

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

std::string_view framingFault(const http::fields &fields, unsigned version)
{
    const auto codings = fields.count(http::field::transfer_encoding);
    const auto lengths = fields.count(http::field::content_length);
    if (codings + lengths > 1) {
        return "the message states its length more than once";
    }
    if (codings == 1 && (version < 11 || !equalsIgnoringCase(asView(fields[http::field::transfer_encoding]), "chunked"))) {
        return "the transfer coding is not supported";
    }
    if (lengths == 1 && !parseDecimal(asView(fields[http::field::content_length]))) {
        return "the content length is not a number";
    }
    return {};
}

std::string_view hostFault(const http::fields &fields, unsigned version)
{
    const auto hosts = fields.count(http::field::host);
    if (hosts > 1 || (hosts == 0 && version >= 11)) {
        return "the request needs exactly one Host";
    }
    return {};
}

header_list endToEnd(const http::fields &fields, const call_dialect &dialect)
{
    const auto connection = asView(fields[http::field::connection]);
    header_list result;
    for (const auto &field : fields) {
        const auto name = asView(field.name_string());
        if (!isHopByHop(field.name()) && !dialect.isOwnField(name) && !isNamedByConnection(name, connection)) {
            result.push_back({std::string(name), std::string(asView(field.value()))});
        }
    }
    return result;
}

std::optional<std::uint64_t> parseDecimal(std::string_view text)
{
    const bool isDigits = std::ranges::all_of(text, [](char c) {
        return c >= '0' && c <= '9';
    });
    if (text.empty() || text.size() > kMaxDecimalDigits || !isDigits) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::optional<std::chrono::milliseconds> parseSeconds(std::string_view text)
{
    constexpr std::size_t kMillisecondDigits = 3;
    constexpr std::uint64_t kMaxSeconds = std::chrono::seconds(kMaxRest).count();
    const auto point = text.find('.');
    const auto seconds = parseDecimal(text.substr(0, point));
    auto fraction = std::string(point == std::string_view::npos ? "0" : text.substr(point + 1));
    if (!seconds || !parseDecimal(fraction)) {
        return std::nullopt;
    }
    fraction.resize(kMillisecondDigits, '0');
    const std::chrono::milliseconds time = std::chrono::seconds(std::min(*seconds, kMaxSeconds)) + std::chrono::milliseconds(*parseDecimal(fraction));
    return std::min<std::chrono::milliseconds>(time, kMaxRest);
}

endpoint_availability readRest(unsigned status, const http::fields &fields)
{
    endpoint_availability stated;
    if (status != kUnavailable && status != kTooManyRequests) {
        return stated;
    }
    const auto [first, last] = fields.equal_range(http::field::retry_after);
    std::for_each(first, last, [&](const http::fields::value_type &field) {
        const auto rest = parseSeconds(asView(field.value()));
        stated.rest = std::max(stated.rest, rest.value_or(std::chrono::milliseconds(0)));
        stated.isRestUnreadable = stated.isRestUnreadable || !rest;
    });
    return stated;
}

std::string bearerToken(std::string_view authorization)
{
    constexpr std::string_view kScheme = "Bearer ";
    if (!equalsIgnoringCase(authorization.substr(0, kScheme.size()), kScheme)) {
        return {};
    }
    authorization.remove_prefix(kScheme.size());
    authorization.remove_prefix(std::min(authorization.find_first_not_of(' '), authorization.size()));
    return std::string(authorization);
}

std::optional<call_id> parseCallId(std::string_view text)
{
    call_id value = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (text.size() != kCallIdDigits || fault != std::errc {} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::optional<float> parseReportedLoad(std::string_view text)
{
    const auto position = text.find(kUtilisationKey);
    if (!text.starts_with("TEXT ") || position == std::string_view::npos) {
        return std::nullopt;
    }
    const auto number = text.substr(position + kUtilisationKey.size());
    float value = 0;
    const auto [end, fault] = std::from_chars(number.data(), number.data() + number.size(), value);
    if (fault != std::errc {} || !std::isfinite(value) || value < 0) {
        return std::nullopt;
    }
    return value;
}

} // namespace sequoiawharf
