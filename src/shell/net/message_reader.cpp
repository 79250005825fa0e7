#include "src/shell/net/message_reader.h"

#include "src/shell/net/header_check.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::size_t kHeaderReadBytes = 4096;
constexpr std::size_t kBodyReadBytes = 64U << 10U;
constexpr std::size_t kIdleBufferBytes = 8192; // largest buffer that an idle connection keeps
constexpr std::string_view kHeaderEnd = "\r\n\r\n";
constexpr unsigned kMaxEmptyLines = 4; // before a message; some old clients send one after a body
constexpr std::string_view kLineEnd = "\r\n";

std::string_view viewOf(const boost::beast::flat_buffer &buffer)
{
    return {static_cast<const char *>(buffer.data().data()), buffer.size()};
}

tl::unexpected<message_fault> malformed(std::string_view why)
{
    return tl::unexpected(message_fault {message_fault::kind::Malformed, why});
}

tl::unexpected<message_fault> lost()
{
    return tl::unexpected(message_fault {message_fault::kind::Lost, "the connection was lost"});
}

// Returns whether a line feed without a preceding carriage return follows the position. Such a header might never show the end that fillHeader()
// searches for.
bool hasBareLineFeed(std::string_view text, std::size_t from)
{
    for (auto position = text.find('\n', from); position != std::string_view::npos; position = text.find('\n', position + 1)) {
        if (position == 0 || text[position - 1] != '\r') {
            return true;
        }
    }
    return false;
}

} // namespace

message_reader::message_reader(asio::ip::tcp::socket &socket, boost::beast::flat_buffer &buffer, std::size_t headerLimit)
    : m_socket(socket)
    , m_buffer(buffer)
    , m_headerLimit(headerLimit)
{
}

message_awaitable<std::size_t> message_reader::readHeader(request_parser &parser)
{
    return readHeaderOf(parser);
}

message_awaitable<std::size_t> message_reader::readHeader(response_parser &parser)
{
    return readHeaderOf(parser);
}

message_awaitable<std::size_t> message_reader::readBody(request_parser &parser, std::span<char> piece)
{
    return readBodyOf(parser, piece);
}

message_awaitable<std::size_t> message_reader::readBody(response_parser &parser, std::span<char> piece)
{
    return readBodyOf(parser, piece);
}

void message_reader::shrink()
{
    if (m_buffer.size() == 0 && m_buffer.capacity() > kIdleBufferBytes) {
        m_buffer.clear();
        m_buffer.shrink_to_fit();
    }
}

// Reads up to the given number of bytes into the buffer and returns how many were read, or 0 when the peer has closed the connection.
message_awaitable<std::size_t> message_reader::fill(std::size_t bytes)
{
    boost::system::error_code error;
    const auto space = m_buffer.prepare(bytes);
    const auto count = co_await m_socket.async_read_some(space, asio::redirect_error(asio::use_awaitable, error));
    m_buffer.commit(count);
    if (error && error != asio::error::eof) {
        co_return lost();
    }
    co_return count;
}

// As fill(), but holds no more than the bytes received so far while it waits for more.
message_awaitable<std::size_t> message_reader::fillBody(std::size_t bytes)
{
    boost::system::error_code error;
    if (bytes > kIdleBufferBytes || m_buffer.capacity() > kIdleBufferBytes) {
        const auto available = m_socket.available(error);
        if (!error && available == 0) {
            m_buffer.shrink_to_fit();
            co_await m_socket.async_wait(asio::ip::tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
        }
        if (error) {
            co_return lost();
        }
    }
    co_return co_await fill(bytes);
}

// Reads until the buffer begins with a complete header section and returns the section's size in bytes.
message_awaitable<std::size_t> message_reader::fillHeader()
{
    std::size_t scanned = 0;
    unsigned emptyLines = 0;
    while (true) {
        while (scanned == 0 && viewOf(m_buffer).starts_with(kLineEnd)) {
            if (++emptyLines > kMaxEmptyLines) {
                co_return malformed("empty lines precede the message");
            }
            m_buffer.consume(kLineEnd.size());
        }
        const auto text = viewOf(m_buffer);
        const auto end = text.find(kHeaderEnd, scanned > kHeaderEnd.size() ? scanned - kHeaderEnd.size() : 0);
        if (end != std::string_view::npos && end + kHeaderEnd.size() <= m_headerLimit) {
            co_return end + kHeaderEnd.size();
        }
        if (text.size() >= m_headerLimit) {
            co_return tl::unexpected(message_fault {message_fault::kind::TooLarge, "the header is larger than allowed"});
        }
        if (hasBareLineFeed(text, scanned)) {
            co_return malformed("the header holds a bare line feed");
        }
        scanned = text.size();
        const auto count = co_await fill(kHeaderReadBytes);
        if (!count) {
            co_return lost();
        }
        if (*count == 0) {
            const auto kind = m_buffer.size() == 0 ? message_fault::kind::EndOfStream : message_fault::kind::Lost;
            co_return tl::unexpected(message_fault {kind, "the connection was closed"});
        }
    }
}

template<typename parser_type> message_awaitable<std::size_t> message_reader::readHeaderOf(parser_type &parser)
{
    parser.header_limit(static_cast<std::uint32_t>(m_headerLimit));
    parser.body_limit(boost::none);
    const auto size = co_await fillHeader();
    if (!size) {
        co_return size;
    }
    const auto fault = rawHeaderFault(viewOf(m_buffer).substr(0, *size));
    if (!fault.empty()) {
        co_return malformed(fault);
    }
    boost::system::error_code error;
    const auto used = parser.put(asio::buffer(m_buffer.data(), *size), error);
    m_buffer.consume(used);
    if (error || !parser.is_header_done()) {
        co_return malformed("the header is not valid HTTP");
    }
    co_return *size;
}

template<typename parser_type> message_awaitable<std::size_t> message_reader::readBodyOf(parser_type &parser, std::span<char> piece)
{
    auto &body = parser.get().body();
    body.data = piece.data();
    body.size = piece.size();
    body.more = true;
    while (!parser.is_done()) {
        boost::system::error_code error = http::error::need_more;
        if (m_buffer.size() > 0) {
            m_buffer.consume(parser.put(m_buffer.data(), error));
        }
        const auto produced = piece.size() - body.size;
        if (error && error != http::error::need_more && error != http::error::need_buffer) {
            co_return malformed("the body is not valid HTTP");
        }
        if (produced > 0) {
            co_return produced;
        }
        if (error != http::error::need_more) {
            continue;
        }
        if (m_buffer.size() >= m_headerLimit + kBodyReadBytes) {
            co_return malformed("a chunk's header is larger than allowed");
        }
        const auto count = co_await fillBody(std::clamp(piece.size(), kHeaderReadBytes, kBodyReadBytes));
        if (!count) {
            co_return lost();
        }
        if (*count == 0) {
            parser.put_eof(error);
            if (error) {
                co_return lost();
            }
        }
    }
    co_return std::size_t {0};
}

} // namespace sequoiawharf
