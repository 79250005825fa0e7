#include "tools/link/link_relay.h"

#include "src/shell/net/page_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <vector>

namespace sequoiawharf::stand_in
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr std::size_t kBlockBytes = 4096;

/// A block of bytes in transit on a lane.
struct block_in_flight {
    std::vector<char> bytes; ///< Empty at the end of the stream.
    mono_time arrival;
};

} // namespace

/// Relays one connection across the simulated link between two regions.
class link_pipe
{
public:
    link_pipe(tcp::socket near, link_state &state)
        : m_near(std::move(near))
        , m_far(m_near.get_executor())
        , m_state(state)
        , m_serial(++state.serial)
    {
        m_state.pipes.insert(this);
    }
    ~link_pipe()
    {
        m_state.pipes.erase(this);
    }
    link_pipe(const link_pipe &) = delete;
    link_pipe &operator=(const link_pipe &) = delete;

    void close()
    {
        boost::system::error_code ignored;
        m_near.close(ignored);
        m_far.close(ignored);
    }

    asio::awaitable<void> run(std::shared_ptr<link_pipe> self, link_map map)
    {
        auto &out = map.reverse ? m_state.backward : m_state.forward;
        auto &back = map.reverse ? m_state.forward : m_state.backward;
        asio::steady_timer timer(m_near.get_executor());
        timer.expires_after(out.delay + back.delay);
        boost::system::error_code error;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        const tcp::endpoint server(asio::ip::make_address(map.server.host), map.server.port);
        co_await m_far.async_connect(server, asio::redirect_error(asio::use_awaitable, error));
        if (error || m_state.cut) {
            co_return close();
        }
        m_near.set_option(tcp::no_delay(true), error);
        m_far.set_option(tcp::no_delay(true), error);
        ++out.connections;
        asio::co_spawn(m_near.get_executor(), carry(self, m_near, m_far, out), asio::detached);
        asio::co_spawn(m_near.get_executor(), carry(self, m_far, m_near, back), asio::detached);
    }

private:
    struct delivery_queue {
        explicit delivery_queue(const asio::any_io_executor &executor)
            : wake(executor)
        {
        }
        std::deque<block_in_flight> blocks;
        asio::steady_timer wake;
    };

    bool silent() const
    {
        return m_serial <= m_state.silentUpTo;
    }

    // Reads at the lane's rate and queues each block for delivery after the lane's delay.
    asio::awaitable<void> carry(std::shared_ptr<link_pipe> self, tcp::socket &from, tcp::socket &to, link_lane &lane)
    {
        const auto queue = std::make_shared<delivery_queue>(from.get_executor());
        asio::co_spawn(from.get_executor(), deliver(self, queue, to), asio::detached);
        asio::steady_timer pace(from.get_executor());
        std::array<char, kBlockBytes> block;
        boost::system::error_code error;
        while (!error) {
            const auto size = co_await from.async_read_some(asio::buffer(block), asio::redirect_error(asio::use_awaitable, error));
            if (silent()) {
                continue;
            }
            const auto sentAt = lane.depart(size, std::chrono::steady_clock::now());
            queue->blocks.push_back({{block.begin(), block.begin() + static_cast<std::ptrdiff_t>(size)}, sentAt + lane.delay});
            queue->wake.cancel();
            pace.expires_at(sentAt);
            boost::system::error_code ignored;
            co_await pace.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        if (silent()) {
            co_return; // neither does the other side learn that this one has closed
        }
        queue->blocks.push_back({{}, std::chrono::steady_clock::now() + lane.delay});
        queue->wake.cancel();
    }

    asio::awaitable<void> deliver(std::shared_ptr<link_pipe> self, std::shared_ptr<delivery_queue> queue, tcp::socket &to)
    {
        boost::system::error_code error;
        while (!error) {
            while (queue->blocks.empty()) {
                queue->wake.expires_at(mono_time::max());
                co_await queue->wake.async_wait(asio::redirect_error(asio::use_awaitable, error));
            }
            auto next = std::move(queue->blocks.front());
            queue->blocks.pop_front();
            asio::steady_timer arrival(to.get_executor(), next.arrival);
            co_await arrival.async_wait(asio::redirect_error(asio::use_awaitable, error));
            if (next.bytes.empty()) {
                to.shutdown(tcp::socket::shutdown_send, error);
                co_return;
            }
            co_await asio::async_write(to, asio::buffer(next.bytes), asio::redirect_error(asio::use_awaitable, error));
        }
        self->close();
    }

    tcp::socket m_near;
    tcp::socket m_far;
    link_state &m_state;
    std::uint64_t m_serial;
};

namespace
{

asio::awaitable<void> acceptLoop(std::shared_ptr<tcp::acceptor> acceptor, link_state &state, link_map map)
{
    while (true) {
        boost::system::error_code error;
        auto socket = co_await acceptor->async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error || state.cut) {
            continue;
        }
        auto pipe = std::make_shared<link_pipe>(std::move(socket), state);
        auto *const raw = pipe.get();
        asio::co_spawn(acceptor->get_executor(), raw->run(std::move(pipe), map), asio::detached);
    }
}

} // namespace

void link_state::closeAll()
{
    std::ranges::for_each(pipes, [](link_pipe *pipe) {
        pipe->close();
    });
}

tl::expected<void, std::string> serveMap(asio::io_context &context, link_state &state, const link_map &map)
{
    auto acceptor = std::make_shared<tcp::acceptor>(context);
    auto listening = listenAt(*acceptor, map.listen);
    if (listening) {
        asio::co_spawn(context, acceptLoop(std::move(acceptor), state, map), asio::detached);
    }
    return listening;
}

} // namespace sequoiawharf::stand_in
