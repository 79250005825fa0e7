#pragma once

#include "sequoiawharf/configuration.h"
#include "sequoiawharf/ids.h"

#include <yaml-cpp/yaml.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiawharf
{

/// Parses "host:port". Returns nothing unless the host is an IPv4 or IPv6 address, with or without brackets, and the port is from 1 to 65535.
/// Thread safe.
std::optional<host_port> parseHostPort(std::string_view text);

/// Parses a duration such as "250ms", "10s" or "2min". Returns nothing for any other form. Thread safe.
std::optional<std::chrono::milliseconds> parseDuration(std::string_view text);

/// Reads the fields of one YAML mapping and collects faults. Each read method leaves its target unchanged when the field is missing or faulty.
/// Precondition: `faults` outlives the object. Not thread safe.
class yaml_fields
{
public:
    /// context: names the mapping in messages, such as "settings" or "route \"quotes\"".
    yaml_fields(const YAML::Node &node, std::string context, std::vector<table_fault> &faults);

    /// Adds a fault for each key that no method was called with. Call it last.
    void rejectUnknown();

    /// Adds a fault when the field is missing.
    void require(const std::string &key);

    void read(const std::string &key, std::string &target);
    void read(const std::string &key, bool &target);
    void read(const std::string &key, host_port &target);
    void read(const std::string &key, std::vector<std::string> &target);
    void read(const std::string &key, std::chrono::milliseconds &target, std::chrono::milliseconds low, std::chrono::milliseconds high);

    template<typename tag> void read(const std::string &key, name_of<tag> &target)
    {
        std::string text = target.str();
        read(key, text);
        target = name_of<tag>(text);
    }

    /// Reads a decimal number from low to high, with or without a fraction.
    void readReal(const std::string &key, double &target, double low, double high);

    /// Reads a duration given as a decimal number of seconds, from 0 to high.
    void readSeconds(const std::string &key, std::chrono::milliseconds &target, std::chrono::seconds high);

    /// Reads a whole number from low to high.
    template<typename number> void readNumber(const std::string &key, number &target, std::uint64_t low, std::uint64_t high)
    {
        std::uint64_t value = target;
        readUnsigned(key, value, low, high);
        target = static_cast<number>(value);
    }

    /// Returns the node of a field, undefined when the field is missing.
    YAML::Node child(const std::string &key);

    /// Adds a fault about one field.
    void fault(const std::string &key, const std::string &problem);

private:
    void readUnsigned(const std::string &key, std::uint64_t &target, std::uint64_t low, std::uint64_t high);

    YAML::Node m_node;
    std::string m_context;
    std::vector<table_fault> &m_faults;
    std::set<std::string> m_requestedKeys;
};

} // namespace sequoiawharf
