#include "src/shell/net/url_query.h"

#include "src/shell/net/http_client.h"
#include "src/shell/net/page_server.h"
#include "tests/property.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace sequoiawharf
{

namespace
{

class url_query_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(url_query_test);
    CPPUNIT_TEST(valuesOfAnyBytesArriveUnchanged);
    CPPUNIT_TEST(queriesAreParsedAsUrlsAre);
    CPPUNIT_TEST(malformedRequestsAreAnsweredWith400);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a value that ends its parameter early, adds another one or breaks the request line.
    void valuesOfAnyBytesArriveUnchanged()
    {
        testing::checkProperty("a formatted query is parsed into the same parameters", [] {
            const auto values = *rc::gen::arbitrary<std::map<std::string, std::string>>();
            const auto target = formatTarget("/p", {values.begin(), values.end()});
            RC_ASSERT(std::ranges::all_of(target, [](char c) {
                return c > ' ' && c < '\x7f' && c != '#';
            }));
            RC_ASSERT(target.starts_with(values.empty() ? "/p" : "/p?"));
            RC_ASSERT(parseQuery(target.substr(std::min(target.size(), std::size_t {3}))) == values);
        });
        CPPUNIT_ASSERT_EQUAL(std::string("/p?list=a.b&after=a%20%26%2B%23%25%0D"), formatTarget("/p", {{"list", "a.b"}, {"after", "a &+#%\r"}}));
        CPPUNIT_ASSERT_EQUAL(std::string("/p?after="), formatTarget("/p", {{"after", ""}}));
    }

    void queriesAreParsedAsUrlsAre()
    {
        using parameters = std::map<std::string, std::string>;
        CPPUNIT_ASSERT(parseQuery("") == parameters {});
        CPPUNIT_ASSERT(parseQuery("a=b+c%2B&&d&e=f=g#h&i=j") == (parameters {{"a", "b c+"}, {"d", ""}, {"e", "f=g"}}));
        CPPUNIT_ASSERT(parseQuery("a=1&a=2") == (parameters {{"a", "1"}}));
        for (const auto *text : {"a=%", "a=%4", "a=%4g", "%zz=a", "a=b&c=%%"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !parseQuery(text));
        }
    }

    void malformedRequestsAreAnsweredWith400()
    {
        CPPUNIT_ASSERT_EQUAL(200U, statusOf("/p?a=b"));
        for (const auto *target : {"/p?a=%4", "/p?a=b c", "/p?a=b\r", "/p?a=\x01"}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(target, 400U, statusOf(target));
        }
    }

private:
    // Returns the status with which a page server answers a request for the target, or 0 when it does not answer.
    static unsigned statusOf(const std::string &target)
    {
        boost::asio::io_context context(1);
        page_server pages(context);
        pages.addDefault([](const page_request & /*request*/) -> boost::asio::awaitable<page_answer> {
            co_return page_answer {};
        });
        CPPUNIT_ASSERT(pages.start({"127.16.0.6", 0}).has_value());
        unsigned status = 0;
        boost::asio::co_spawn(
            context,
            [&]() -> boost::asio::awaitable<void> {
                http_request request;
                request.server = {"127.16.0.6", pages.port()};
                request.path = target;
                const auto answer = co_await fetch(std::move(request), std::chrono::seconds(5));
                status = answer ? answer->status : 0;
                context.stop();
            },
            boost::asio::detached);
        context.run();
        return status;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(url_query_test);

} // namespace

} // namespace sequoiawharf
