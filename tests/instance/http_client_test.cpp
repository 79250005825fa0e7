#include "src/shell/net/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;
namespace asio = boost::asio;

class http_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_client_test);
    CPPUNIT_TEST(aLongPollThatCannotConnectIsGivenUpSoon);
    CPPUNIT_TEST_SUITE_END();

public:
    // The pattern: the store falls silent for seconds. A poll that began meanwhile hung until its own wait was over, long after the store's return.
    void aLongPollThatCannotConnectIsGivenUpSoon()
    {
        asio::io_context context;
        asio::ip::tcp::acceptor listener(context);
        const asio::ip::tcp::endpoint address(asio::ip::make_address("127.16.0.3"), 0);
        listener.open(address.protocol());
        listener.bind(address);
        listener.listen(0);
        // Nobody accepts: the queue is full now, and openings are dropped.
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_client_test);

} // namespace

} // namespace sequoiawharf
