#include "src/config/publisher.h"
#include "tests/config/fake_log.h"
#include "tests/config/table_samples.h"
#include "tests/property.h"

#include <ostream>

namespace sequoiawharf
{

namespace
{

using namespace testing;
using std::chrono::milliseconds;

// The scripted outcome of one request to the log. In RivalAppendsFirst another publisher appends before the request; in LostAppliedLater the answer is lost and
// the append takes effect later.
enum class request_outcome { Succeeds, Refused, LostAfterAppend, LostBeforeAppend, LostAppliedLater, RivalAppendsFirst };

std::ostream &operator<<(std::ostream &out, request_outcome value)
{
    return out << static_cast<int>(value);
}

// A log whose requests fail as scripted, with a rival publisher that appends in between. After the end of the script every request succeeds.
class scripted_log final : public publication_log
{
public:
    explicit scripted_log(std::vector<request_outcome> script)
        : m_script(std::move(script))
    {
    }

    tl::expected<log_offset, log_access_error> append(const std::string &data) override
    {
        const auto next = nextOutcome();
        m_now += milliseconds(5);
        switch (next) {
        case request_outcome::Refused:
            return tl::unexpected(log_access_error::Unavailable);
        case request_outcome::LostBeforeAppend:
            return tl::unexpected(log_access_error::AnswerLost);
        case request_outcome::LostAppliedLater:
            m_delayed.push_back(data);
            return tl::unexpected(log_access_error::AnswerLost);
        case request_outcome::LostAfterAppend:
            ++ownAppends;
            log.append(data);
            return tl::unexpected(log_access_error::AnswerLost);
        case request_outcome::RivalAppendsFirst:
            publishRival();
            break;
        case request_outcome::Succeeds:
            break;
        }
        ++ownAppends;
        return log.append(data);
    }

    tl::expected<log_page, log_access_error> read(log_offset from, unsigned max, milliseconds wait) override
    {
        const auto next = nextOutcome();
        m_now += milliseconds(5) + (from < log.next() ? milliseconds(0) : wait);
        if (next == request_outcome::Refused || next == request_outcome::LostAfterAppend || next == request_outcome::LostBeforeAppend) {
            return tl::unexpected(log_access_error::AnswerLost);
        }
        if (next == request_outcome::RivalAppendsFirst) {
            publishRival();
        }
        applyDelayed();
        return log.read(from, std::min(max, 2U));
    }

    mono_time now() override
    {
        return m_now;
    }
    void pause(milliseconds time) override
    {
        m_now += time;
    }

    // Ends the script and applies the delayed appends.
    void stopFailing()
    {
        m_position = m_script.size();
        applyDelayed();
    }
    void applyDelayed()
    {
        for (const auto &data : std::exchange(m_delayed, {})) {
            ++ownAppends;
            log.append(data);
        }
    }
    void publishRival()
    {
        configuration_state rival;
        readAll(rival, log);
        log.append(publicationText("rival" + std::to_string(log.next()), *rival.current(), simpleTables(static_cast<std::uint32_t>(log.next() % 9 + 20))));
    }

    fake_log log;
    unsigned ownAppends = 0;

private:
    request_outcome nextOutcome()
    {
        return m_position < m_script.size() ? m_script[m_position++] : request_outcome::Succeeds;
    }

    std::vector<request_outcome> m_script;
    std::size_t m_position = 0;
    mono_time m_now {std::chrono::hours(1)};
    std::vector<std::string> m_delayed;
};

publish_request requestFor(std::uint32_t slots, const std::string &id = "mine")
{
    publish_request request;
    request.tables = simpleTables(slots);
    request.id = publication_id(id);
    request.author = "tester";
    return request;
}

// Draws the outcomes of the first requests. An outcome may be repeated for longer than any timeout.
rc::Gen<std::vector<request_outcome>> anyScript()
{
    using outcome_run = std::pair<request_outcome, std::size_t>;
    const auto anyOutcome = rc::gen::weightedElement<request_outcome>({{4, request_outcome::Succeeds},
                                                                       {1, request_outcome::Refused},
                                                                       {1, request_outcome::LostAfterAppend},
                                                                       {1, request_outcome::LostBeforeAppend},
                                                                       {1, request_outcome::LostAppliedLater},
                                                                       {4, request_outcome::RivalAppendsFirst}});
    const auto anyRun = rc::gen::pair(anyOutcome, rc::gen::weightedElement<std::size_t>({{20, 1}, {1, 1000}}));
    return rc::gen::map(rc::gen::container<std::vector<outcome_run>>(anyRun), [](const std::vector<outcome_run> &runs) {
        std::vector<request_outcome> script;
        std::ranges::for_each(runs, [&](const outcome_run &next) {
            script.insert(script.end(), next.second, next.first);
        });
        return script;
    });
}

struct record_count {
    unsigned accepted = 0;
    unsigned all = 0;
};

record_count countOf(const fake_log &log, const std::string &id)
{
    configuration_state reader;
    record_count count;
    for (const auto &entry : readAll(reader, log)) {
        count.all += entry.id.str() == id ? 1 : 0;
        count.accepted += entry.id.str() == id && entry.result == verdict::Accepted ? 1 : 0;
    }
    return count;
}

class publisher_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(publisher_test);
    CPPUNIT_TEST(reportedOutcomeMatchesLog);
    CPPUNIT_TEST(oneOfConcurrentPublicationsIsAccepted);
    CPPUNIT_TEST(lostAnswerDoesNotAppendTwice);
    CPPUNIT_TEST(refusalNamesWinner);
    CPPUNIT_TEST(outageIsNotSentOrUnknown);
    CPPUNIT_TEST(sameIdReturnsEarlierOutcome);
    CPPUNIT_TEST(nothingIsAppendedAcrossGap);
    CPPUNIT_TEST(lostStateIsRebuilt);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a report that contradicts the log, and against two accepted copies after a lost answer and a second append.
    void reportedOutcomeMatchesLog()
    {
        checkProperty("accepted, refused and not-sent match the log, and at most one copy is accepted", [] {
            scripted_log log(*anyScript());
            const auto report = publisher(log).publish(requestFor(3));
            log.stopFailing();
            log.publishRival();
            const auto count = countOf(log.log, "mine");
            RC_CLASSIFY(report.outcome == publish_outcome::Accepted);
            RC_CLASSIFY(report.outcome == publish_outcome::Refused);
            RC_CLASSIFY(report.outcome == publish_outcome::NotSent);
            RC_CLASSIFY(report.outcome == publish_outcome::Unknown);
            RC_ASSERT(count.accepted <= 1U);
            if (report.outcome == publish_outcome::Accepted) {
                RC_ASSERT(count.accepted == 1U);
            } else if (report.outcome == publish_outcome::Refused) {
                RC_ASSERT(count.accepted == 0U);
                RC_ASSERT(report.winner.has_value());
            } else if (report.outcome == publish_outcome::NotSent) {
                RC_ASSERT(count.all == 0U);
            }
        });
    }

    void oneOfConcurrentPublicationsIsAccepted()
    {
        checkProperty("of several publications from one version exactly one is accepted", [] {
            scripted_log log({});
            log.publishRival();
            configuration_state base;
            readAll(base, log.log);
            const auto rivals = *rc::gen::inRange(1U, 8U);
            const auto copies = *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, rivals));
            for (const auto rival : copies) {
                log.log.append(publicationText("r" + std::to_string(rival), *base.current(), simpleTables(rival + 1)));
            }
            unsigned accepted = 0;
            for (unsigned rival = 0; rival < rivals; ++rival) {
                accepted += countOf(log.log, "r" + std::to_string(rival)).accepted;
            }
            RC_ASSERT(accepted == (copies.empty() ? 0U : 1U));
        });
    }

    void lostAnswerDoesNotAppendTwice()
    {
        scripted_log log({request_outcome::Succeeds, request_outcome::LostAfterAppend});
        const auto report = publisher(log).publish(requestFor(3));
        CPPUNIT_ASSERT(report.outcome == publish_outcome::Accepted);
        CPPUNIT_ASSERT_EQUAL(1U, log.ownAppends);
        scripted_log lost({request_outcome::Succeeds, request_outcome::LostBeforeAppend});
        CPPUNIT_ASSERT(publisher(lost).publish(requestFor(3)).outcome == publish_outcome::Accepted);
        CPPUNIT_ASSERT_EQUAL(1U, lost.ownAppends);
    }

    void refusalNamesWinner()
    {
        scripted_log log({request_outcome::Succeeds, request_outcome::RivalAppendsFirst});
        const auto report = publisher(log).publish(requestFor(3));
        CPPUNIT_ASSERT(report.outcome == publish_outcome::Refused);
        CPPUNIT_ASSERT_EQUAL(std::string("rival1"), report.winner->id.str());
        CPPUNIT_ASSERT(!report.winnerChanges.empty());
        CPPUNIT_ASSERT(publisher(log).publish(requestFor(3, "again")).outcome == publish_outcome::Accepted);
        CPPUNIT_ASSERT(publisher(log).publish(requestFor(3, "third")).outcome == publish_outcome::Unchanged);
    }

    // During an outage nothing was sent, unless an append may have taken effect before its answer was lost.
    void outageIsNotSentOrUnknown()
    {
        scripted_log down(std::vector<request_outcome>(10'000, request_outcome::Refused));
        CPPUNIT_ASSERT(publisher(down).publish(requestFor(3)).outcome == publish_outcome::NotSent);
        std::vector<request_outcome> script(10'000, request_outcome::Refused);
        script[0] = request_outcome::Succeeds;
        script[1] = request_outcome::LostAfterAppend;
        scripted_log silent(script);
        const auto report = publisher(silent).publish(requestFor(3));
        CPPUNIT_ASSERT(report.outcome == publish_outcome::Unknown);
    }

    void sameIdReturnsEarlierOutcome()
    {
        scripted_log log({request_outcome::Succeeds, request_outcome::LostAfterAppend});
        CPPUNIT_ASSERT(publisher(log).publish(requestFor(3)).outcome == publish_outcome::Accepted);
        log.publishRival();
        const auto report = publisher(log).publish(requestFor(3));
        CPPUNIT_ASSERT(report.outcome == publish_outcome::Accepted);
        CPPUNIT_ASSERT_EQUAL(config_version {1}, report.version);
        CPPUNIT_ASSERT_EQUAL(1U, log.ownAppends);
    }

    // When records expired without a state record, the version in force is unknown and no base can be stated.
    void nothingIsAppendedAcrossGap()
    {
        scripted_log log({});
        log.publishRival();
        log.publishRival();
        log.log.expireBefore(2);
        const auto report = publisher(log).publish(requestFor(3));
        CPPUNIT_ASSERT(report.outcome == publish_outcome::NotSent);
        CPPUNIT_ASSERT_EQUAL(0U, log.ownAppends);
    }

    void lostStateIsRebuilt()
    {
        checkProperty("after a rebuild under failures, old and new readers agree on the rebuilt tables", [] {
            scripted_log log({});
            log.publishRival();
            configuration_state old;
            readAll(old, log.log);
            log.publishRival();
            CPPUNIT_ASSERT(publisher(log).rebuild(requestFor(3)).outcome == publish_outcome::Refused);
            log.log.expireBefore(3);
            log.log.append("other stream");
            auto script = *anyScript();
            scripted_log failing(script);
            failing.log = log.log;
            const auto report = publisher(failing).rebuild(requestFor(3));
            failing.stopFailing();
            configuration_state fresh;
            readAll(fresh, failing.log);
            readAll(old, failing.log);
            if (report.outcome == publish_outcome::Accepted) {
                RC_ASSERT(fresh.version() >= report.version);
                RC_ASSERT(old.version() == fresh.version());
                RC_ASSERT(old.current()->pools == simpleTables(3).pools);
                RC_ASSERT(publisher(failing).publish(requestFor(5, "next")).outcome == publish_outcome::Accepted);
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(publisher_test);

} // namespace

} // namespace sequoiawharf
