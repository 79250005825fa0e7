#include "src/shell/net/deflated.h"

#include <boost/beast/zlib.hpp>

#include <algorithm>

namespace sequoiawharf
{

namespace
{

namespace zlib = boost::beast::zlib;

constexpr std::size_t kPieceBytes = 64U << 10U;

} // namespace

std::string deflated(std::string_view text)
{
    zlib::deflate_stream stream;
    std::string out(stream.upper_bound(text.size()), '\0');
    zlib::z_params step;
    step.next_in = text.data();
    step.avail_in = text.size();
    step.next_out = out.data();
    step.avail_out = out.size();
    boost::system::error_code ended;
    stream.write(step, zlib::Flush::finish, ended);
    out.resize(step.total_out);
    return out;
}

std::optional<std::string> inflated(std::string_view bytes, std::size_t maxTextBytes)
{
    zlib::inflate_stream stream;
    std::string out;
    zlib::z_params step;
    step.next_in = bytes.data();
    step.avail_in = bytes.size();
    boost::system::error_code error;
    while (!error && out.size() <= maxTextBytes) {
        const auto before = out.size();
        out.resize(before + kPieceBytes);
        step.next_out = out.data() + before;
        step.avail_out = kPieceBytes;
        stream.write(step, zlib::Flush::sync, error);
        out.resize(before + kPieceBytes - step.avail_out);
        if (!error && out.size() == before) {
            return std::nullopt; // nothing more comes of these bytes
        }
    }
    const bool isWhole = error == zlib::error::end_of_stream && out.size() <= maxTextBytes;
    return isWhole ? std::optional(std::move(out)) : std::nullopt;
}

} // namespace sequoiawharf
