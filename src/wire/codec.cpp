#include "src/wire/codec.h"

#include "src/wire/heartbeat_codec.h"
#include "src/wire/peer.pb.h"

#include <algorithm>
#include <limits>

namespace sequoiawharf
{

namespace
{

constexpr std::size_t kMaxLenderBytes = 255;

void write(const heartbeat_message &message, wire::envelope &out)
{
    writeHeartbeat(message, *out.mutable_heartbeat());
}

void write(const change_request &message, wire::envelope &out)
{
    out.mutable_change_request()->set_since(message.since);
}

void write(const change_set &message, wire::envelope &out)
{
    auto &set = *out.mutable_change_set();
    set.set_from(message.from);
    set.set_as_of(message.asOf);
    set.set_state(message.state);
    std::ranges::for_each(message.chain, [&](const accepted_record &record) {
        auto &row = *set.add_chain();
        row.set_version(record.version);
        row.set_data(record.data);
    });
}

change_set read(const wire::change_set &in)
{
    change_set set;
    set.from = in.from();
    set.asOf = in.as_of();
    set.state = in.state();
    std::ranges::transform(in.chain(), std::back_inserter(set.chain), [](const wire::accepted_record &row) {
        return accepted_record {row.version(), row.data()};
    });
    return set;
}

void write(const std::vector<token_count> &tokens, google::protobuf::RepeatedPtrField<wire::token_count> &out)
{
    std::ranges::for_each(tokens, [&out](const token_count &item) {
        auto &row = *out.Add();
        row.set_organisation(item.organisation);
        row.set_tokens(item.tokens);
    });
}

std::vector<token_count> read(const google::protobuf::RepeatedPtrField<wire::token_count> &in)
{
    std::vector<token_count> tokens;
    std::ranges::transform(in, std::back_inserter(tokens), [](const wire::token_count &row) {
        return token_count {row.organisation(), row.tokens()};
    });
    return tokens;
}

void write(const quota_request &message, wire::envelope &out)
{
    auto &request = *out.mutable_quota_request();
    request.set_lender(message.lender.str());
    request.set_sequence(message.sequence);
    request.set_instances(message.instances);
    std::uint32_t lends = 0;
    for (std::size_t i = 0; i < message.lends.size(); ++i) {
        lends |= message.lends[i] ? 1U << i : 0U;
    }
    request.set_lends(lends);
    request.set_stamp_process(message.stamp.process);
    request.set_stamp_at(message.stamp.at);
    write(message.wanted, *request.mutable_wanted());
}

void write(const quota_grant &message, wire::envelope &out)
{
    auto &grant = *out.mutable_quota_grant();
    grant.set_stamp_process(message.stamp.process);
    grant.set_stamp_at(message.stamp.at);
    grant.set_instances(message.instances);
    write(message.granted, *grant.mutable_granted());
}

tl::expected<peer_message, codec_error> read(const wire::quota_request &in)
{
    if (in.lender().empty()) {
        return tl::unexpected(codec_error::MissingField);
    }
    if (in.lender().size() > kMaxLenderBytes) {
        return tl::unexpected(codec_error::OutOfRange);
    }
    quota_request request {.lender = instance_id(in.lender()),
                           .sequence = in.sequence(),
                           .instances = in.instances(),
                           .stamp = {in.stamp_process(), in.stamp_at()},
                           .wanted = read(in.wanted())};
    for (std::size_t i = 0; i < request.lends.size(); ++i) {
        request.lends[i] = (in.lends() >> i & 1U) != 0;
    }
    return request;
}

quota_grant read(const wire::quota_grant &in)
{
    return {.stamp = {in.stamp_process(), in.stamp_at()}, .instances = in.instances(), .granted = read(in.granted())};
}

} // namespace

std::string encode(const peer_message &message)
{
    wire::envelope out;
    std::visit(
        [&](const auto &body) {
            write(body, out);
        },
        message);
    return out.SerializeAsString();
}

tl::expected<peer_message, codec_error> decode(std::string_view bytes)
{
    wire::envelope in;
    const bool fits = bytes.size() <= static_cast<std::size_t>(std::numeric_limits<int>::max());
    if (!fits || !in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return tl::unexpected(codec_error::Malformed);
    }
    switch (in.body_case()) {
    case wire::envelope::kHeartbeat:
        return readHeartbeat(in.heartbeat());
    case wire::envelope::kChangeRequest:
        return change_request {in.change_request().since()};
    case wire::envelope::kChangeSet:
        return read(in.change_set());
    case wire::envelope::kQuotaRequest:
        return read(in.quota_request());
    case wire::envelope::kQuotaGrant:
        return read(in.quota_grant());
    case wire::envelope::BODY_NOT_SET:
        break;
    }
    return tl::unexpected(codec_error::MissingField);
}

} // namespace sequoiawharf
