#include "src/shell/peer/relay_headers.h"

#include "src/shell/net/http_status.h"
#include "src/shell/peer/peer_stream.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>
#include <ranges>

namespace sequoiawharf
{

namespace
{

constexpr std::string_view kPrefix = "sequoiawharf-";
constexpr std::string_view kCall = "sequoiawharf-call";
constexpr std::string_view kCaller = "sequoiawharf-caller";
constexpr std::string_view kDeadline = "sequoiawharf-deadline-ms";
constexpr std::string_view kOrganisation = "sequoiawharf-organisation";
constexpr std::string_view kDepth = "sequoiawharf-depth";
constexpr std::string_view kSender = "sequoiawharf-sender";
constexpr std::string_view kSenderProcess = "sequoiawharf-sender-incarnation";
constexpr std::string_view kReceiverProcess = "sequoiawharf-receiver-incarnation";
constexpr std::string_view kEnding = "sequoiawharf-ending";
constexpr std::string_view kReason = "sequoiawharf-reason";
constexpr std::string_view kRetry = "sequoiawharf-retry";
constexpr std::string_view kContentLength = "content-length";
constexpr std::array<std::string_view, 7> kHopByHop {"connection", "keep-alive", "proxy-connection", "te", "transfer-encoding", "upgrade", kContentLength};
constexpr unsigned kNoContent = 204;

template<typename number> std::optional<number> parse(std::string_view text, int base = 10)
{
    number value {};
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value, base);
    const bool complete = !text.empty() && result.ec == std::errc {} && result.ptr == text.data() + text.size();
    return complete ? std::optional(value) : std::nullopt;
}

std::string lower(std::string_view text)
{
    std::string out(text);
    std::ranges::transform(out, out.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return out;
}

bool isForwarded(std::string_view name)
{
    return !name.empty() && !name.starts_with(':') && !name.starts_with(kPrefix) && std::ranges::find(kHopByHop, name) == kHopByHop.end();
}

void appendForwarded(const header_list &from, header_list &to)
{
    std::ranges::for_each(from, [&](const header_field &field) {
        auto name = lower(field.name);
        if (isForwarded(name)) {
            to.push_back({std::move(name), field.value});
        }
    });
}

void append(header_list &to, std::string_view name, std::string value)
{
    to.push_back({std::string(name), std::move(value)});
}

template<typename value> std::optional<value> parseName(std::string_view text, value last)
{
    const auto match = std::ranges::find_if(std::views::iota(0, static_cast<int>(last) + 1), [&](int i) {
        return toString(static_cast<value>(i)) == text;
    });
    return *match <= static_cast<int>(last) ? std::optional(static_cast<value>(*match)) : std::nullopt;
}

} // namespace

bool isRelayedCall(const header_list &headers)
{
    return !findHeader(headers, kCall).empty();
}

header_list toRelayRequest(const call_head &call, std::chrono::milliseconds remaining, const peer_identity &self, const peer_identity &receiver)
{
    header_list out {{":method", call.method}, {":scheme", "http"}, {":authority", receiver.instance.str()}, {":path", call.path}};
    append(out, kCall, formatCallId(call.id));
    append(out, kCaller, call.caller.str());
    append(out, kDeadline, fmt::to_string(remaining.count()));
    append(out, kDepth, fmt::to_string(call.depth));
    append(out, kSender, self.instance.str());
    append(out, kSenderProcess, fmt::to_string(self.process));
    append(out, kReceiverProcess, fmt::to_string(receiver.process));
    if (!call.organisation.empty()) {
        append(out, kOrganisation, call.organisation.str());
    }
    if (call.contentLength) {
        append(out, kContentLength, fmt::to_string(*call.contentLength));
    }
    appendForwarded(call.headers, out);
    return out;
}

tl::expected<relayed_call, relay_head_error> readRelayRequest(const header_list &headers, const peer_identity &self, mono_time now)
{
    const auto id = parse<call_id>(findHeader(headers, kCall), 16);
    const auto deadline = parse<std::uint32_t>(findHeader(headers, kDeadline));
    const auto depth = parse<unsigned>(findHeader(headers, kDepth));
    const auto sender = parse<incarnation>(findHeader(headers, kSenderProcess));
    const auto receiver = parse<incarnation>(findHeader(headers, kReceiverProcess));
    if (!id || !deadline || !depth || !sender || !receiver || findHeader(headers, ":path").empty()) {
        return tl::unexpected(relay_head_error::Malformed);
    }
    if (*receiver != self.process || findHeader(headers, ":authority") != self.instance.str()) {
        return tl::unexpected(relay_head_error::WrongProcess);
    }
    relayed_call call;
    call.sender = {instance_id(std::string(findHeader(headers, kSender))), *sender};
    call.head.id = *id;
    call.head.method = findHeader(headers, ":method");
    call.head.path = findHeader(headers, ":path");
    call.head.caller = caller_id(std::string(findHeader(headers, kCaller)));
    call.head.received = now;
    call.head.callerTimeout = std::chrono::milliseconds(*deadline);
    call.head.depth = *depth;
    call.head.organisation = organisation_name(std::string(findHeader(headers, kOrganisation)));
    call.head.contentLength = parse<std::uint64_t>(findHeader(headers, kContentLength));
    call.head.relayed = true;
    appendForwarded(headers, call.head.headers);
    return call;
}

header_list toRelayAnswer(const answer_head &answer, const peer_identity &self)
{
    header_list out {{":status", fmt::to_string(answer.status)}};
    append(out, kSenderProcess, fmt::to_string(self.process));
    append(out, kEnding, std::string(toString(answer.ending)));
    if (answer.ending != call_ending::Answered) {
        append(out, kReason, std::string(toString(answer.reason)));
    }
    if (!answer.callerMayRetry) {
        append(out, kRetry, "no");
    }
    if (answer.contentLength && answer.status != kNoContent) {
        append(out, kContentLength, fmt::to_string(*answer.contentLength));
    }
    appendForwarded(answer.headers, out);
    return out;
}

tl::expected<answer_head, relay_head_error> readRelayAnswer(const header_list &headers, const peer_identity &expected)
{
    const auto status = parse<unsigned>(findHeader(headers, ":status"));
    const auto ending = parseName(findHeader(headers, kEnding), call_ending::Unknown);
    const auto reasonText = findHeader(headers, kReason);
    const auto reason = reasonText.empty() ? call_reason::None : parseName(reasonText, static_cast<call_reason>(kCallReasonCount - 1));
    if (!status || !isValidStatus(*status) || !ending || !reason) {
        return tl::unexpected(relay_head_error::Malformed);
    }
    if (parse<incarnation>(findHeader(headers, kSenderProcess)) != expected.process) {
        return tl::unexpected(relay_head_error::WrongProcess);
    }
    answer_head answer;
    answer.status = *status;
    answer.ending = *ending;
    answer.reason = *reason;
    answer.callerMayRetry = findHeader(headers, kRetry) != "no";
    answer.contentLength = parse<std::uint64_t>(findHeader(headers, kContentLength));
    appendForwarded(headers, answer.headers);
    return answer;
}

} // namespace sequoiawharf
