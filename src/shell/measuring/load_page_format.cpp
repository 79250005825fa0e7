#include "src/shell/measuring/load_page_format.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace sequoiawharf
{

namespace
{

namespace json = boost::json;

constexpr std::array<std::pair<std::string_view, reported_state>, 4> kStates {
    {{"active", reported_state::Active}, {"starting", reported_state::Starting}, {"failing", reported_state::Failing}, {"leaving", reported_state::Leaving}}};

constexpr std::uint64_t kMaxCalls = 1'000'000;

std::optional<reported_state> stateOf(const json::object &page)
{
    const auto *text = page.if_contains("state");
    if (text == nullptr || !text->is_string()) {
        return std::nullopt;
    }
    const auto known = std::ranges::find(kStates, std::string_view(text->get_string()), [](const auto &entry) {
        return entry.first;
    });
    return known == kStates.end() ? std::nullopt : std::optional(known->second);
}

// Returns the number under the key, fallback if the key is missing, or nothing if the value is not a whole number of at most kMaxCalls.
std::optional<std::uint64_t> numberOf(const json::object &page, std::string_view key, std::uint64_t fallback)
{
    const auto *value = page.if_contains(key);
    if (value == nullptr) {
        return fallback;
    }
    boost::system::error_code error;
    const auto number = value->is_number() ? value->to_number<std::uint64_t>(error) : kMaxCalls + 1;
    return error || number > kMaxCalls ? std::nullopt : std::optional(number);
}

} // namespace

tl::expected<load_report, load_page_error> parseLoadPage(std::string_view text, std::uint32_t slots)
{
    boost::system::error_code error;
    const auto parsed = json::parse(text, error);
    if (error || !parsed.is_object()) {
        return tl::unexpected(load_page_error::NotJson);
    }
    const auto &page = parsed.get_object();
    const auto state = stateOf(page);
    if (!state) {
        return tl::unexpected(load_page_error::NoState);
    }
    const auto inFlight = numberOf(page, "in_flight", 0);
    const auto queued = numberOf(page, "queued", 0);
    const auto size = numberOf(page, "slots", slots);
    if (!inFlight || !queued || !size || *size == 0) {
        return tl::unexpected(load_page_error::BadNumber);
    }
    load_report report {.source = report_source::Probe, .state = *state};
    if (page.contains("in_flight")) {
        report.load = static_cast<float>(*inFlight + *queued) / static_cast<float>(*size);
    }
    return report;
}

} // namespace sequoiawharf
