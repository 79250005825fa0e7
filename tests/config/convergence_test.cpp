#include "sequoiawharf/configuration_state.h"
#include "tests/config/fake_log.h"
#include "tests/config/table_samples.h"
#include "tests/property.h"

#include <map>
#include <ostream>

namespace sequoiawharf
{

namespace
{

using namespace testing;

constexpr std::size_t kReaders = 3;

enum class step_kind { Publish, PublishStale, Duplicate, Garbage, WriteState, Expire, Read, ReadOldPage, Send, Deliver, Replace, Check };
constexpr int kStepKinds = 12;

struct step {
    step_kind kind = step_kind::Read;
    std::size_t reader = 0;
    std::size_t choice = 0;
};

std::ostream &operator<<(std::ostream &out, const step &value)
{
    return out << "{kind " << static_cast<int>(value.kind) << ", reader " << value.reader << ", choice " << value.choice << "}";
}

rc::Gen<std::vector<step>> anySteps()
{
    const auto anyStep
        = rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, kStepKinds), rc::gen::inRange<std::size_t>(0, kReaders), rc::gen::inRange<std::size_t>(0, 1000)),
                       [](const std::tuple<int, std::size_t, std::size_t> &drawn) {
                           return step {static_cast<step_kind>(std::get<0>(drawn)), std::get<1>(drawn), std::get<2>(drawn)};
                       });
    return rc::gen::scale(4.0, rc::gen::container<std::vector<step>>(anyStep));
}

struct message {
    std::size_t to = 0;
    change_set changes;
};

// Several readers, one log whose records expire, and messages between readers that come late, doubled and in any order. A reference that reads
// each record once in order tells what every reader must find.
class fleet
{
public:
    void run(const step &next)
    {
        auto &reader = m_readers[next.reader];
        switch (next.kind) {
        case step_kind::Publish:
            return publishFrom(*m_reference.current(), next.choice);
        case step_kind::PublishStale:
            return publishFrom(*reader.current(), next.choice);
        case step_kind::Duplicate:
            return duplicate(next.choice);
        case step_kind::Garbage:
            return append(next.choice % 2 == 0 ? "{" : R"({"kind":"publication","id":"","base":0,"delta":{}})");
        case step_kind::WriteState:
            return writeState(reader);
        case step_kind::Expire:
            return m_log.expireBefore(m_log.first() + (next.choice % 4 == 0 ? next.choice % 7 : 0));
        case step_kind::Read:
            return static_cast<void>(reader.applyLog(m_log.read(reader.nextToRead(), next.choice % 4)));
        case step_kind::ReadOldPage:
            return static_cast<void>(reader.applyLog(m_log.read(next.choice % m_log.next(), 3)));
        case step_kind::Send:
            return send(next.reader, next.choice % kReaders);
        case step_kind::Deliver:
            return deliver(next.choice);
        case step_kind::Replace:
            reader = configuration_state();
            return;
        case step_kind::Check:
            return reader.resetReadiness();
        }
    }

    void checkEachReader()
    {
        for (std::size_t i = 0; i < kReaders; ++i) {
            const auto &reader = m_readers[i];
            RC_ASSERT(reader.version() == versionAt(reader.asOf()));
            const bool empty = reader.version() == 0;
            RC_ASSERT(sameTables(*reader.current(), empty ? configuration() : *m_configurations.at(reader.version())));
        }
    }

    std::vector<config_version> versions() const
    {
        std::vector<config_version> result;
        std::ranges::transform(m_readers, std::back_inserter(result), &configuration_state::version);
        return result;
    }

    // Brings all readers together: each reads the log to its end, and all pass on what they have.
    void heal()
    {
        for (int round = 0; round < 2; ++round) {
            for (std::size_t from = 0; from < kReaders; ++from) {
                readAll(m_readers[from], m_log);
                for (std::size_t to = 0; to < kReaders; ++to) {
                    m_readers[to].applyPeer(m_readers[from].changesSince(m_readers[to].version()));
                }
            }
        }
    }

    // Tells whether a new reader of the log alone, or one of the readers, can know the newest version.
    bool newestCanBeKnown() const
    {
        configuration_state fresh;
        readAll(fresh, m_log);
        const auto knows = [this](const configuration_state &reader) {
            configuration_state copy = reader;
            readAll(copy, m_log);
            return !copy.hasGap();
        };
        return !fresh.hasGap() || std::ranges::any_of(m_readers, knows);
    }

    const configuration_state &reader(std::size_t index) const
    {
        return m_readers[index];
    }
    const configuration_state &reference() const
    {
        return m_reference;
    }

private:
    static bool sameTables(const configuration &a, const configuration &b)
    {
        return a.version == b.version && a.routes == b.routes && a.pools == b.pools;
    }

    config_version versionAt(log_offset asOf) const
    {
        const auto after = m_configurations.upper_bound(asOf);
        return after == m_configurations.begin() ? 0 : std::prev(after)->first;
    }

    void append(const std::string &text)
    {
        const auto before = m_reference.version();
        m_log.append(text);
        m_reference.applyLog(log_page {1, m_log.next(), m_log.now(), m_log.now(), {m_log.everything().back()}});
        if (m_reference.version() != before) {
            m_configurations[m_reference.version()] = m_reference.current();
        }
    }
    void publishFrom(const configuration &base, std::size_t choice)
    {
        const auto slots = static_cast<std::uint32_t>(choice % 7 + 1);
        auto tables
            = choice % 3 == 0 ? simpleTables(slots) : whole_tables {base.routes, base.pools.with({makePool("q" + std::to_string(choice % 4), {1}, slots)}, {})};
        append(publicationText("id" + std::to_string(m_log.next()), base, tables));
    }
    void duplicate(std::size_t choice)
    {
        if (!m_log.everything().empty()) {
            append(std::string(m_log.everything()[choice % m_log.everything().size()].data));
        }
    }
    void writeState(const configuration_state &reader)
    {
        if (!reader.hasGap() && reader.version() > 0) {
            append(encodeRecord(reader.makeStateRecord()));
        }
    }
    // The receiver's version may be old by the time the sender reads it.
    void send(std::size_t from, std::size_t to)
    {
        m_messages.push_back({to, m_readers[from].changesSince(m_readers[to].version())});
    }
    void deliver(std::size_t choice)
    {
        if (!m_messages.empty()) {
            const auto &chosen = m_messages[choice % m_messages.size()];
            m_readers[chosen.to].applyPeer(chosen.changes);
        }
    }

    fake_log m_log;
    configuration_state m_reference;
    std::map<config_version, std::shared_ptr<const configuration>> m_configurations;
    std::vector<configuration_state> m_readers {kReaders};
    std::vector<message> m_messages; // kept after delivery, so that they come again
};

class convergence_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(convergence_test);
    CPPUNIT_TEST(readersAgreeWhateverArrives);
    CPPUNIT_TEST(newestVersionReachesAll);
    CPPUNIT_TEST_SUITE_END();

public:
    void readersAgreeWhateverArrives()
    {
        checkProperty("each reader is at a version of the one order, with its tables, and never goes back", [] {
            fleet all;
            for (const auto &next : *anySteps()) {
                const auto before = all.versions();
                all.run(next);
                all.checkEachReader();
                const auto after = all.versions();
                for (std::size_t i = 0; i < kReaders; ++i) {
                    const bool isNew = next.kind == step_kind::Replace && i == next.reader;
                    RC_ASSERT(after[i] >= (isNew ? 0 : before[i]));
                }
            }
        });
    }

    void newestVersionReachesAll()
    {
        checkProperty("after contact all readers have the newest version that a reader or the log holds", [] {
            fleet all;
            for (const auto &next : *anySteps()) {
                all.run(next);
            }
            const auto versions = all.versions();
            const auto newestHeld = *std::ranges::max_element(versions);
            const bool known = all.newestCanBeKnown();
            RC_CLASSIFY(known);
            all.heal();
            all.checkEachReader();
            for (std::size_t i = 0; i < kReaders; ++i) {
                const auto &reader = all.reader(i);
                RC_ASSERT(reader.version() >= (known ? all.reference().version() : newestHeld));
                RC_ASSERT(reader.version() == all.reader(0).version());
                RC_ASSERT(reader.hasGap() <= !known);
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(convergence_test);

} // namespace

} // namespace sequoiawharf
