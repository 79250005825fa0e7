#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <tl/expected.hpp>

#include <cstddef>
#include <span>
#include <string_view>

namespace sequoiawharf
{

/// Why a message could not be read.
struct message_fault {
    enum class kind {
        EndOfStream, ///< The peer closed the connection before the first byte of a message.
        Lost, ///< The connection failed or was closed within the message.
        Malformed,
        TooLarge, ///< The header section is larger than allowed.
    };

    kind what = kind::Lost;
    std::string_view why; ///< Clause for log lines and answers, such as "the header folds a line". Has static storage duration.
};

using request_parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;
using response_parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

template<typename result> using message_awaitable = boost::asio::awaitable<tl::expected<result, message_fault>>;

/// Reads HTTP/1.1 messages from a connection in pieces of bounded size. Bytes that follow a message stay in the buffer. Not thread safe; used by one
/// coroutine at a time.
class message_reader
{
public:
    /// headerLimit: largest size of a header section in bytes. Precondition: socket and buffer outlive the reader.
    message_reader(boost::asio::ip::tcp::socket &socket, boost::beast::flat_buffer &buffer, std::size_t headerLimit);

    /// Reads and parses a complete header section and returns its size in bytes. Precondition: the parser has parsed nothing yet.
    message_awaitable<std::size_t> readHeader(request_parser &parser);
    message_awaitable<std::size_t> readHeader(response_parser &parser);

    /// Reads up to piece.size() bytes of the body and returns their number, or 0 at the end of the body. Preconditions: readHeader() succeeded; piece is not
    /// empty.
    message_awaitable<std::size_t> readBody(request_parser &parser, std::span<char> piece);
    message_awaitable<std::size_t> readBody(response_parser &parser, std::span<char> piece);

    /// Releases buffer memory beyond that of an idle connection. Does nothing while the buffer holds bytes.
    void shrink();

private:
    template<typename parser_type> message_awaitable<std::size_t> readHeaderOf(parser_type &parser);
    template<typename parser_type> message_awaitable<std::size_t> readBodyOf(parser_type &parser, std::span<char> piece);
    message_awaitable<std::size_t> fillHeader();
    message_awaitable<std::size_t> fill(std::size_t bytes);
    message_awaitable<std::size_t> fillBody(std::size_t bytes);

    boost::asio::ip::tcp::socket &m_socket;
    boost::beast::flat_buffer &m_buffer;
    std::size_t m_headerLimit;
};

} // namespace sequoiawharf
