#include "sequoiawharf/hybrid_clock.h"
#include "sequoiawharf/random_source.h"
#include "src/shell/timeline/event_recorder.h"
#include "src/timeline/event_query.h"
#include "src/timeline/event_ring.h"
#include "tests/property.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace
{

using namespace sequoiawharf;
using std::chrono::milliseconds;

wall_time wallAt(std::int64_t millis)
{
    return wall_time(milliseconds(millis));
}

event eventOf(call_id call, const std::string &detail)
{
    event entry;
    entry.call = call;
    entry.pool = "quotes";
    entry.detail = detail;
    return entry;
}

// Sends messages between two processes whose wall clocks jump back and forth. Each message carries the sender's reading.
void checkClocks()
{
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
    std::array<hybrid_clock, 2> clocks;
    std::array<hybrid_time, 2> last;
    std::int64_t wall = 1'000'000;
    for (const int step : steps) {
        const auto self = static_cast<std::size_t>(step % 2);
        wall += step - 500;
        const auto sent = clocks[self].tick(wallAt(wall));
        RC_ASSERT(sent > last[self]);
        last[self] = sent;
        RC_ASSERT(clocks[1 - self].observe(sent, wallAt(wall)));
        const auto received = clocks[1 - self].tick(wallAt(wall));
        RC_ASSERT(received > sent);
        RC_ASSERT(received > last[1 - self]);
        last[1 - self] = received;
    }
}

void checkPages()
{
    event entry = eventOf(*rc::gen::arbitrary<call_id>(), *rc::gen::arbitrary<std::string>());
    std::erase_if(entry.detail, [](char c) {
        return static_cast<unsigned char>(c) >= 0x80;
    });
    entry.time = {*rc::gen::inRange<std::int64_t>(0, 1'000'000), *rc::gen::inRange<std::uint32_t>(0, 65'536)};
    entry.kind = static_cast<event_kind>(*rc::gen::inRange(0, static_cast<int>(event_kind::StopEnded) + 1));
    const auto page = parseEvents(formatEvents({instance_id("a"), 3, {entry}}));
    RC_ASSERT(page && page->events.size() == 1 && page->dropped == 3);
    const auto &read = page->events.front();
    RC_ASSERT(read.time == entry.time && read.kind == entry.kind && read.call == entry.call);
    RC_ASSERT(read.pool == entry.pool && read.detail == entry.detail);
}

class timeline_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(timeline_test);
    CPPUNIT_TEST(clockIncreasesAndFollowsObservedReadings);
    CPPUNIT_TEST(clockIgnoresReadingsFarAhead);
    CPPUNIT_TEST(clockReadingsAreUniqueAcrossThreads);
    CPPUNIT_TEST(pagesRoundTrip);
    CPPUNIT_TEST(malformedPagesAreRejected);
    CPPUNIT_TEST(mergeOrdersByClockThenInstance);
    CPPUNIT_TEST(ringKeepsTheNewest);
    CPPUNIT_TEST(ringIsBoundedUnderThreads);
    CPPUNIT_TEST(recorderAnswersQueries);
    CPPUNIT_TEST_SUITE_END();

public:
    void clockIncreasesAndFollowsObservedReadings()
    {
        testing::checkProperty("readings increase and are after observed ones", checkClocks);
    }

    void clockIgnoresReadingsFarAhead()
    {
        hybrid_clock clock;
        const auto before = clock.tick(wallAt(1000));
        CPPUNIT_ASSERT(!clock.observe({1'000'000'000, 0}, wallAt(1000)));
        CPPUNIT_ASSERT(!clock.observe({-1, 0}, wallAt(1000)));
        CPPUNIT_ASSERT_EQUAL(before.wallMs, clock.tick(wallAt(1000)).wallMs);
    }

    void clockReadingsAreUniqueAcrossThreads()
    {
        constexpr std::size_t kReadings = 2000;
        hybrid_clock clock;
        std::array<std::vector<hybrid_time>, 4> readings;
        {
            std::vector<std::jthread> threads;
            threads.reserve(readings.size());
            for (auto &own : readings) {
                threads.emplace_back([&clock, &own] {
                    for (std::size_t i = 0; i < kReadings; ++i) {
                        own.push_back(clock.tick(wallAt(5000)));
                    }
                });
            }
        }
        std::vector<hybrid_time> all;
        for (const auto &own : readings) {
            CPPUNIT_ASSERT(std::ranges::is_sorted(own));
            all.insert(all.end(), own.begin(), own.end());
        }
        std::ranges::sort(all);
        CPPUNIT_ASSERT(std::ranges::adjacent_find(all) == all.end());
    }

    void pagesRoundTrip()
    {
        testing::checkProperty("a page reads back as it was written", checkPages);
    }

    void malformedPagesAreRejected()
    {
        CPPUNIT_ASSERT(!parseEvents(""));
        CPPUNIT_ASSERT(!parseEvents("[1,2]"));
        CPPUNIT_ASSERT(!parseEvents(R"({"events":7})"));
        const auto page = parseEvents(R"({"events":[3,{"kind":"none"},{"kind":"call-ended","wall_ms":"x","call":"zz"}]})");
        CPPUNIT_ASSERT(page && page->events.size() == 1);
        CPPUNIT_ASSERT(page->events.front().call == 0 && page->events.front().time == hybrid_time {});
        testing::checkProperty("arbitrary bytes do not crash the parser", [](const std::string &bytes) {
            (void)parseEvents(bytes);
        });
    }

    void mergeOrdersByClockThenInstance()
    {
        event_page first {instance_id("b"), 0, {eventOf(1, "late"), eventOf(2, "same")}};
        first.events[0].time = {10, 1};
        first.events[1].time = {5, 0};
        event_page second {instance_id("a"), 0, {eventOf(3, "same")}};
        second.events[0].time = {5, 0};
        const auto merged = mergeEvents({first, second});
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), merged.size());
        CPPUNIT_ASSERT_EQUAL(call_id(3), merged[0].entry.call);
        CPPUNIT_ASSERT_EQUAL(call_id(2), merged[1].entry.call);
        CPPUNIT_ASSERT_EQUAL(call_id(1), merged[2].entry.call);
    }

    void ringKeepsTheNewest()
    {
        event_ring ring(4);
        for (call_id call = 1; call <= 10; ++call) {
            auto entry = eventOf(call, "");
            entry.time = {static_cast<std::int64_t>(call), 0};
            ring.push(std::move(entry));
        }
        const auto kept = ring.snapshot();
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), kept.size());
        CPPUNIT_ASSERT_EQUAL(call_id(7), kept.front().call);
        CPPUNIT_ASSERT_EQUAL(call_id(10), kept.back().call);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), ring.dropped());
    }

    void ringIsBoundedUnderThreads()
    {
        constexpr std::size_t kEvents = 3000;
        event_ring ring(64);
        std::atomic<bool> done {false};
        std::jthread reader([&] {
            while (!done.load()) {
                CPPUNIT_ASSERT(ring.snapshot().size() <= 64);
            }
        });
        {
            std::vector<std::jthread> writers;
            writers.reserve(3);
            for (unsigned writer = 0; writer < 3; ++writer) {
                writers.emplace_back([&ring, writer] {
                    for (std::size_t i = 0; i < kEvents; ++i) {
                        ring.push(eventOf(writer + 1, std::string(40, static_cast<char>('a' + writer))));
                    }
                });
            }
        }
        done.store(true);
        reader.join();
        for (const auto &entry : ring.snapshot()) {
            CPPUNIT_ASSERT_EQUAL(std::string(40, static_cast<char>('a' + entry.call - 1)), entry.detail);
        }
    }

    void recorderAnswersQueries()
    {
        event_recorder recorder(instance_id("taipei-a-1"), 16);
        recorder.record(eventOf(0xab, "first"));
        recorder.record(eventOf(0xcd, "second"));
        page_request request;
        request.query = {{"call", "00000000000000cd"}, {"pool", "quotes"}, {"kind", "call-ended"}};
        const auto page = parseEvents(recorder.page(request).body);
        CPPUNIT_ASSERT(page && page->events.size() == 1);
        CPPUNIT_ASSERT_EQUAL(std::string("second"), page->events.front().detail);
        CPPUNIT_ASSERT_EQUAL(std::string("taipei-a-1"), page->instance.str());
        request.query = {{"since", "soon"}};
        CPPUNIT_ASSERT_EQUAL(400U, recorder.page(request).status);
        request.query = {{"kind", "none"}};
        CPPUNIT_ASSERT_EQUAL(400U, recorder.page(request).status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(timeline_test);

} // namespace
