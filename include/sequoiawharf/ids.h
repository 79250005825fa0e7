#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace sequoiawharf
{

/// A strongly typed name. Names of different tags do not convert into each other.
template<typename tag> class name_of
{
public:
    name_of() = default;
    explicit name_of(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string &str() const
    {
        return m_value;
    }
    bool empty() const
    {
        return m_value.empty();
    }

    friend auto operator<=>(const name_of &, const name_of &) = default;

private:
    std::string m_value;
};

using instance_id = name_of<struct instance_tag>;
using region_id = name_of<struct region_tag>;
using data_centre_id = name_of<struct data_centre_tag>;
using route_name = name_of<struct route_tag>;
using pool_name = name_of<struct pool_tag>;
using organisation_name = name_of<struct organisation_tag>;
using caller_id = name_of<struct caller_tag>;
using publication_id = name_of<struct publication_tag>;

/// Offset of a record in the platform's log.
using log_offset = std::uint64_t;

/// Position in a log that may be restored from an earlier copy, after which it gives out offsets again. Every position after a restore is later than all
/// positions before it.
struct log_position {
    constexpr log_position() = default;

    /// A position in a log that states no era. Not explicit: such logs are read by offsets alone.
    constexpr log_position(log_offset at) // NOLINT(google-explicit-constructor,hicpp-explicit-conversions)
        : offset(at)
    {
    }
    constexpr log_position(std::uint64_t logEra, log_offset at)
        : era(logEra)
        , offset(at)
    {
    }

    std::uint64_t era = 0; ///< Grows with each restore; 0: the log states none.
    log_offset offset = 0;

    friend constexpr auto operator<=>(const log_position &, const log_position &) = default;
};

/// Version of a configuration: the log offset of the accepted record that created it. 0 is the empty configuration.
using config_version = std::uint64_t;

/// Identifies one process of an instance. A later process of the instance has a larger number.
using incarnation = std::uint64_t;

/// Identifies one call on all instances that handle it. Printed as 16 hexadecimal digits.
using call_id = std::uint64_t;

/// An IP address and a port.
struct host_port {
    std::string host;
    std::uint16_t port = 0;

    friend auto operator<=>(const host_port &, const host_port &) = default;
};

/// Returns the address as "host:port". Thread safe.
std::string toString(const host_port &address);

/// Returns a call id as 16 hexadecimal digits. Thread safe.
std::string formatCallId(call_id id);

} // namespace sequoiawharf

template<typename tag> struct std::hash<sequoiawharf::name_of<tag>> {
    std::size_t operator()(const sequoiawharf::name_of<tag> &name) const noexcept
    {
        return std::hash<std::string> {}(name.str());
    }
};

template<> struct std::hash<sequoiawharf::host_port> {
    std::size_t operator()(const sequoiawharf::host_port &address) const noexcept
    {
        return std::hash<std::string> {}(address.host) * 31 + address.port;
    }
};
