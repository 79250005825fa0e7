#include "src/shell/peer/peer_client.h"

#include "src/shell/peer/peer_connection.h"
#include "src/shell/peer/peer_stream.h"

#include <fmt/format.h>
#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <ranges>

namespace sequoiawharf
{

namespace
{

namespace asio = boost::asio;
using clock = std::chrono::steady_clock;
using request_result = tl::expected<std::string, peer_error>;

constexpr std::size_t kMaxAnswerBytes = 8U << 20U;
constexpr std::chrono::seconds kPeerIdleTimeout {120};

asio::awaitable<request_result> readAnswer(peer_stream &stream, mono_time until)
{
    const bool headReceived = co_await stream.awaitHead(until);
    if (!headReceived) {
        co_return tl::unexpected(stream.state() == stream_state::Refused ? peer_error::NotSent : peer_error::Lost);
    }
    std::string body;
    std::array<char, 8192> buffer {};
    while (true) {
        const auto size = co_await stream.read(buffer, until);
        if (!size || body.size() > kMaxAnswerBytes) {
            co_return tl::unexpected(peer_error::Lost);
        }
        if (*size == 0) {
            break;
        }
        body.append(buffer.data(), *size);
    }
    if (findHeader(stream.head(), ":status") != "200") {
        co_return tl::unexpected(peer_error::Refused);
    }
    co_return body;
}

} // namespace

peer_client::peer_client(std::shared_ptr<peer_traffic> traffic)
    : m_traffic(std::move(traffic))
{
}

peer_client::~peer_client()
{
    close(false);
}

asio::awaitable<request_result> peer_client::request(host_port peer, std::string body, std::chrono::milliseconds timeout, std::chrono::milliseconds pingAfter)
{
    const auto until = clock::now() + timeout;
    auto &slot = m_connections[peer];
    if (!slot) {
        slot = std::make_shared<peer_connection>(peer, m_traffic);
    }
    const auto connection = slot;
    const auto session = co_await connection->get(until, pingAfter);
    const header_list head {{":method", "POST"}, {":scheme", "http"}, {":authority", "peer"}, {":path", "/control"}};
    const auto opened = clock::now();
    const auto stream = session ? session->open(head, true) : nullptr;
    if (!stream) {
        co_return tl::unexpected(peer_error::NotSent);
    }
    if (!body.empty()) {
        co_await stream->write(body, until);
    }
    stream->finish();
    auto answer = co_await readAnswer(*stream, until);
    if (!answer) {
        stream->reset(NGHTTP2_CANCEL);
    }
    if (!answer && session->lastReceived() <= opened) {
        session->closeSilent();
    }
    co_return answer;
}

void peer_client::closeIdle(mono_time now)
{
    std::erase_if(m_connections, [&](const auto &entry) {
        const bool idle = now - entry.second->lastUsed() > kPeerIdleTimeout;
        if (idle) {
            entry.second->close(true);
        }
        return idle;
    });
}

void peer_client::close(bool graceful)
{
    std::ranges::for_each(m_connections | std::views::values, [&](const auto &connection) {
        connection->close(graceful);
    });
}

} // namespace sequoiawharf
