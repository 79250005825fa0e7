#include "sequoiawharf/memory_budget.h"

#include "tests/property.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>
#include <vector>

namespace sequoiawharf
{

namespace
{

using std::chrono::milliseconds;
using use = memory_budget::use;

constexpr mono_time kBudgetNow {std::chrono::hours(1)};

class memory_budget_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(memory_budget_test);
    CPPUNIT_TEST(smallCallsHaveAReservedPart);
    CPPUNIT_TEST(threadsNeverExceedTheLimit);
    CPPUNIT_TEST(largestRequestDoesNotWrapAround);
    CPPUNIT_TEST(endsTheBodyWithTheLeastProgress);
    CPPUNIT_TEST(endsNoMoreThanNeeded);
    CPPUNIT_TEST(sparesBodiesThatArrive);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against large bodies that leave no memory for ordinary calls.
    void smallCallsHaveAReservedPart()
    {
        memory_budget budget(800);
        CPPUNIT_ASSERT(budget.tryReserve(700, use::Large));
        CPPUNIT_ASSERT(!budget.tryReserve(1, use::Large));
        CPPUNIT_ASSERT(budget.tryReserve(100, use::Small));
        CPPUNIT_ASSERT(!budget.tryReserve(1, use::Small));
        budget.release(101);
        CPPUNIT_ASSERT(budget.tryReserve(1, use::Large));
        CPPUNIT_ASSERT_EQUAL(std::size_t {700}, budget.held());
    }

    // Guards against a check and an addition that other threads can come between.
    void threadsNeverExceedTheLimit()
    {
        memory_budget budget(1000);
        std::atomic<bool> isExceeded {false};
        std::vector<std::thread> threads;
        threads.reserve(4);
        for (int i = 0; i < 4; ++i) {
            threads.emplace_back([&] {
                for (int round = 0; round < 20'000; ++round) {
                    if (budget.tryReserve(300, use::Small)) {
                        isExceeded = isExceeded || budget.held() > budget.limit();
                        budget.release(300);
                    }
                }
            });
        }
        for (auto &thread : threads) {
            thread.join();
        }
        CPPUNIT_ASSERT(!isExceeded);
        CPPUNIT_ASSERT_EQUAL(std::size_t {0}, budget.held());
    }

    // Guards against a sum that overflows and appears small.
    void largestRequestDoesNotWrapAround()
    {
        memory_budget budget(800);
        CPPUNIT_ASSERT(budget.tryReserve(1, use::Small));
        CPPUNIT_ASSERT(!budget.tryReserve(SIZE_MAX, use::Small));
    }

    // Guards against ending a body that arrives while others only hold memory.
    void endsTheBodyWithTheLeastProgress()
    {
        const std::vector<body_progress> bodies {
            {.heldBytes = 10, .receivedBytes = 5, .lastByte = kBudgetNow - milliseconds(700)},
            {.heldBytes = 10, .receivedBytes = 9, .lastByte = kBudgetNow - milliseconds(900)},
            {.heldBytes = 10, .receivedBytes = 2, .lastByte = kBudgetNow - milliseconds(900)},
        };
        CPPUNIT_ASSERT(bodiesToEnd(bodies, 1, kBudgetNow) == std::vector<std::size_t> {2});
        CPPUNIT_ASSERT((bodiesToEnd(bodies, 11, kBudgetNow) == std::vector<std::size_t> {2, 1}));
    }

    // Guards against ending all bodies for one call that waits, and against ending any while none waits.
    void endsNoMoreThanNeeded()
    {
        testing::checkProperty("the last body that is ended is needed", [](const std::vector<unsigned char> &sizes, unsigned char wanted) {
            std::vector<body_progress> bodies;
            bodies.reserve(sizes.size());
            for (const auto size : sizes) {
                bodies.push_back({.heldBytes = size, .receivedBytes = size, .lastByte = kBudgetNow - milliseconds(500 + size)});
            }
            const auto ended = bodiesToEnd(bodies, wanted, kBudgetNow);
            std::size_t freed = 0;
            for (const auto index : ended) {
                RC_ASSERT(freed < wanted);
                freed += bodies[index].heldBytes;
            }
        });
    }

    // Guards against ending bodies that are still arriving, and bodies whose end frees nothing.
    void sparesBodiesThatArrive()
    {
        const std::vector<body_progress> bodies {
            {.heldBytes = 10, .receivedBytes = 5, .lastByte = kBudgetNow - milliseconds(499)},
            {.heldBytes = 0, .receivedBytes = 0, .lastByte = kBudgetNow - milliseconds(9000)},
        };
        CPPUNIT_ASSERT(bodiesToEnd(bodies, 100, kBudgetNow).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(memory_budget_test);

} // namespace

} // namespace sequoiawharf
