#include "src/shell/net/deflated.h"

#include <boost/beast/zlib.hpp>

#include <utility>

namespace sequoiawharf
{

namespace
{

namespace zlib = boost::beast::zlib;

constexpr std::size_t kPieceBytes = 64U << 10U;
constexpr char kPadding = 0;
constexpr std::size_t kMaxPlainBytes = 4096; // longer texts are compressed
constexpr char kCompressedPrefix = 'z'; // first byte of a compressed text; JSON begins with a brace or a bracket
constexpr std::size_t kMaxTextBytes = 16U << 20U;

zlib::z_params paramsOf(std::string_view input)
{
    zlib::z_params step;
    step.next_in = input.data();
    step.avail_in = input.size();
    return step;
}

// Appends up to kPieceBytes of the stream's output.
template<typename stream_type> void addPiece(stream_type &stream, zlib::Flush flush, zlib::z_params &step, std::string &out, boost::system::error_code &error)
{
    const auto before = out.size();
    out.resize(before + kPieceBytes);
    step.next_out = out.data() + before;
    step.avail_out = kPieceBytes;
    stream.write(step, flush, error);
    out.resize(before + kPieceBytes - step.avail_out);
}

} // namespace

std::string deflated(std::string_view text)
{
    zlib::deflate_stream stream;
    std::string out;
    auto step = paramsOf(text);
    boost::system::error_code error;
    while (error != zlib::error::end_of_stream) {
        addPiece(stream, zlib::Flush::finish, step, out, error);
    }
    return out;
}

std::optional<std::string> inflated(std::string_view bytes, std::size_t maxTextBytes)
{
    zlib::inflate_stream stream;
    std::string out;
    auto step = paramsOf(bytes);
    boost::system::error_code error;
    bool isPadded = false;
    while (!error && out.size() <= maxTextBytes) {
        const auto before = out.size();
        const auto left = step.avail_in;
        addPiece(stream, zlib::Flush::sync, step, out, error);
        const bool hasProgressed = out.size() > before || step.avail_in < left;
        if (!hasProgressed || (step.avail_in == 0 && isPadded)) {
            break; // the stream is truncated or damaged
        }
        if (step.avail_in == 0 && error != zlib::error::end_of_stream) {
            isPadded = true;
            // The inflater reports the end of the stream only when another byte follows.
            step.next_in = &kPadding;
            step.avail_in = 1;
            error = {};
        }
    }
    const bool isWhole = error == zlib::error::end_of_stream && out.size() <= maxTextBytes;
    return isWhole ? std::optional(std::move(out)) : std::nullopt;
}

std::string packedJson(std::string text)
{
    return text.size() > kMaxPlainBytes ? kCompressedPrefix + deflated(text) : std::move(text);
}

std::optional<std::string> unpackedJson(std::string_view bytes)
{
    return bytes.starts_with(kCompressedPrefix) ? inflated(bytes.substr(1), kMaxTextBytes) : std::optional(std::string(bytes));
}

} // namespace sequoiawharf
