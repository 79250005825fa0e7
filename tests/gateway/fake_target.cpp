#include "fake_target.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include <sys/socket.h>
#include <sys/time.h>

#include <array>

namespace sequoiawharf::testing
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr timeval kSocketTimeout {10, 0};
constexpr std::size_t kUploadStartBytes = 2000;

void setSocketTimeouts(asio::ip::tcp::socket &socket)
{
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &kSocketTimeout, sizeof(kSocketTimeout));
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &kSocketTimeout, sizeof(kSocketTimeout));
}

} // namespace

target_peer::target_peer(asio::ip::tcp::socket socket, std::atomic<int> &runs)
    : m_socket(std::move(socket))
    , m_runs(runs)
{
    setSocketTimeouts(m_socket);
}

std::string target_peer::readRequest()
{
    boost::system::error_code error;
    http::request_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    boost::beast::flat_buffer buffer;
    buffer.commit(asio::buffer_copy(buffer.prepare(m_unread.size()), asio::buffer(m_unread)));
    http::read(m_socket, buffer, parser, error);
    if (error) {
        return {};
    }
    m_unread.assign(static_cast<const char *>(buffer.data().data()), buffer.size());
    m_runs += 1;
    const auto message = parser.release();
    std::string text = fmt::format("{} {}\r\n", std::string(message.method_string()), std::string(message.target()));
    for (const auto &field : message) {
        text += fmt::format("{}: {}\r\n", std::string(field.name_string()), std::string(field.value()));
    }
    return text + "\r\n" + message.body();
}

std::string target_peer::readBytes(std::size_t count)
{
    std::string text(count, '\0');
    std::size_t filled = 0;
    while (filled < count) {
        const auto received = ::recv(m_socket.native_handle(), text.data() + filled, count - filled, 0);
        if (received <= 0) {
            break;
        }
        filled += static_cast<std::size_t>(received);
    }
    text.resize(filled);
    return text;
}

bool target_peer::send(std::string_view text)
{
    boost::system::error_code error;
    asio::write(m_socket, asio::buffer(text), error);
    return !error;
}

bool target_peer::answer(std::string_view body, std::string_view status, std::string_view extraFields)
{
    return send(fmt::format("HTTP/1.1 {}\r\n{}Content-Length: {}\r\n\r\n{}", status, extraFields, body.size(), body));
}

bool target_peer::waitForClose()
{
    std::array<char, 4096> ignored {};
    while (true) {
        const auto received = ::recv(m_socket.native_handle(), ignored.data(), ignored.size(), 0);
        if (received <= 0) {
            return received == 0 || errno == ECONNRESET;
        }
    }
}

void target_peer::finishSending()
{
    boost::system::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void target_peer::reset()
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
}

void target_peer::close()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

fake_target::fake_target(script behaviour, const std::string &host)
    : m_script(std::move(behaviour))
    , m_acceptor(m_context, {asio::ip::make_address(host), 0})
    , m_port(m_acceptor.local_endpoint().port())
    , m_thread([this] {
        acceptLoop();
    })
{
}

fake_target::~fake_target()
{
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    m_thread.join();
    for (auto &peer : m_peers) {
        peer.join();
    }
}

void fake_target::acceptLoop()
{
    while (true) {
        boost::system::error_code error;
        auto accepted = m_acceptor.accept(error);
        if (error) {
            return;
        }
        m_connections += 1;
        m_peers.emplace_back([this, socket = std::move(accepted)]() mutable {
            target_peer peer(std::move(socket), m_runs);
            m_script(peer);
        });
    }
}

std::string loadField(double utilisation)
{
    return fmt::format("endpoint-load-metrics: TEXT application_utilization={}\r\n", utilisation);
}

fake_target::script alwaysAnswer(std::string body)
{
    return [body = std::move(body)](target_peer &peer) {
        while (!peer.readRequest().empty() && peer.answer(body)) { }
    };
}

fake_target::script resetDuringUpload(std::string text)
{
    return [text = std::move(text)](target_peer &peer) {
        peer.readBytes(kUploadStartBytes);
        peer.send(text);
        std::this_thread::sleep_for(std::chrono::milliseconds(150));
        peer.reset();
    };
}

std::vector<std::string> invalidAnswers()
{
    std::vector<std::string> answers;
    for (const std::string_view status : {"000", "020", "099", "20", "2000", "600", "999", "-20", "2x0", ""}) {
        answers.push_back(fmt::format("HTTP/1.1 {} OK\r\nContent-Length: 2\r\n\r\nab", status));
    }
    using namespace std::string_literals;
    for (const auto &field :
         {"A b: c"s, "A : c"s, " A: c"s, ": c"s, "A\x01: c"s, "A\x7f: c"s, "A\x80: c"s, "A\0: c"s, "A\t: c"s, "A\r: c"s, "A(: c"s, "A@: c"s, "A"s}) {
        answers.push_back(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n{}\r\n\r\nab", field));
    }
    return answers;
}

} // namespace sequoiawharf::testing
