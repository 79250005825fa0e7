#include "sequoiawharf/link_budget.h"
#include "sequoiawharf/link_share.h"
#include "tests/property.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t kShare = 250'000;

/// One piece on its way.
struct sent_piece {
    mono_time at;
    std::uint64_t bytes = 0;
};

/// Writes pieces of one class, each as soon as the one before has gone.
class fake_writer
{
public:
    fake_writer(link_budget &budget, route_class priority, mono_time start)
        : m_budget(budget)
        , m_priority(priority)
        , m_next(start)
    {
    }

    mono_time next() const
    {
        return m_next;
    }

    /// Sends a piece, or waits until it may try again.
    std::optional<sent_piece> tryWrite(std::uint64_t bytes)
    {
        const auto wait = m_budget.tryReserve(m_priority, bytes, m_next);
        m_next += wait;
        return wait == 0ns ? std::optional(sent_piece {m_next, bytes}) : std::nullopt;
    }

private:
    link_budget &m_budget;
    route_class m_priority;
    mono_time m_next;
};

class link_budget_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(link_budget_test);
    CPPUNIT_TEST(bulkNeverDelaysUrgent);
    CPPUNIT_TEST(neverExceedsTheShareInAnyWindow);
    CPPUNIT_TEST(bulkGetsItsPartWhenAlone);
    CPPUNIT_TEST(sharesSumToTheLink);
    CPPUNIT_TEST(idleRestIsLentAndTakenBack);
    CPPUNIT_TEST_SUITE_END();

public:
    void bulkNeverDelaysUrgent()
    {
        testing::checkProperty("an urgent piece waits no longer beside uploads than alone", [] {
            link_budget budget(kShare);
            const auto start = mono_time {} + 1h;
            const auto uploads = *rc::gen::inRange(1, 20);
            for (int i = 0; i < uploads; ++i) {
                fake_writer upload(budget, *rc::gen::arbitrary<bool>() ? route_class::Bulk : route_class::Normal, start);
                while (upload.next() < start + 1ms) {
                    upload.tryWrite(4096);
                }
            }
            RC_ASSERT(budget.tryReserve(route_class::Urgent, 1000, start + 1ms) == 0ns);
        });
    }

    void neverExceedsTheShareInAnyWindow()
    {
        testing::checkProperty("what is sent in any window is within the share and three pieces", [] {
            link_budget budget(kShare);
            const auto start = mono_time {} + 1h;
            std::vector<fake_writer> writers;
            const auto count = *rc::gen::inRange(1, 10);
            writers.reserve(static_cast<std::size_t>(count));
            for (int i = 0; i < count; ++i) {
                writers.emplace_back(budget, static_cast<route_class>(*rc::gen::inRange(0, 3)), start);
            }
            std::vector<sent_piece> sent;
            while (sent.size() < 400) {
                auto &writer = *std::ranges::min_element(writers, {}, &fake_writer::next);
                if (const auto piece = writer.tryWrite(static_cast<std::uint64_t>(*rc::gen::inRange(1, 4097)))) {
                    sent.push_back(*piece);
                }
            }
            for (std::size_t first = 0; first < sent.size(); first += 7) {
                std::uint64_t sum = 0;
                for (std::size_t last = first; last < sent.size(); ++last) {
                    sum += sent[last].bytes;
                    const auto seconds = std::chrono::duration<double>(sent[last].at - sent[first].at).count();
                    RC_ASSERT(static_cast<double>(sum) <= kShare * (seconds + 0.012) + 3 * 4096);
                }
            }
        });
    }

    void bulkGetsItsPartWhenAlone()
    {
        link_budget budget(kShare);
        fake_writer upload(budget, route_class::Bulk, mono_time {} + 1h);
        std::uint64_t bytes = 0;
        while (upload.next() < mono_time {} + 1h + 10s) {
            bytes += upload.tryWrite(4096) ? 4096 : 0;
        }
        CPPUNIT_ASSERT(bytes > kShare * 10 * 69 / 100 && bytes < kShare * 10 * 71 / 100);
    }

    void sharesSumToTheLink()
    {
        link_share share(3'750'000, 4096);
        const auto part = share.update(15, 0, 0);
        CPPUNIT_ASSERT(part * 15 + 15U * std::uint64_t {4096} <= 3'750'000 && part > 200'000);
        CPPUNIT_ASSERT_EQUAL(std::uint8_t {100}, share.percentOf(9'000'000));
        CPPUNIT_ASSERT_EQUAL(std::uint8_t {1}, share.percentOf(1));
    }

    void idleRestIsLentAndTakenBack()
    {
        link_share share(3'750'000, 4096);
        auto part = share.update(15, 0, 0);
        const auto equal = part;
        for (int i = 0; i < 60; ++i) {
            part = share.update(15, part, 0);
        }
        CPPUNIT_ASSERT(part > 3'000'000 && part <= 3'750'000);
        part = share.update(15, part, 95);
        CPPUNIT_ASSERT_EQUAL(equal, part);
        for (int i = 0; i < 60; ++i) {
            part = share.update(15, 0, 0);
        }
        CPPUNIT_ASSERT_EQUAL(equal, part);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(link_budget_test);

} // namespace

} // namespace sequoiawharf
