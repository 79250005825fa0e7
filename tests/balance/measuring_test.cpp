#include "sequoiawharf/measuring_budget.h"
#include "sequoiawharf/page_reader_plan.h"
#include "tests/balance/pool_rig.h"
#include "tests/property.h"

#include <algorithm>
#include <map>
#include <set>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;
using namespace testing;

constexpr mono_time kStart {std::chrono::hours(1)};

struct admitted_message {
    mono_time at;
    std::uint64_t bytes = 0;
};

pool_table makePools(unsigned endpoints)
{
    auto definition = pool_rig(endpoints).definition;
    definition.name = pool_name("p");
    definition.loadPath = "/load";
    return pool_table({definition});
}

std::vector<instance_id> makeInstances(unsigned count)
{
    std::vector<instance_id> instances;
    instances.reserve(count);
    for (unsigned i = 0; i < count; ++i) {
        instances.emplace_back("n" + std::to_string(i));
    }
    return instances;
}

class measuring_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(measuring_test);
    CPPUNIT_TEST(budgetHoldsOverAnyWindow);
    CPPUNIT_TEST(countsByKind);
    CPPUNIT_TEST(balancesWithoutMeasuring);
    CPPUNIT_TEST(eachPageHasTwoReaders);
    CPPUNIT_TEST(losingAReaderMovesOnlyItsPages);
    CPPUNIT_TEST(readsInTurnAtBoundedRate);
    CPPUNIT_TEST_SUITE_END();

public:
    void budgetHoldsOverAnyWindow()
    {
        checkProperty("messages and bytes of any window stay within rate * (t + 1)", [] {
            const measuring_limits limits {*rc::gen::inRange<std::uint64_t>(0, 5000), *rc::gen::inRange(0U, 30U)};
            measuring_budget budget(limits, kStart);
            std::vector<admitted_message> admitted;
            auto now = kStart;
            for (const auto step : *rc::gen::container<std::vector<unsigned>>(60, rc::gen::inRange(0U, 400U))) {
                now += std::chrono::milliseconds(step);
                const auto bytes = 10 + step;
                if (budget.take(measuring_kind::LoadPage, bytes + 50, now)) {
                    budget.refund(measuring_kind::LoadPage, 50);
                    admitted.push_back({now, bytes});
                }
            }
            for (auto first = admitted.begin(); first != admitted.end(); ++first) {
                double bytes = 0;
                double messages = 0;
                std::for_each(first, admitted.end(), [&](const admitted_message &message) {
                    bytes += static_cast<double>(message.bytes);
                    messages += 1;
                    const auto window = 1 + std::chrono::duration<double>(message.at - first->at).count();
                    RC_ASSERT(bytes <= static_cast<double>(limits.bytesPerSecond) * window + 1e-6);
                    RC_ASSERT(messages <= limits.messagesPerSecond * window + 1e-6);
                });
            }
        });
    }

    void countsByKind()
    {
        measuring_budget budget({1000, 2}, kStart);
        CPPUNIT_ASSERT(budget.take(measuring_kind::LoadPage, 600, kStart));
        budget.refund(measuring_kind::LoadPage, 200);
        CPPUNIT_ASSERT(budget.take(measuring_kind::SharedReport, 600, kStart));
        CPPUNIT_ASSERT(!budget.take(measuring_kind::SharedReport, 1, kStart));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {400}, budget.bytes(measuring_kind::LoadPage));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {1}, budget.messages(measuring_kind::SharedReport));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {1}, budget.refusals(measuring_kind::SharedReport));
    }

    // With no report and no load on answers, own calls alone spread the load and avoid a straggler.
    void balancesWithoutMeasuring()
    {
        pool_rig rig(10);
        const auto behaviour = [](std::uint32_t i) {
            return answered(i == 0 ? 100ms : 10ms);
        };
        rig.run(2000, 1ms, behaviour);
        const auto counts = rig.run(9000, 1ms, behaviour);
        CPPUNIT_ASSERT(counts[0] < 100);
        const auto [least, most] = std::minmax_element(counts.begin() + 1, counts.end());
        CPPUNIT_ASSERT(*most < *least + *least / 4);
    }

    void eachPageHasTwoReaders()
    {
        const auto pools = makePools(40); // 20 in each data centre
        const auto live = makeInstances(8);
        std::map<host_port, unsigned> readers;
        std::ranges::for_each(live, [&](const instance_id &self) {
            page_reader_plan plan;
            plan.set(pools, self, data_centre_id("a"), live);
            std::ranges::for_each(plan.pages(), [&](const load_page &page) {
                ++readers[page.address];
            });
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t {20}, readers.size());
        CPPUNIT_ASSERT(std::ranges::all_of(readers, [](const auto &entry) {
            return entry.second == page_reader_plan::kReaders;
        }));
    }

    void losingAReaderMovesOnlyItsPages()
    {
        const auto pools = makePools(40);
        auto live = makeInstances(8);
        const auto pagesOf = [&](const instance_id &self) {
            page_reader_plan plan;
            plan.set(pools, self, data_centre_id("a"), live);
            return plan.pages();
        };
        const auto before = pagesOf(live[0]);
        live.pop_back();
        const auto after = pagesOf(live[0]);
        CPPUNIT_ASSERT(std::ranges::all_of(before, [&](const load_page &page) {
            return std::ranges::find(after, page) != after.end();
        }));
    }

    void readsInTurnAtBoundedRate()
    {
        page_reader_plan plan;
        CPPUNIT_ASSERT(!plan.next(kStart));
        plan.set(makePools(6), instance_id("n0"), data_centre_id("a"), {});
        std::set<host_port> read;
        while (const auto page = plan.next(kStart)) {
            CPPUNIT_ASSERT(read.insert(page->address).second);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t {3}, read.size());
        CPPUNIT_ASSERT(!plan.next(kStart + 99ms));
        CPPUNIT_ASSERT(plan.next(kStart + 100ms).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(measuring_test);

} // namespace

} // namespace sequoiawharf
