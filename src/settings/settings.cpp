#include "sequoiawharf/settings.h"

#include "src/base/yaml_fields.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <sstream>

namespace sequoiawharf
{

namespace
{

using std::chrono::milliseconds;

constexpr std::array<std::string_view, 4> kLogLevels {"debug", "info", "warning", "error"};

constexpr double kMaxHedgeRatio = 0.5; // with more, hedges would go out before most calls are answered

void readRegions(yaml_fields &fields, instance_settings &settings)
{
    const auto node = fields.child("regions");
    if (!node.IsDefined()) {
        return;
    }
    if (!node.IsMap()) {
        return fields.fault("regions", "must map each region to a list of its data centres");
    }
    std::for_each(node.begin(), node.end(), [&](const auto &entry) {
        auto &centres = settings.regions[region_id(entry.first.Scalar())];
        if (!entry.second.IsSequence()) {
            return fields.fault("regions", fmt::format("must give a list of data centres for region \"{}\"", entry.first.Scalar()));
        }
        std::transform(entry.second.begin(), entry.second.end(), std::back_inserter(centres), [](const YAML::Node &centre) {
            return data_centre_id(centre.Scalar());
        });
    });
}

// Reads the inverse form of "regions", which maps each data centre to its region.
void readDataCentres(yaml_fields &fields, instance_settings &settings)
{
    const auto node = fields.child("data_centres");
    if (!node.IsDefined()) {
        return;
    }
    if (!node.IsMap()) {
        return fields.fault("data_centres", "must map each data centre to its region");
    }
    std::for_each(node.begin(), node.end(), [&](const auto &entry) {
        settings.regions[region_id(entry.second.Scalar())].push_back(data_centre_id(entry.first.Scalar()));
    });
}

void readRepeats(yaml_fields &parent, repeat_limits &repeats, std::vector<table_fault> &faults)
{
    const auto node = parent.child("repeats");
    if (!node.IsDefined()) {
        return;
    }
    yaml_fields fields(node, "repeats", faults);
    fields.readReal("ratio", repeats.ratio, 0, 10);
    fields.readReal("slack", repeats.slack, 0, 1'000'000);
    fields.readSeconds("window_seconds", repeats.window, std::chrono::seconds(600));
    fields.rejectUnknown();
}

void readHedging(yaml_fields &parent, hedge_limits &hedging, std::vector<table_fault> &faults)
{
    const auto node = parent.child("hedging");
    if (!node.IsDefined()) {
        return;
    }
    yaml_fields fields(node, "hedging", faults);
    fields.readReal("ratio", hedging.ratio, 0, kMaxHedgeRatio);
    fields.rejectUnknown();
}

void readQuotas(yaml_fields &parent, quota_settings &quotas, std::vector<table_fault> &faults)
{
    const auto node = parent.child("quotas");
    if (!node.IsDefined()) {
        return;
    }
    yaml_fields fields(node, "quotas", faults);
    fields.readSeconds("window_seconds", quotas.window, std::chrono::seconds(600));
    fields.readReal("overshoot", quotas.overshoot, 0, 10);
    fields.readReal("slack", quotas.slack, 0, 1'000'000);
    fields.rejectUnknown();
}

void readProbing(yaml_fields &parent, probing_settings &probing, std::vector<table_fault> &faults)
{
    const auto node = parent.child("probing");
    if (!node.IsDefined()) {
        return;
    }
    yaml_fields fields(node, "probing", faults);
    fields.readNumber("count", probing.count, 0, 8);
    fields.readNumber("wide_count", probing.wideCount, 0, 8);
    fields.readReal("per_endpoint_per_second", probing.perEndpointPerSecond, 0, 1'000'000);
    fields.readNumber("wide_bytes", probing.wideBytes, 0, 1U << 30U);
    fields.rejectUnknown();
}

void readAddresses(yaml_fields &fields, const std::string &key, std::vector<host_port> &addresses)
{
    std::vector<std::string> texts;
    fields.read(key, texts);
    std::ranges::for_each(texts, [&](const std::string &text) {
        if (const auto address = parseHostPort(text)) {
            addresses.push_back(*address);
        } else {
            fields.fault(key, fmt::format("holds \"{}\", which is not an IP address and a port", text));
        }
    });
}

void readLimits(yaml_fields &parent, gateway_limits &limits, std::vector<table_fault> &faults)
{
    const auto node = parent.child("limits");
    if (!node.IsDefined()) {
        return;
    }
    yaml_fields fields(node, "limits", faults);
    fields.readNumber("header_bytes", limits.headerBytes, 1024, 1U << 20U);
    fields.readNumber("held_body_bytes", limits.heldBodyBytes, 0, 16U << 20U);
    fields.readNumber("caller_connections", limits.callerConnections, 1, 1'000'000);
    fields.readNumber("body_memory_bytes", limits.bodyMemoryBytes, 0, 1ULL << 40U);
    fields.readNumber("machine_memory_mb", limits.machineMemoryMb, 0, 1U << 24U);
    fields.readNumber("machine_descriptors", limits.machineDescriptors, 0, 100'000'000);
    fields.read("idle_timeout", limits.idleTimeout, milliseconds(100), milliseconds(3'600'000));
    fields.read("max_deadline", limits.maxDeadline, milliseconds(1), milliseconds(3'600'000));
    fields.rejectUnknown();
}

void readMeasuring(yaml_fields &parent, measuring_limits &measuring, std::vector<table_fault> &faults)
{
    const auto node = parent.child("measuring");
    if (!node.IsDefined()) {
        return;
    }
    yaml_fields fields(node, "measuring", faults);
    fields.readNumber("bytes_per_second", measuring.bytesPerSecond, 0, 100'000'000);
    fields.readNumber("messages_per_second", measuring.messagesPerSecond, 0, 100'000);
    fields.rejectUnknown();
}

void readLink(yaml_fields &parent, link_settings &link, std::vector<table_fault> &faults)
{
    const auto node = parent.child("link");
    if (!node.IsDefined()) {
        return;
    }
    yaml_fields fields(node, "link", faults);
    fields.readNumber("bytes_per_second", link.bytesPerSecond, 1000, 100'000'000'000);
    fields.readNumber("control_bytes_per_second", link.controlBytesPerSecond, 100, 100'000'000);
    fields.rejectUnknown();
}

// With a shorter bound, the proof of an instance that asks another one is too old in ordinary operation (reading_plan_test adds up the parts).
constexpr milliseconds kMinRevocationBound {4000};

void checkCrossFieldRules(const instance_settings &settings, yaml_fields &fields)
{
    if (std::ranges::find(kLogLevels, settings.logLevel) == kLogLevels.end()) {
        fields.fault("log_level", "must be debug, info, warning or error");
    }
    if (!settings.dataCentre.empty() && settings.regionOf(settings.dataCentre) != settings.region) {
        fields.fault("data_centre", fmt::format("is not listed under region \"{}\" in \"regions\"", settings.region.str()));
    }
    if (settings.revocationBound.count() > 0 && settings.revocationBound < kMinRevocationBound) {
        fields.fault("revocation_bound", fmt::format("must be 0ms or at least {}ms", kMinRevocationBound.count()));
    }
}

instance_settings readSettings(const YAML::Node &root, std::vector<table_fault> &faults)
{
    instance_settings settings;
    yaml_fields fields(root, "settings", faults);
    for (const auto *key : {"instance", "region", "data_centre", "gateway", "peer", "admin", "platform"}) {
        fields.require(key);
    }
    if (!fields.child("data_centres").IsDefined()) {
        fields.require("regions");
    }
    fields.read("instance", settings.id);
    fields.read("region", settings.region);
    fields.read("data_centre", settings.dataCentre);
    fields.read("gateway", settings.gateway);
    fields.read("peer", settings.peer);
    fields.read("admin", settings.admin);
    readAddresses(fields, "platform", settings.platform);
    readAddresses(fields, "seeds", settings.seeds);
    readRegions(fields, settings);
    readDataCentres(fields, settings);
    fields.readNumber("threads", settings.threads, 1, 256);
    fields.read("policy", settings.policy);
    fields.read("log_level", settings.logLevel);
    fields.readNumber("seed", settings.seed, 0, UINT64_MAX);
    fields.read("directory_lifetime", settings.directoryLifetime, milliseconds(100), milliseconds(600'000));
    fields.read("directory_overrun", settings.directoryOverrun, milliseconds(0), milliseconds(600'000));
    fields.readNumber("directory_entries", settings.directoryEntries, 1, 64);
    fields.read("directory_near_only", settings.directoryNearOnly);
    fields.read("directory", settings.directoryAddress);
    fields.read("ready", settings.readyAddress);
    fields.read("leaving_bound", settings.leavingBound, milliseconds(100), milliseconds(60'000));
    fields.read("first_start", settings.isFirstStart);
    fields.read("configuration_bound", settings.configurationBound, milliseconds(0), milliseconds(60'000));
    fields.read("revocation_bound", settings.revocationBound, milliseconds(0), milliseconds(60'000));
    fields.read("stop_deadline", settings.stopDeadline, milliseconds(100), milliseconds(3'600'000));
    fields.readSeconds("grace_seconds", settings.stopDeadline, std::chrono::seconds(3600));
    readLimits(fields, settings.limits, faults);
    readMeasuring(fields, settings.measuring, faults);
    readLink(fields, settings.link, faults);
    readRepeats(fields, settings.repeats, faults);
    readHedging(fields, settings.hedging, faults);
    readQuotas(fields, settings.quotas, faults);
    readProbing(fields, settings.probing, faults);
    fields.rejectUnknown();
    checkCrossFieldRules(settings, fields);
    return settings;
}

} // namespace

region_id instance_settings::regionOf(const data_centre_id &centre) const
{
    const auto match = std::ranges::find_if(regions, [&](const auto &entry) {
        return std::ranges::find(entry.second, centre) != entry.second.end();
    });
    return match == regions.end() ? region_id {} : match->first;
}

std::size_t gateway_limits::callMemoryBytes() const
{
    constexpr std::uint64_t kBytesPerMb = 1U << 20U;
    constexpr std::uint64_t kMachineDivisor = 4; // the rest is for heads, connections, the control plane and fragmentation
    constexpr std::uint64_t kMinHeldBodies = 8;
    // A held body and the parser's buffer that fills it.
    const auto perBody = 2 * std::uint64_t {heldBodyBytes};
    auto bytes = bodyMemoryBytes;
    if (bytes == 0) {
        bytes = machineMemoryMb > 0 ? machineMemoryMb * kBytesPerMb / kMachineDivisor : callerConnections * perBody;
    }
    return std::max({bytes, kMinHeldBodies * perBody, kBytesPerMb});
}

std::uint32_t gateway_limits::maxCallerConnections() const
{
    return machineDescriptors > 0 ? std::min(callerConnections, std::max(1U, machineDescriptors / 4 * 3)) : callerConnections;
}

void copyReloadable(const instance_settings &from, instance_settings &to)
{
    to.logLevel = from.logLevel;
    to.seeds = from.seeds;
    to.repeats = from.repeats;
    to.hedging = from.hedging;
}

settings_reload planReload(const instance_settings &running, const instance_settings &read)
{
    settings_reload change {.next = running};
    copyReloadable(read, change.next);
    change.appliesNow = change.next != running;
    change.needsRestart = change.next != read;
    return change;
}

tl::expected<quota_settings, std::string> parseQuotaSettings(const std::string &text)
{
    constexpr std::size_t kValues = 3;
    constexpr double kMaxWindowSeconds = 600;
    if (text.find_first_not_of(',') == std::string::npos) {
        return quota_settings {};
    }
    std::vector<double> values;
    std::istringstream words(text);
    for (std::string word; std::getline(words, word, ',');) {
        double value = -1;
        const auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), value);
        values.push_back(error == std::errc {} && end == word.data() + word.size() ? value : -1);
    }
    const bool isValid = values.size() == kValues && values.front() <= kMaxWindowSeconds && std::ranges::all_of(values, [](double value) {
                             return value >= 0;
                         });
    if (!isValid) {
        return tl::unexpected(fmt::format("\"{}\" is not of the form WINDOW-SECONDS,OVERSHOOT,SLACK with a window of up to {} s", text, kMaxWindowSeconds));
    }
    constexpr double kMsPerSecond = 1000;
    return quota_settings {milliseconds(std::llround(values[0] * kMsPerSecond)), values[1], values[2]};
}

tl::expected<instance_settings, std::vector<table_fault>> parseSettings(const std::string &text)
{
    std::vector<table_fault> faults;
    try {
        auto settings = readSettings(YAML::Load(text), faults);
        if (faults.empty()) {
            return settings;
        }
    } catch (const YAML::Exception &error) {
        faults.push_back({error.msg, error.mark.line + 1});
    }
    return tl::unexpected(std::move(faults));
}

} // namespace sequoiawharf
