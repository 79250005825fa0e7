#include "src/shell/net/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <chrono>
#include <string>
#include <string_view>
#include <thread>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;
namespace asio = boost::asio;

class http_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_client_test);
    CPPUNIT_TEST(longPollFailsSoonWhenItCannotConnect);
    CPPUNIT_TEST(lateAnswerOfALongPollMayArriveInParts);
    CPPUNIT_TEST(answerThatEndsWithAResetIsLost);
    CPPUNIT_TEST(answerWithAnInvalidStatusIsLost);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a long poll that starts while the store is unreachable for seconds and then hangs for its full wait, long after the store is back:
    // connecting needs a timeout of its own.
    void longPollFailsSoonWhenItCannotConnect()
    {
        asio::io_context context;
        asio::ip::tcp::acceptor listener(context);
        const asio::ip::tcp::endpoint address(asio::ip::make_address("127.16.0.3"), 0);
        listener.open(address.protocol());
        listener.bind(address);
        listener.listen(0);
        // Nothing accepts connections: the accept queue is full now, so the kernel drops further attempts.
        asio::ip::tcp::socket first(context);
        asio::ip::tcp::socket second(context);
        for (auto *const socket : {&first, &second}) {
            socket->async_connect(listener.local_endpoint(), [](const boost::system::error_code & /*error*/) { });
        }
        const auto begun = std::chrono::steady_clock::now();
        const auto answer = fetchNow({{"127.16.0.3", listener.local_endpoint().port()}, "GET", "/", {}}, 30s);
        CPPUNIT_ASSERT(!answer && answer.error() == http_error::NotSent);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begun < 3s);
    }

    // Guards against an answer that is cut off within its body because the wait for its first part counted towards the time of the transfer.
    void lateAnswerOfALongPollMayArriveInParts()
    {
        constexpr auto kWait = 21s; // longer than the longest transfer
        asio::io_context context;
        asio::ip::tcp::acceptor listener(context, {asio::ip::make_address("127.16.0.4"), 0});
        const auto port = listener.local_endpoint().port();
        std::thread server([&] {
            auto socket = listener.accept();
            std::array<char, 1024> request {};
            socket.read_some(asio::buffer(request));
            std::this_thread::sleep_for(kWait);
            asio::write(socket, asio::buffer(std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfirst")));
            std::this_thread::sleep_for(100ms);
            boost::system::error_code ignored;
            asio::write(socket, asio::buffer(std::string_view(" last")), ignored);
        });
        http_request request;
        request.server = {"127.16.0.4", port};
        request.stallTimeout = 1s;
        const auto answer = fetchNow(request, 30s);
        server.join();
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("first last"), answer->body);
    }

    // Guards against a page of the store or of an instance that is cut off by a reset and taken for complete: its end is that of the connection.
    void answerThatEndsWithAResetIsLost()
    {
        // With the long body, the write of the request is pending when the reset arrives.
        for (const std::size_t bodyBytes : {0U, 64U << 20U}) {
            const auto answer = fetchFrom("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart", true, bodyBytes);
            const auto what = std::to_string(bodyBytes) + (answer ? ": answered " + answer->body : ": failed");
            CPPUNIT_ASSERT_MESSAGE(what, !answer && answer.error() == http_error::Lost);
        }
        const auto whole = fetchFrom("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole", false, 0);
        CPPUNIT_ASSERT(whole && whole->body == "whole");
    }

    void answerWithAnInvalidStatusIsLost()
    {
        for (const std::string_view status : {"000", "099", "20", "2000", "600", "999"}) {
            const auto answer = fetchFrom("HTTP/1.1 " + std::string(status) + " OK\r\nContent-Length: 2\r\n\r\nab", false, 0);
            CPPUNIT_ASSERT_MESSAGE(std::string(status), !answer && answer.error() == http_error::Lost);
        }
    }

private:
    // Fetches from a server that reads the start of the request, sends the text and closes the connection, with a reset or in an orderly way.
    static tl::expected<http_answer, http_error> fetchFrom(const std::string &text, bool resets, std::size_t bodyBytes)
    {
        asio::io_context context;
        asio::ip::tcp::acceptor listener(context, {asio::ip::make_address("127.16.0.5"), 0});
        const auto port = listener.local_endpoint().port();
        std::thread server([&] {
            auto socket = listener.accept();
            std::array<char, 1024> request {};
            socket.read_some(asio::buffer(request));
            asio::write(socket, asio::buffer(text));
            std::this_thread::sleep_for(150ms);
            socket.set_option(asio::socket_base::linger(resets, 0));
            socket.close(); // the destructor would not reset
        });
        auto answer = fetchNow({{"127.16.0.5", port}, "POST", "/", std::string(bodyBytes, 'x')}, 5s);
        server.join();
        return answer;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_client_test);

} // namespace

} // namespace sequoiawharf
