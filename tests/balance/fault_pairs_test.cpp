#include "tests/balance/pool_rig.h"
#include "tests/property.h"

#include <algorithm>
#include <array>
#include <string>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;
using namespace testing;

constexpr unsigned kPairEndpoints = 10;
constexpr unsigned kCalls = 3000;

enum class fault { Straggler, FailFast, Shed, Hang, ColdStart, IdleLie, FullLie, FailingLie, StaleReports, Leaving, Pause };

constexpr std::array kFaults {fault::Straggler,
                              fault::FailFast,
                              fault::Shed,
                              fault::Hang,
                              fault::ColdStart,
                              fault::IdleLie,
                              fault::FullLie,
                              fault::FailingLie,
                              fault::StaleReports,
                              fault::Leaving,
                              fault::Pause};

// Ten endpoints at about half their load, two of which have one fault each, or one of which has both.
class faulty_pool
{
public:
    faulty_pool(fault first, std::uint32_t at, fault second)
        : m_first(first)
        , m_secondAt(at)
        , m_second(second)
    {
    }

    void run(unsigned calls)
    {
        for (unsigned i = 0; i < calls / 10; ++i) {
            report(m_first, 0);
            report(m_second, m_secondAt);
            const auto counts = m_rig.run(10, 500us, [this](std::uint32_t endpoint) {
                return attempt(endpoint);
            });
            m_atLeaving += (m_first == fault::Leaving ? counts[0] : 0) + (m_second == fault::Leaving ? counts[m_secondAt] : 0);
        }
    }

    void pauseIfDue()
    {
        if (m_first == fault::Pause || m_second == fault::Pause) {
            m_rig.now += 20s;
        }
    }

    void forget()
    {
        m_slow = m_bad = m_atLeaving = 0;
    }

    unsigned slow() const
    {
        return m_slow;
    }
    unsigned bad() const
    {
        return m_bad;
    }
    unsigned atLeaving() const
    {
        return m_atLeaving;
    }

private:
    bool has(std::uint32_t endpoint, fault kind) const
    {
        return (endpoint == 0 && m_first == kind) || (endpoint == m_secondAt && m_second == kind);
    }

    // Endpoints serve 4 calls at once, 10 ms each.
    attempt_outcome attempt(std::uint32_t endpoint)
    {
        const auto calls = m_rig.at(endpoint).inFlight.load();
        if (has(endpoint, fault::FailFast) || has(endpoint, fault::Shed) || has(endpoint, fault::Hang)) {
            ++m_bad;
        }
        if (has(endpoint, fault::FailFast)) {
            return ended(attempt_end::ServerError, 100us);
        }
        if (has(endpoint, fault::Shed)) {
            return ended(attempt_end::Refused, 100us);
        }
        if (has(endpoint, fault::Hang)) {
            return ended(attempt_end::TimedOut, 1s);
        }
        const auto service = 10ms * (has(endpoint, fault::Straggler) ? 10 : 1) * (calls > 4 ? calls - 3 : 1);
        m_slow += service > 30ms ? 1 : 0;
        auto load = static_cast<float>(calls) / 4;
        load = has(endpoint, fault::IdleLie) ? 0 : load;
        load = has(endpoint, fault::FullLie) ? 100 : load;
        return answered(service, load);
    }

    void report(fault kind, std::uint32_t endpoint)
    {
        const auto &address = m_rig.addressOf(endpoint);
        switch (kind) {
        case fault::ColdStart:
            return m_rig.balancer().applyReport(address, {.state = reported_state::Starting}, m_rig.now);
        case fault::FailingLie:
            return m_rig.balancer().applyReport(address, {.state = reported_state::Failing}, m_rig.now);
        case fault::StaleReports: {
            const std::chrono::milliseconds age(1U << m_rig.random.below(14));
            return m_rig.balancer().applyReport(
                address, {.source = report_source::Shared, .load = static_cast<float>(m_rig.random.below(4)), .age = age}, m_rig.now);
        }
        case fault::Leaving:
            return m_rig.balancer().markLeaving(address, m_rig.now);
        default:
            return;
        }
    }

    fault m_first;
    std::uint32_t m_secondAt;
    fault m_second;
    pool_rig m_rig {kPairEndpoints};
    unsigned m_slow = 0;
    unsigned m_bad = 0;
    unsigned m_atLeaving = 0;
};

class fault_pairs_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fault_pairs_test);
    CPPUNIT_TEST(onTwoEndpoints);
    CPPUNIT_TEST(onOneEndpoint);
    CPPUNIT_TEST_SUITE_END();

public:
    void onTwoEndpoints()
    {
        forEachPair(1);
    }

    void onOneEndpoint()
    {
        forEachPair(0);
    }

private:
    static void forEachPair(std::uint32_t secondAt)
    {
        for (const auto first : kFaults) {
            for (const auto second : kFaults) {
                check(first, secondAt, second);
            }
        }
    }

    static void check(fault first, std::uint32_t secondAt, fault second)
    {
        const auto name = "faults " + std::to_string(static_cast<int>(first)) + " and " + std::to_string(static_cast<int>(second));
        faulty_pool pool(first, secondAt, second);
        pool.run(kCalls);
        pool.pauseIfDue();
        pool.run(kCalls);
        pool.forget();
        pool.run(kCalls);
        CPPUNIT_ASSERT_MESSAGE(name + ": bad " + std::to_string(pool.bad()), pool.bad() <= kCalls / 50);
        CPPUNIT_ASSERT_MESSAGE(name + ": slow " + std::to_string(pool.slow()), pool.slow() <= kCalls / 50);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 0U, pool.atLeaving());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fault_pairs_test);

} // namespace

} // namespace sequoiawharf
