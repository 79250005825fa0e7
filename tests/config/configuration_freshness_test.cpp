#include "sequoiawharf/configuration_freshness.h"

#include "tests/property.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <vector>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr auto kBound = 5000ms;

/// Instances that read a store and ask one another under virtual time. The key with which a call is made at an instance of version v is removed by
/// version v + 1, so each admitted call is checked against the acknowledgement of the next version.
class proving_fleet
{
public:
    explicit proving_fleet(std::size_t size)
        : m_instances(size)
    {
        std::ranges::for_each(m_instances, [](instance &one) {
            one.freshness = std::make_unique<configuration_freshness>(kBound);
        });
    }

    void advance(milliseconds time)
    {
        m_now += time;
    }
    // A version is visible to reads from now on; the acknowledgement comes later.
    void publish(milliseconds untilAcknowledged)
    {
        m_acknowledged.push_back(m_now + untilAcknowledged);
    }
    void sendRead(std::size_t at)
    {
        m_messages.push_back({.asker = at, .process = m_instances[at].process, .sentAt = m_now});
    }
    void sendQuery(std::size_t at, std::size_t peer)
    {
        m_messages.push_back({.asker = at, .process = m_instances[at].process, .sentAt = m_now, .peer = peer, .isQuery = true});
    }
    // Lets the store or the other instance answer; the answer is delivered later.
    void answer(std::size_t index)
    {
        auto &sent = m_messages[index];
        if (sent.isAnswered) {
            return;
        }
        sent.isAnswered = true;
        sent.version = m_acknowledged.size();
        if (sent.isQuery) {
            const auto &peer = m_instances[sent.peer];
            const auto age = peer.freshness->age(m_now);
            sent.version = peer.version;
            sent.age = age ? std::optional(std::chrono::ceil<milliseconds>(*age)) : std::nullopt;
        }
    }
    // brings: the answer to a query brings the other instance's configuration.
    void deliver(std::size_t index, bool brings)
    {
        const auto received = m_messages[index];
        lose(index);
        auto &one = m_instances[received.asker];
        if (!received.isAnswered || one.process != received.process) {
            return;
        }
        if (!received.isQuery) {
            setVersion(one, received.version);
            return one.freshness->recordOwnRead(received.sentAt, one.version);
        }
        if (brings) {
            setVersion(one, received.version);
        }
        one.freshness->recordPeer(received.sentAt, received.age, received.version, one.version);
    }
    void lose(std::size_t index)
    {
        m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
    }
    void restart(std::size_t at)
    {
        auto &one = m_instances[at];
        ++one.process;
        one.version = 0;
        one.freshness = std::make_unique<configuration_freshness>(kBound);
    }
    // The configuration alone, as other instances announce it.
    void passOn(std::size_t from, std::size_t to)
    {
        setVersion(m_instances[to], m_instances[from].version);
    }

    // Returns whether the instance admits a call now.
    bool admits(std::size_t at) const
    {
        return m_instances[at].freshness->admitsKeyedCalls(m_now);
    }
    // Returns whether a call may run that was sent at a time and uses the version that the instance has now.
    bool mayRun(std::size_t at, boot_time sentAt) const
    {
        const auto version = m_instances[at].version;
        return version >= m_acknowledged.size() || sentAt <= m_acknowledged[version] + kBound;
    }

    boot_time now() const
    {
        return m_now;
    }
    std::size_t messages() const
    {
        return m_messages.size();
    }
    std::size_t size() const
    {
        return m_instances.size();
    }

private:
    struct instance {
        unsigned process = 0;
        config_version version = 0;
        std::unique_ptr<configuration_freshness> freshness;
    };
    struct message {
        std::size_t asker = 0;
        unsigned process = 0;
        boot_time sentAt {};
        std::size_t peer = 0;
        bool isQuery = false;
        bool isAnswered = false;
        config_version version = 0;
        std::optional<milliseconds> age {};
    };

    static void setVersion(instance &one, config_version version)
    {
        one.version = std::max(one.version, version);
        one.freshness->recordVersion(one.version);
    }

    boot_time m_now {1h};
    std::vector<instance> m_instances;
    std::vector<message> m_messages;
    std::vector<boot_time> m_acknowledged; ///< Of version i + 1.
};

class configuration_freshness_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(configuration_freshness_test);
    CPPUNIT_TEST(noCallRunsLaterThanTheBoundAfterARevocation);
    CPPUNIT_TEST(aNewProcessHasNoProof);
    CPPUNIT_TEST(aProofAgesWhileTheMachineIsSuspended);
    CPPUNIT_TEST(aPeersProofCountsOnlyWithItsVersion);
    CPPUNIT_TEST(reorderedAnswersKeepTheNewestProof);
    CPPUNIT_TEST(withoutABoundAllCallsAreAdmitted);
    CPPUNIT_TEST(anOldProofIsRenewedBeforeCallsAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a revoked key that still admits calls at an instance that was cut off, paused, suspended or restarted, or whose answers are lost,
    // late or reordered.
    void noCallRunsLaterThanTheBoundAfterARevocation()
    {
        unsigned admitted = 0;
        testing::checkProperty("an admitted call was sent within the bound after the revocation of its key", [&] {
            proving_fleet instances(3);
            const auto any = [](std::size_t count) {
                return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::size_t>(0, count));
            };
            const auto isFaulty = *rc::gen::arbitrary<bool>();
            for (unsigned step = 0; step < 300; ++step) {
                switch (any(isFaulty ? 13 : 10)) {
                case 0:
                    instances.advance(milliseconds(any(1500)));
                    break;
                case 1:
                    instances.publish(milliseconds(any(300)));
                    break;
                case 2:
                    instances.sendRead(any(3));
                    break;
                case 3:
                    instances.sendQuery(any(3), any(3));
                    break;
                case 4:
                    instances.passOn(any(3), any(3));
                    break;
                case 5:
                case 8:
                    if (instances.messages() > 0) {
                        instances.answer(any(instances.messages()));
                    }
                    break;
                case 6:
                case 9:
                    if (instances.messages() > 0) {
                        instances.deliver(any(instances.messages()), any(2) == 0);
                    }
                    break;
                case 7: {
                    // The gateway checks the proof some time after the client sent the call, and loads the configuration after that.
                    const auto at = any(instances.size());
                    const auto sentAt = instances.now();
                    instances.advance(milliseconds(any(50)));
                    if (instances.admits(at)) {
                        ++admitted;
                        instances.advance(milliseconds(any(2) * 8000)); // a pause between the check and the load
                        RC_ASSERT(instances.mayRun(at, sentAt));
                    }
                    break;
                }
                case 10:
                    instances.advance(milliseconds(any(20'000))); // a pause or a suspend
                    break;
                case 11:
                    if (instances.messages() > 0) {
                        instances.lose(any(instances.messages()));
                    }
                    break;
                default:
                    instances.restart(any(3));
                }
            }
        });
        CPPUNIT_ASSERT_MESSAGE("the property must not hold because nothing was admitted", admitted > 200);
    }

    void aNewProcessHasNoProof()
    {
        const configuration_freshness fresh(kBound);
        CPPUNIT_ASSERT(!fresh.admitsKeyedCalls(kNow) && !fresh.age(kNow) && fresh.shouldReadStore(kNow));
    }

    void aProofAgesWhileTheMachineIsSuspended()
    {
        configuration_freshness fresh(kBound);
        fresh.recordOwnRead(kNow, 3);
        CPPUNIT_ASSERT(fresh.admitsKeyedCalls(kNow + kBound - 251ms) && fresh.provenVersion() == 3);
        CPPUNIT_ASSERT(!fresh.admitsKeyedCalls(kNow + kBound - 250ms) && !fresh.admitsKeyedCalls(kNow + 10h));
    }

    // Guards against an instance that counts the proof of a version which it does not have, and against one that has to wait for its next query when it
    // gets the version right after the answer.
    void aPeersProofCountsOnlyWithItsVersion()
    {
        configuration_freshness fresh(kBound);
        fresh.recordPeer(kNow, std::nullopt, 3, 3);
        fresh.recordPeer(kNow, -1ms, 3, 3);
        fresh.recordPeer(kNow, 1000ms, 4, 3);
        CPPUNIT_ASSERT(!fresh.age(kNow));
        fresh.recordVersion(4);
        CPPUNIT_ASSERT(fresh.age(kNow) == 1000ms);
        fresh.recordPeer(kNow + 900ms, 500ms, 4, 5);
        CPPUNIT_ASSERT(fresh.age(kNow + 900ms) == 500ms);
    }

    void reorderedAnswersKeepTheNewestProof()
    {
        configuration_freshness fresh(kBound);
        fresh.recordOwnRead(kNow, 3);
        fresh.recordOwnRead(kNow - 2s, 3);
        fresh.recordPeer(kNow, 3000ms, 3, 3);
        CPPUNIT_ASSERT(fresh.age(kNow) == 0ms);
    }

    void withoutABoundAllCallsAreAdmitted()
    {
        const configuration_freshness off(0ms);
        CPPUNIT_ASSERT(off.admitsKeyedCalls(kNow) && !off.shouldAskPeers(kNow) && !off.shouldReadStore(kNow));
    }

    void anOldProofIsRenewedBeforeCallsAreRefused()
    {
        configuration_freshness fresh(kBound);
        fresh.recordOwnRead(kNow, 3);
        CPPUNIT_ASSERT(!fresh.shouldAskPeers(kNow + 2499ms) && fresh.shouldAskPeers(kNow + 2500ms));
        CPPUNIT_ASSERT(!fresh.shouldReadStore(kNow + 3499ms) && fresh.shouldReadStore(kNow + 3500ms));
        CPPUNIT_ASSERT(fresh.admitsKeyedCalls(kNow + 3500ms));
    }

private:
    static constexpr boot_time kNow {1h};
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_freshness_test);

} // namespace

} // namespace sequoiawharf
