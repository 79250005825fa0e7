#include "gateway_rig.h"

#include "src/shell/net/clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>

namespace sequoiawharf
{

namespace
{

using namespace testing;

constexpr std::string_view kKey = "Authorization: Bearer key-1\r\n";

/// The tokens of one organisation, which the test grants.
class fake_quotas : public quota_access
{
public:
    std::shared_ptr<quota_tokens> tokensOf(const organisation & /*caller*/) const override
    {
        return tokens;
    }
    boot_time grantsFrom() const override
    {
        return startEnd;
    }
    void requestTokens() override
    {
        ++requests;
    }
    void grant(std::uint32_t count) const
    {
        tokens->add(count, bootNow() + std::chrono::seconds(60), bootNow());
    }

    std::shared_ptr<quota_tokens> tokens = std::make_shared<quota_tokens>();
    std::atomic<int> requests {0};
    boot_time startEnd {}; ///< Set before the first call.
};

/// A gateway whose organisation "guild", with the key "key-1", has a quota.
class limited_rig
{
public:
    explicit limited_rig(const fake_target &target)
        : gateway({&target})
    {
        organisation entry;
        entry.name = organisation_name("guild");
        entry.keys = {"key-1"};
        entry.quota = {.perSecond = 10, .burst = 0};
        gateway.organisations = organisation_table({entry});
        gateway.quotas = &quotas;
        gateway.start();
    }

    fake_quotas quotas;
    gateway_rig gateway;
};

/// Guards against calls that are sent beyond the quota of their organisation, and against refusals of calls below it.
class quota_gate_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quota_gate_test);
    CPPUNIT_TEST(callsWithoutATokenAreRefusedUnrun);
    CPPUNIT_TEST(aCallWaitsForATokenThatIsOnItsWay);
    CPPUNIT_TEST(aCallAwaitsTheFirstTokensAfterAStart);
    CPPUNIT_TEST(anExhaustedOrganisationIsRefusedAtOnce);
    CPPUNIT_TEST(aCallThatWasNotRunGivesItsTokenBack);
    CPPUNIT_TEST(aRepeatThatMayRunTwiceTakesAToken);
    CPPUNIT_TEST_SUITE_END();

public:
    void callsWithoutATokenAreRefusedUnrun()
    {
        const fake_target target(alwaysAnswer("x"));
        limited_rig rig(target);
        rig.quotas.grant(3);
        test_caller caller(rig.gateway.address());
        for (int i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT_EQUAL(std::string("answered"), caller.call("POST", "/", "x", kKey).ending());
        }
        const auto refused = caller.call("POST", "/", "x", kKey);
        CPPUNIT_ASSERT_EQUAL(429U, refused.status);
        CPPUNIT_ASSERT_EQUAL(std::string("not-run quota-exceeded"), refused.endingAndReason());
        CPPUNIT_ASSERT_EQUAL(3, target.runs());
        CPPUNIT_ASSERT(rig.quotas.requests > 0);
    }

    void aCallWaitsForATokenThatIsOnItsWay()
    {
        const fake_target target(alwaysAnswer("x"));
        limited_rig rig(target);
        std::thread granting([&rig] {
            eventually([&rig] {
                return rig.quotas.requests > 0;
            });
            rig.quotas.grant(1);
            rig.gateway.server().tokensArrived();
        });
        test_caller caller(rig.gateway.address());
        const auto received = caller.call("POST", "/", "x", kKey);
        granting.join();
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), received.ending());
        CPPUNIT_ASSERT_EQUAL(0U, rig.quotas.tokens->waiting());
    }

    // When all instances have restarted, nothing is granted for the time of a loan. Refusals then, of which a caller follows one, lost most of its calls.
    void aCallAwaitsTheFirstTokensAfterAStart()
    {
        const fake_target target(alwaysAnswer("x"));
        limited_rig rig(target);
        rig.quotas.startEnd = bootNow() + std::chrono::milliseconds(1000);
        std::thread granting([&rig] {
            std::this_thread::sleep_for(std::chrono::milliseconds(900));
            rig.quotas.grant(1);
            rig.gateway.server().tokensArrived();
        });
        test_caller caller(rig.gateway.address());
        const auto received = caller.call("POST", "/", "x", kKey);
        granting.join();
        CPPUNIT_ASSERT_EQUAL(std::string("answered"), received.ending());
    }

    void anExhaustedOrganisationIsRefusedAtOnce()
    {
        const fake_target target(alwaysAnswer("x"));
        limited_rig rig(target);
        rig.quotas.tokens->setExhausted(bootNow() + std::chrono::seconds(60));
        test_caller caller(rig.gateway.address());
        CPPUNIT_ASSERT_EQUAL(429U, caller.call("POST", "/", "x", kKey).status);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the call must not wait", 0, rig.quotas.requests.load());
    }

    void aCallThatWasNotRunGivesItsTokenBack()
    {
        const fake_target target([](target_peer &peer) {
            while (!peer.readRequest().empty() && peer.answer("", "503 Service Unavailable")) { }
        });
        limited_rig rig(target);
        rig.quotas.grant(1);
        test_caller caller(rig.gateway.address());
        CPPUNIT_ASSERT_EQUAL(std::string("not-run"), caller.call("POST", "/", "x", kKey).ending());
        CPPUNIT_ASSERT_EQUAL(1U, rig.quotas.tokens->held(bootNow()));
    }

    // An idempotent call whose connection is lost may have run, so that sending it again counts as another call.
    void aRepeatThatMayRunTwiceTakesAToken()
    {
        for (const std::uint32_t tokens : {1U, 2U}) {
            std::atomic<bool> isFirst {true};
            const auto resetFirst = [&isFirst](target_peer &peer) {
                for (auto request = peer.readRequest(); !request.empty(); request = peer.readRequest()) {
                    if (isFirst.exchange(false)) {
                        return peer.reset();
                    }
                    peer.answer("x");
                }
            };
            const fake_target one(resetFirst);
            const fake_target other(resetFirst);
            limited_rig rig(one);
            rig.gateway.targetPool.endpoints.push_back({{"127.10.1.1", other.port()}, data_centre_id("a"), false});
            rig.gateway.start();
            rig.quotas.grant(tokens);
            test_caller caller(rig.gateway.address());
            const auto received = caller.call("GET", "/", {}, kKey);
            CPPUNIT_ASSERT_EQUAL(std::string(tokens == 1 ? "unknown" : "answered"), received.ending());
            CPPUNIT_ASSERT_EQUAL(static_cast<int>(tokens), one.runs() + other.runs());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quota_gate_test);

} // namespace

} // namespace sequoiawharf
