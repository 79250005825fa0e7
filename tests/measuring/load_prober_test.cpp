#include "src/shell/measuring/load_prober.h"

#include "sequoiawharf/routing.h"
#include "src/shell/measuring/load_page_format.h"
#include "src/shell/net/page_server.h"
#include "tests/property.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;

constexpr auto kMaxWait = 10s;

/// A target with a load page, and a prober that reads it.
class prober_rig
{
public:
    explicit prober_rig(const measuring_limits &limits)
        : m_server(m_context)
        , budget(limits, std::chrono::steady_clock::now())
        , m_prober(m_context, budget, [this] {
            return m_routing;
        })
    {
        m_server.add("/load", [this](const page_request &) -> boost::asio::awaitable<page_answer> {
            ++requests;
            co_return page_answer {status, "application/json", page};
        });
        CPPUNIT_ASSERT(m_server.start({"127.40.0.1", 0}).has_value());
        pool definition;
        definition.name = pool_name("p");
        definition.loadPath = "/load";
        definition.endpoints = {{{"127.40.0.1", m_server.port()}, data_centre_id("a"), false}};
        auto config = std::make_shared<configuration>();
        config->pools = pool_table({definition});
        const locality location {instance_id("n1"), data_centre_id("a"), {}, 1};
        m_routing = std::make_shared<const routing>(config, location, makeSelectionPolicy("adaptive"), routing {}, std::chrono::steady_clock::now());
        m_prober.setPages(config->pools, location.self, location.dataCentre, {location.self});
        m_prober.start();
    }

    // Runs the context until the condition holds or kMaxWait has passed. Returns whether the condition holds.
    bool runUntil(const std::function<bool()> &condition)
    {
        const auto end = std::chrono::steady_clock::now() + kMaxWait;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            m_context.run_one_for(100ms);
        }
        return condition();
    }

    endpoint_state &target() const
    {
        return m_routing->find(pool_name("p"))->at(0);
    }
    std::vector<endpoint_report> reports()
    {
        return m_prober.recentReports(std::chrono::steady_clock::now());
    }

    std::string page = R"({"state":"active","in_flight":4,"queued":2,"slots":4})";
    unsigned status = 200;
    unsigned requests = 0;

private:
    boost::asio::io_context m_context;
    page_server m_server;

public:
    measuring_budget budget;

private:
    std::shared_ptr<const routing> m_routing;
    load_prober m_prober;
};

class load_prober_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_prober_test);
    CPPUNIT_TEST(readsPages);
    CPPUNIT_TEST(marksLeaving);
    CPPUNIT_TEST(zeroBudgetReadsNothing);
    CPPUNIT_TEST(ignoresFaultyPages);
    CPPUNIT_TEST(parsesPages);
    CPPUNIT_TEST_SUITE_END();

public:
    void readsPages()
    {
        prober_rig rig({100'000, 1000});
        CPPUNIT_ASSERT(rig.runUntil([&] {
            return rig.target().reportLoad.load() != 0 && rig.requests >= 2;
        }));
        const auto reports = rig.reports();
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, reports.size());
        CPPUNIT_ASSERT_EQUAL(1.5F, reports[0].report.load.value());
        CPPUNIT_ASSERT(reports[0].report.age >= 0ns);
        CPPUNIT_ASSERT(rig.budget.messages(measuring_kind::LoadPage) >= 2);
        CPPUNIT_ASSERT(rig.budget.bytes(measuring_kind::LoadPage) > 0);
    }

    void marksLeaving()
    {
        prober_rig rig({100'000, 1000});
        rig.page = R"({"state":"leaving"})";
        CPPUNIT_ASSERT(rig.runUntil([&] {
            return rig.target().leavingSinceNs.load() != 0;
        }));
    }

    void zeroBudgetReadsNothing()
    {
        for (const auto &limits : {measuring_limits {0, 100}, measuring_limits {100'000, 0}}) {
            prober_rig rig(limits);
            unsigned turns = 0;
            rig.runUntil([&] {
                return ++turns > 10;
            });
            CPPUNIT_ASSERT_EQUAL(0U, rig.requests);
        }
    }

    void ignoresFaultyPages()
    {
        prober_rig rig({1'000'000, 1000});
        const auto readAnother = [&] {
            const auto before = rig.requests;
            return rig.runUntil([&] {
                return rig.requests > before + 1;
            });
        };
        for (const auto &body : {std::string("busy"), std::string("{}"), std::string(100'000, '{')}) {
            rig.page = body;
            CPPUNIT_ASSERT(readAnother());
        }
        rig.page = R"({"state":"leaving"})";
        rig.status = 500;
        CPPUNIT_ASSERT(readAnother());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {0}, rig.target().reportLoad.load());
        CPPUNIT_ASSERT_EQUAL(std::int64_t {0}, rig.target().leavingSinceNs.load());
    }

    void parsesPages()
    {
        CPPUNIT_ASSERT(parseLoadPage(R"({"state":"starting","in_flight":2})", 4)->state == reported_state::Starting);
        CPPUNIT_ASSERT_EQUAL(0.5F, parseLoadPage(R"({"state":"active","in_flight":2})", 4)->load.value());
        CPPUNIT_ASSERT(!parseLoadPage(R"({"state":"active"})", 4)->load.has_value());
        CPPUNIT_ASSERT(parseLoadPage("[]", 4).error() == load_page_error::NotJson);
        CPPUNIT_ASSERT(parseLoadPage(R"({"state":"fine"})", 4).error() == load_page_error::NoState);
        for (const auto *page : {R"({"state":"active","in_flight":-1})",
                                 R"({"state":"active","in_flight":"2"})",
                                 R"({"state":"active","slots":0})",
                                 R"({"state":"active","in_flight":1e300})"}) {
            CPPUNIT_ASSERT_MESSAGE(page, parseLoadPage(page, 4).error() == load_page_error::BadNumber);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_prober_test);

} // namespace

} // namespace sequoiawharf
