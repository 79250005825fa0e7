#include "src/wire/heartbeat_codec.h"

#include "src/wire/peer.pb.h"

#include <algorithm>
#include <limits>
#include <ranges>

namespace sequoiawharf
{

namespace
{

constexpr std::size_t kMaxNameBytes = 255;
constexpr std::uint64_t kMaxAgeMs = 86'400'000;

void write(const host_port &from, wire::address &to)
{
    to.set_host(from.host);
    to.set_port(from.port);
}

void write(const member_row &from, wire::member_row &to)
{
    to.set_id(from.id.str());
    to.set_process(from.process);
    if (!from.gateway.host.empty()) {
        write(from.gateway, *to.mutable_gateway());
    }
    write(from.peer, *to.mutable_peer());
    to.set_data_centre(from.dataCentre.str());
    to.set_region(from.region.str());
    to.set_version(from.version);
    to.set_beat(from.beat);
    to.set_load(from.load);
    to.set_link_percent(from.linkPercent);
    to.set_ready(from.ready);
    to.set_leaving(from.leaving);
}

void write(const member_beat &from, wire::member_beat &to)
{
    to.set_key(from.key);
    to.set_beat(from.beat);
    to.set_load(from.load);
    to.set_link_percent(from.linkPercent);
    to.set_ready(from.ready);
    to.set_leaving(from.leaving);
}

void write(const pool_summary &from, wire::pool_summary &to)
{
    to.set_pool(from.pool);
    to.set_fit_endpoints(from.fitEndpoints);
    to.set_endpoints(from.endpoints);
    to.set_spare_calls(from.spareCalls);
    to.set_missing(from.missing);
}

void write(const pool_share &from, wire::pool_share &to)
{
    to.set_pool(from.pool);
    to.set_in_flight(from.inFlight);
}

void write(const leaving_notice &from, wire::leaving_notice &to)
{
    to.set_pool(from.pool.str());
    write(from.endpoint, *to.mutable_endpoint());
    to.set_age_ms(static_cast<std::uint64_t>(std::max<std::int64_t>(from.age.count(), 0)));
}

void write(const centre_summary &from, wire::centre_summary &to);
void write(const centre_pools &from, wire::centre_pools &to);

template<typename part, typename repeated> void writeAll(const std::vector<part> &from, repeated &to)
{
    std::ranges::for_each(from, [&](const part &item) {
        write(item, *to.Add());
    });
}

void write(const centre_summary &from, wire::centre_summary &to)
{
    to.set_data_centre(from.dataCentre.str());
    to.set_region(from.region.str());
    to.set_stamp(from.stamp);
    to.set_live(from.live);
    to.set_link_percent(from.linkPercent);
    to.set_version(from.version);
    writeAll(from.entries, *to.mutable_entries());
    std::ranges::for_each(*to.mutable_entries(), [](wire::member_row &row) {
        row.clear_data_centre();
        row.clear_region();
    });
}

void write(const centre_pools &from, wire::centre_pools &to)
{
    to.set_data_centre(from.dataCentre.str());
    to.set_stamp(from.stamp);
    writeAll(from.rows, *to.mutable_rows());
}

/// Copies fields from the generated messages, checks them and keeps the first error.
class field_reader
{
public:
    /// Converts a number to a narrower type.
    template<typename number> number narrow(std::uint64_t value)
    {
        if (value > std::numeric_limits<number>::max()) {
            fail(codec_error::OutOfRange);
        }
        return static_cast<number>(value);
    }

    /// Returns a name that must not be empty.
    template<typename name> name requireName(const std::string &text)
    {
        if (text.empty()) {
            fail(codec_error::MissingField);
        }
        return checkName<name>(text);
    }

    /// Returns a name, which may be empty. Names with control characters or more than kMaxNameBytes are out of range.
    template<typename name> name checkName(const std::string &text)
    {
        const bool isValid = text.size() <= kMaxNameBytes && std::ranges::none_of(text, [](unsigned char c) {
                                 return c < 0x20U || c == 0x7fU;
                             });
        if (!isValid) {
            fail(codec_error::OutOfRange);
        }
        return name(text);
    }

    /// Reads a row that must hold its data centre and region itself, unlike the rows of a centre_summary.
    void readWithLocation(const wire::member_row &from, member_row &to)
    {
        read(from, to);
        requireName<data_centre_id>(from.data_centre());
        requireName<region_id>(from.region());
    }

    template<typename part, typename repeated> void readAll(const repeated &from, std::vector<part> &to)
    {
        to.resize(static_cast<std::size_t>(from.size()));
        std::ranges::transform(from, to.begin(), [this](const auto &item) {
            part out;
            read(item, out);
            return out;
        });
    }

    void read(const wire::address &from, host_port &to)
    {
        to = {requireName<std::string>(from.host()), narrow<std::uint16_t>(from.port())};
    }

    void read(const wire::member_row &from, member_row &to)
    {
        to.id = requireName<instance_id>(from.id());
        to.process = from.process();
        if (from.has_gateway()) {
            read(from.gateway(), to.gateway);
        }
        read(from.peer(), to.peer);
        to.dataCentre = checkName<data_centre_id>(from.data_centre());
        to.region = checkName<region_id>(from.region());
        to.version = from.version();
        to.beat = from.beat();
        to.load = narrow<std::uint8_t>(from.load());
        to.linkPercent = narrow<std::uint8_t>(from.link_percent());
        to.ready = from.ready();
        to.leaving = from.leaving();
    }

    void read(const wire::member_beat &from, member_beat &to)
    {
        to = {from.key(), from.beat(), narrow<std::uint8_t>(from.load()), narrow<std::uint8_t>(from.link_percent()), from.ready(), from.leaving()};
    }

    void read(const wire::pool_summary &from, pool_summary &to)
    {
        to.pool = from.pool();
        to.fitEndpoints = narrow<std::uint16_t>(from.fit_endpoints());
        to.endpoints = narrow<std::uint16_t>(from.endpoints());
        to.spareCalls = narrow<std::uint16_t>(from.spare_calls());
        to.missing = narrow<std::uint8_t>(from.missing());
    }

    void read(const wire::pool_share &from, pool_share &to)
    {
        to = {from.pool(), narrow<std::uint16_t>(from.in_flight())};
    }

    void read(const wire::leaving_notice &from, leaving_notice &to)
    {
        to.pool = requireName<pool_name>(from.pool());
        read(from.endpoint(), to.endpoint);
        to.age = std::chrono::milliseconds(std::min(from.age_ms(), kMaxAgeMs));
    }

    void read(const wire::centre_summary &from, centre_summary &to)
    {
        to.dataCentre = requireName<data_centre_id>(from.data_centre());
        to.region = requireName<region_id>(from.region());
        to.stamp = from.stamp();
        to.live = from.live();
        to.linkPercent = narrow<std::uint8_t>(from.link_percent());
        to.version = from.version();
        readAll(from.entries(), to.entries);
        std::ranges::for_each(to.entries, [&](member_row &row) {
            row.dataCentre = to.dataCentre;
            row.region = to.region;
        });
    }

    void read(const wire::centre_pools &from, centre_pools &to)
    {
        to.dataCentre = requireName<data_centre_id>(from.data_centre());
        to.stamp = from.stamp();
        readAll(from.rows(), to.rows);
    }

    /// Returns the first error, or nothing.
    const std::optional<codec_error> &firstError() const
    {
        return m_error;
    }

private:
    void fail(codec_error error)
    {
        m_error = m_error.value_or(error);
    }

    std::optional<codec_error> m_error;
};

} // namespace

void writeHeartbeat(const heartbeat_message &message, wire::heartbeat &out)
{
    write(message.sender, *out.mutable_sender());
    out.set_receiver_stamp(message.receiverStamp);
    writeAll(message.beats, *out.mutable_beats());
    out.mutable_wanted()->Assign(message.wanted.begin(), message.wanted.end());
    writeAll(message.rows, *out.mutable_rows());
    writeAll(message.centres, *out.mutable_centres());
    writeAll(message.pools, *out.mutable_pools());
    writeAll(message.shares, *out.mutable_shares());
    writeAll(message.leaving, *out.mutable_leaving());
}

tl::expected<heartbeat_message, codec_error> readHeartbeat(const wire::heartbeat &in)
{
    heartbeat_message message;
    field_reader reader;
    reader.readWithLocation(in.sender(), message.sender);
    message.receiverStamp = in.receiver_stamp();
    reader.readAll(in.beats(), message.beats);
    message.wanted.assign(in.wanted().begin(), in.wanted().end());
    message.rows.resize(static_cast<std::size_t>(in.rows_size()));
    std::ranges::transform(in.rows(), message.rows.begin(), [&](const wire::member_row &row) {
        member_row out;
        reader.readWithLocation(row, out);
        return out;
    });
    reader.readAll(in.centres(), message.centres);
    reader.readAll(in.pools(), message.pools);
    reader.readAll(in.shares(), message.shares);
    reader.readAll(in.leaving(), message.leaving);
    if (reader.firstError()) {
        return tl::unexpected(*reader.firstError());
    }
    return message;
}

} // namespace sequoiawharf
