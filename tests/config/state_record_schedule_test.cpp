#include "sequoiawharf/state_record_schedule.h"
#include "tests/config/fake_log.h"
#include "tests/config/table_samples.h"
#include "tests/property.h"

namespace sequoiawharf
{

namespace
{

using namespace testing;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

struct writer {
    instance_id id;
    configuration_state state;
    state_record_schedule schedule;
    random_source random {1};
};

// Writers that follow one log, whose records expire by age or by number.
class writers
{
public:
    explicit writers(unsigned count)
    {
        for (unsigned i = 0; i < count; ++i) {
            m_live.emplace_back("n" + std::to_string(i));
            m_writers.push_back({m_live.back(), {}, state_record_schedule(), random_source(i + 1)});
        }
        log.append(publicationText("first", configuration(), simpleTables(4)));
    }

    // Lets one writer after the other look at the log; each reads on before the next one looks.
    void tick(milliseconds step)
    {
        log.advance(step);
        m_now += step;
        for (auto &entry : m_writers) {
            readAll(entry.state, log);
            const auto rank = writerRank(entry.id, m_live, entry.state.recoveryPoint().offset);
            if (entry.schedule.shouldWrite(entry.state, log.read(log.next(), 0), rank, m_now, entry.random)) {
                const auto text = encodeRecord(entry.state.makeStateRecord());
                entry.schedule.recordWritten(text.size(), m_now);
                log.append(text);
                ++recordWritten;
            }
        }
    }

    void expireOlderThan(std::chrono::milliseconds age)
    {
        const auto &all = log.everything();
        const auto young = std::ranges::find_if(all, [&](const log_record &record) {
            return record.time + age >= log.now();
        });
        log.expireBefore(static_cast<log_offset>(young - all.begin()) + 1);
    }

    bool freshReaderFindsState() const
    {
        configuration_state fresh;
        readAll(fresh, log);
        return !fresh.hasGap() && fresh.version() > 0;
    }

    fake_log log;
    unsigned recordWritten = 0;

private:
    std::vector<instance_id> m_live;
    std::vector<writer> m_writers;
    mono_time m_now {std::chrono::hours(1)};
};

class state_record_schedule_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(state_record_schedule_test);
    CPPUNIT_TEST(stateOutlivesAgeLimit);
    CPPUNIT_TEST(stateOutlivesCountLimit);
    CPPUNIT_TEST(writersTakeTurns);
    CPPUNIT_TEST(emptyLogIsFilledAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void stateOutlivesAgeLimit()
    {
        checkProperty("with records that expire by age the state can always be found, at a bounded cost", [] {
            const auto retention = minutes(*rc::gen::inRange(2, 120));
            writers fleet(*rc::gen::inRange(1U, 6U));
            constexpr int kRetentions = 6;
            constexpr int kTicksPerRetention = 30;
            for (int i = 0; i < kRetentions * kTicksPerRetention; ++i) {
                fleet.tick(milliseconds(retention) / kTicksPerRetention);
                fleet.expireOlderThan(retention);
            }
            RC_ASSERT(fleet.freshReaderFindsState());
            RC_ASSERT(fleet.recordWritten <= 2U * kRetentions + 20U);
        });
    }

    void stateOutlivesCountLimit()
    {
        checkProperty("with records that expire by number the state can always be found", [] {
            const auto kept = *rc::gen::inRange<log_offset>(150, 1000);
            const auto appendsPerSecond = *rc::gen::inRange(0, 16);
            writers fleet(*rc::gen::inRange(1U, 4U));
            for (int i = 0; i < 80; ++i) {
                for (int n = 0; n < appendsPerSecond; ++n) {
                    fleet.log.append("other stream");
                }
                fleet.tick(seconds(1));
                fleet.log.expireBefore(fleet.log.next() > kept ? fleet.log.next() - kept : 1);
                RC_ASSERT(fleet.freshReaderFindsState());
            }
        });
    }

    void writersTakeTurns()
    {
        writers fleet(18);
        for (int i = 0; i < 60; ++i) {
            fleet.tick(seconds(1));
        }
        CPPUNIT_ASSERT(fleet.recordWritten >= 1 && fleet.recordWritten <= 6);
        const std::vector<instance_id> live {instance_id("a"), instance_id("b"), instance_id("c")};
        CPPUNIT_ASSERT_EQUAL(3U, writerRank(live[0], live, 7) + writerRank(live[1], live, 7) + writerRank(live[2], live, 7));
    }

    void emptyLogIsFilledAgain()
    {
        writers fleet(3);
        fleet.tick(seconds(1));
        fleet.log.expireBefore(fleet.log.next());
        for (int i = 0; i < 10; ++i) {
            fleet.tick(seconds(1));
        }
        CPPUNIT_ASSERT(fleet.freshReaderFindsState());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(state_record_schedule_test);

} // namespace

} // namespace sequoiawharf
