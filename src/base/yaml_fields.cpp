#include "src/base/yaml_fields.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <utility>

namespace sequoiawharf
{

namespace
{

template<typename number> std::optional<number> parseNumber(std::string_view text)
{
    number value {};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc {} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

bool isIpAddress(const std::string &host)
{
    std::array<unsigned char, sizeof(in6_addr)> number {};
    return inet_pton(AF_INET, host.c_str(), number.data()) == 1 || inet_pton(AF_INET6, host.c_str(), number.data()) == 1;
}

int lineOf(const YAML::Node &node)
{
    return node.IsDefined() ? node.Mark().line + 1 : 0;
}

} // namespace

std::optional<host_port> parseHostPort(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    auto host = text.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']')) {
        host = host.substr(1, host.size() - 2);
    }
    const auto port = parseNumber<std::uint16_t>(text.substr(colon + 1));
    if (!isIpAddress(std::string(host)) || !port || *port == 0) {
        return std::nullopt;
    }
    return host_port {std::string(host), *port};
}

std::optional<std::chrono::milliseconds> parseDuration(std::string_view text)
{
    static constexpr std::array<std::pair<std::string_view, std::int64_t>, 3> kUnits {{{"ms", 1}, {"min", 60'000}, {"s", 1000}}};
    const auto unit = std::ranges::find_if(kUnits, [&](const auto &entry) {
        return text.ends_with(entry.first);
    });
    if (unit == kUnits.end()) {
        return std::nullopt;
    }
    const auto count = parseNumber<std::uint32_t>(text.substr(0, text.size() - unit->first.size()));
    if (!count) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(*count * unit->second);
}

yaml_fields::yaml_fields(const YAML::Node &node, std::string context, std::vector<table_fault> &faults)
    : m_node(node)
    , m_context(std::move(context))
    , m_faults(faults)
{
    if (!m_node.IsMap()) {
        m_faults.push_back({fmt::format("{} is not a mapping of names to values", m_context), lineOf(m_node)});
        m_node = YAML::Node(YAML::NodeType::Map);
    }
}

void yaml_fields::rejectUnknown()
{
    std::for_each(m_node.begin(), m_node.end(), [this](const auto &entry) {
        const auto key = entry.first.Scalar();
        if (!m_requestedKeys.contains(key)) {
            m_faults.push_back({fmt::format("{}: \"{}\" is not a known name", m_context, key), lineOf(entry.first)});
        }
    });
}

void yaml_fields::require(const std::string &key)
{
    if (!child(key).IsDefined()) {
        m_faults.push_back({fmt::format("{}: \"{}\" is missing", m_context, key), lineOf(m_node)});
    }
}

YAML::Node yaml_fields::child(const std::string &key)
{
    m_requestedKeys.insert(key);
    return std::as_const(m_node)[key];
}

void yaml_fields::fault(const std::string &key, const std::string &problem)
{
    m_faults.push_back({fmt::format("{}: \"{}\" {}", m_context, key, problem), lineOf(child(key))});
}

void yaml_fields::read(const std::string &key, std::string &target)
{
    const auto value = child(key);
    if (!value.IsDefined()) {
        return;
    }
    if (!value.IsScalar() || value.Scalar().empty()) {
        return fault(key, "must be a string that is not empty");
    }
    target = value.Scalar();
}

void yaml_fields::read(const std::string &key, bool &target)
{
    const auto value = child(key);
    if (!value.IsDefined()) {
        return;
    }
    if (!value.IsScalar() || (value.Scalar() != "true" && value.Scalar() != "false")) {
        return fault(key, "must be true or false");
    }
    target = value.Scalar() == "true";
}

void yaml_fields::read(const std::string &key, host_port &target)
{
    const auto value = child(key);
    if (!value.IsDefined()) {
        return;
    }
    const auto address = value.IsScalar() ? parseHostPort(value.Scalar()) : std::nullopt;
    if (!address) {
        return fault(key, "must be an IP address and a port from 1 to 65535, such as 127.0.0.1:8080");
    }
    target = *address;
}

void yaml_fields::read(const std::string &key, std::vector<std::string> &target)
{
    const auto value = child(key);
    if (!value.IsDefined()) {
        return;
    }
    const auto isString = [](const YAML::Node &item) {
        return item.IsScalar() && !item.Scalar().empty();
    };
    if (!value.IsSequence() || !std::all_of(value.begin(), value.end(), isString)) {
        return fault(key, "must be a list of strings that are not empty");
    }
    target.clear();
    std::transform(value.begin(), value.end(), std::back_inserter(target), [](const YAML::Node &item) {
        return item.Scalar();
    });
}

void yaml_fields::read(const std::string &key, std::chrono::milliseconds &target, std::chrono::milliseconds low, std::chrono::milliseconds high)
{
    const auto value = child(key);
    if (!value.IsDefined()) {
        return;
    }
    const auto duration = value.IsScalar() ? parseDuration(value.Scalar()) : std::nullopt;
    if (!duration || *duration < low || *duration > high) {
        return fault(key, fmt::format("must be a duration from {}ms to {}ms, such as 250ms or 10s", low.count(), high.count()));
    }
    target = *duration;
}

void yaml_fields::readReal(const std::string &key, double &target, double low, double high)
{
    const auto value = child(key);
    if (!value.IsDefined()) {
        return;
    }
    const auto number = value.IsScalar() ? parseNumber<double>(value.Scalar()) : std::nullopt;
    if (!number || !(*number >= low && *number <= high)) {
        return fault(key, fmt::format("must be a number from {} to {}", low, high));
    }
    target = *number;
}

void yaml_fields::readSeconds(const std::string &key, std::chrono::milliseconds &target, std::chrono::seconds high)
{
    constexpr double kMsPerSecond = 1000;
    double seconds = static_cast<double>(target.count()) / kMsPerSecond;
    readReal(key, seconds, 0, static_cast<double>(high.count()));
    target = std::chrono::milliseconds(std::llround(seconds * kMsPerSecond));
}

void yaml_fields::readUnsigned(const std::string &key, std::uint64_t &target, std::uint64_t low, std::uint64_t high)
{
    const auto value = child(key);
    if (!value.IsDefined()) {
        return;
    }
    const auto number = value.IsScalar() ? parseNumber<std::uint64_t>(value.Scalar()) : std::nullopt;
    if (!number || *number < low || *number > high) {
        return fault(key, fmt::format("must be a whole number from {} to {}", low, high));
    }
    target = *number;
}

} // namespace sequoiawharf
