#include "tests/membership/fleet.h"
#include "tests/property.h"

#include <algorithm>

namespace sequoiawharf
{

namespace
{

using namespace std::chrono_literals;
using testing::fleet;
using testing::fleet_instance;

const std::vector<std::string> kCentres {"north/a", "north/b", "south/c", "south/d"};

/// The other instances in the data centre of n0 after addAll() with four in each data centre.
const std::vector<std::string> kWithN0 {"n4", "n8", "n12"};

void addAll(fleet &all, unsigned perCentre)
{
    unsigned number = 0;
    for (unsigned i = 0; i < perCentre; ++i) {
        std::ranges::for_each(kCentres, [&](const std::string &centre) {
            all.add("n" + std::to_string(number++), centre);
        });
    }
    all.publishHints();
}

bool directoryNames(fleet &all, const fleet_instance &at, const std::string &name)
{
    const auto view = makeDirectoryView(*at.members, {.lifetime = 10s}, all.now());
    return std::ranges::any_of(view->entries, [&](const member_row &row) {
        return row.id.str() == name;
    });
}

unsigned countDirectoriesNaming(fleet &all, const std::string &name)
{
    return static_cast<unsigned>(std::ranges::count_if(all.live(), [&](const fleet_instance *instance) {
        return directoryNames(all, *instance, name);
    }));
}

bool allHave(fleet &all, config_version version)
{
    return std::ranges::all_of(all.live(), [&](const fleet_instance *instance) {
        return instance->version == version;
    });
}

// Returns how many instances haven't learned, 3 s after one of them announced it over links that lose messages, that an endpoint leaves.
std::ptrdiff_t instancesWithoutLeavingNotice(std::uint64_t seed)
{
    fleet all(seed);
    addAll(all, 3);
    all.dropRate = 0.1;
    all.duplicateRate = 0.2;
    all.run(4s);
    all.at("n0").members->announceLeaving({pool_name("quotes"), {"10.1.1.1", 80}, {}}, all.now());
    all.run(3s);
    return std::ranges::count_if(all.live(), [](const fleet_instance *instance) {
        return instance->name != "n0" && !instance->leavingAt.contains("10.1.1.1:80");
    });
}

class membership_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(membership_test);
    CPPUNIT_TEST(findsAllMembersFromHints);
    CPPUNIT_TEST(newInstanceSpreadsByGossip);
    CPPUNIT_TEST(newInstanceJoinsThroughASeedWithoutHints);
    CPPUNIT_TEST(deadInstanceIsNotInTheDirectory);
    CPPUNIT_TEST(suspectReturnsWithItsNextHeartbeat);
    CPPUNIT_TEST(leavingInstanceIsNotInTheDirectory);
    CPPUNIT_TEST(pausedInstanceConfirmsItsViewFirst);
    CPPUNIT_TEST(queuedMessagesDoNotConfirmTheViewAfterAPause);
    CPPUNIT_TEST(newerIncarnationReplacesTheOlder);
    CPPUNIT_TEST(loneInstanceBecomesReady);
    CPPUNIT_TEST(restartedFleetFindsTogetherAtOnce);
    CPPUNIT_TEST(restartedLargeDataCentreNamesReadyInstancesSoon);
    CPPUNIT_TEST(restartedLargeDataCentreKnowsItsMembersInThreeSeconds);
    CPPUNIT_TEST(restartedInstanceDoesNotNameItselfAlone);
    CPPUNIT_TEST(regionsReconnectAfterAnHourApart);
    CPPUNIT_TEST(survivesLossOfHalfAndReplacementOfAll);
    CPPUNIT_TEST(leavingEndpointIsKnownToAllInstances);
    CPPUNIT_TEST(leavingEndpointIsKnownDespiteUnluckyLoss);
    CPPUNIT_TEST(versionsConverge);
    CPPUNIT_TEST(changeCrossesRegionsTwiceOnAverage);
    CPPUNIT_TEST(aLargeChangeSpreadsOverSmallLinks);
    CPPUNIT_TEST(budgetHoldsInEveryWindow);
    CPPUNIT_TEST(logReadersAreFewAndAreReplaced);
    CPPUNIT_TEST_SUITE_END();

public:
    void findsAllMembersFromHints()
    {
        fleet all(1);
        addAll(all, 4);
        all.run(4s);
        std::ranges::for_each(all.live(), [&](const fleet_instance *instance) {
            CPPUNIT_ASSERT_EQUAL(std::size_t {4}, instance->members->liveMembers(all.now()).size());
            CPPUNIT_ASSERT_EQUAL(8U, instance->members->liveInRegion(all.now()));
        });
    }

    void newInstanceSpreadsByGossip()
    {
        fleet all(2);
        addAll(all, 3);
        all.run(4s);
        auto &fresh = all.add("fresh", "north/a");
        fresh.members->setHints({{instance_id("n0"), all.at("n0").settings.self.peer, data_centre_id("north/a"), region_id("north")}});
        all.run(4s);
        CPPUNIT_ASSERT(directoryNames(all, all.at("n4"), "fresh") && directoryNames(all, all.at("n8"), "fresh"));
        CPPUNIT_ASSERT_EQUAL(std::size_t {4}, fresh.members->liveMembers(all.now()).size());
    }

    // An instance that restarts while the store refuses its requests gets no hints. It must find the others through a seed.
    void newInstanceJoinsThroughASeedWithoutHints()
    {
        // A seed in the own data centre, in another one of the region, and in another region.
        for (const auto *const seed : {"n0", "n1", "n2"}) {
            fleet all(2);
            addAll(all, 3);
            all.run(8s);
            all.seeds = {{"10.9.9.9", 1}, all.at(seed).settings.self.peer};
            const auto &fresh = all.add("fresh", "north/a");
            all.run(4s);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(seed, std::size_t {4}, fresh.members->liveMembers(all.now()).size());
            CPPUNIT_ASSERT(directoryNames(all, all.at("n4"), "fresh"));
        }
    }

    void deadInstanceIsNotInTheDirectory()
    {
        fleet all(3);
        addAll(all, 4);
        all.run(5s);
        CPPUNIT_ASSERT(countDirectoriesNaming(all, "n0") >= 4);
        all.kill("n0");
        all.run(4s);
        std::ranges::for_each(kWithN0, [&](const std::string &near) {
            CPPUNIT_ASSERT(!directoryNames(all, all.at(near), "n0"));
        });
        all.run(11s);
        CPPUNIT_ASSERT_EQUAL(0U, countDirectoriesNaming(all, "n0"));
    }

    void suspectReturnsWithItsNextHeartbeat()
    {
        fleet all(4);
        addAll(all, 4);
        all.run(5s);
        all.cut = [](const std::string &from, const std::string &) {
            return from == "n0";
        };
        all.run(5s);
        CPPUNIT_ASSERT(!directoryNames(all, all.at("n4"), "n0"));
        CPPUNIT_ASSERT(all.at("n4").members->members().stateOf(instance_id("n0"), all.now()) == member_state::Suspect);
        all.cut = {};
        all.run(4s);
        std::ranges::for_each(kWithN0, [&](const std::string &near) {
            CPPUNIT_ASSERT(directoryNames(all, all.at(near), "n0"));
        });
    }

    void leavingInstanceIsNotInTheDirectory()
    {
        fleet all(5);
        addAll(all, 4);
        all.run(5s);
        all.at("n0").members->startLeaving();
        CPPUNIT_ASSERT(!directoryNames(all, all.at("n0"), "n0"));
        all.run(1s);
        std::ranges::for_each(kWithN0, [&](const std::string &near) {
            CPPUNIT_ASSERT(!directoryNames(all, all.at(near), "n0"));
        });
        all.run(3s);
        CPPUNIT_ASSERT_EQUAL(0U, countDirectoriesNaming(all, "n0"));
    }

    void pausedInstanceConfirmsItsViewFirst()
    {
        fleet all(6);
        addAll(all, 3);
        all.run(5s);
        CPPUNIT_ASSERT(all.at("n0").members->isViewConfirmed(all.now()));
        all.pause("n0", 60s);
        all.run(60s);
        CPPUNIT_ASSERT(!directoryNames(all, all.at("n4"), "n0"));
        bool confirmedTooEarly = false;
        all.onStep = [&] {
            const auto &members = *all.at("n0").members;
            const bool hasHeartbeat = std::ranges::any_of(members.members().entries(), [&](const auto &item) {
                return all.now() - item.second.lastHeartbeat < 3s;
            });
            confirmedTooEarly = confirmedTooEarly || (members.isViewConfirmed(all.now()) && !hasHeartbeat);
        };
        all.cut = [](const std::string &from, const std::string &) {
            return from == "n0";
        };
        all.run(1s);
        CPPUNIT_ASSERT(!all.at("n0").members->isViewConfirmed(all.now()));
        all.cut = {};
        all.run(3s);
        CPPUNIT_ASSERT(all.at("n0").members->isViewConfirmed(all.now()) && !confirmedTooEarly);
        CPPUNIT_ASSERT(directoryNames(all, all.at("n4"), "n0"));
    }

    void queuedMessagesDoNotConfirmTheViewAfterAPause()
    {
        fleet all(14);
        addAll(all, 2);
        all.run(5s);
        auto &members = *all.at("n0").members;
        random_source random(1);
        const wall_time wall {1h};
        const auto before = members.tick(all.now() + 1s, wall, random);
        const auto other = all.at("n4").members->tick(all.now() + 1s, wall, random);
        CPPUNIT_ASSERT(!before.empty() && !other.empty() && members.isViewConfirmed(all.now() + 1s));
        const auto now = all.now() + 60s;
        const auto after = members.tick(now, wall, random);
        CPPUNIT_ASSERT(!members.isViewConfirmed(now));
        members.take(other.front().message, now, random);
        members.handleReply(before.front(), other.front().message, now, random);
        CPPUNIT_ASSERT(!members.isViewConfirmed(now));
        members.handleReply(after.front(), other.front().message, now, random);
        CPPUNIT_ASSERT(members.isViewConfirmed(now));
    }

    void newerIncarnationReplacesTheOlder()
    {
        fleet all(7);
        addAll(all, 3);
        all.run(5s);
        const auto old = all.at("n0").settings;
        all.add("n0", "north/a", 2);
        all.publishHints();
        all.run(4s);
        const auto &known = all.at("n4").members->members().entries().at(instance_id("n0"));
        CPPUNIT_ASSERT_EQUAL(incarnation {2}, known.row.process);
        // A late heartbeat of the old process changes nothing, and the old process learns that it was replaced.
        membership stale(old, all.now());
        random_source random(1);
        auto wall = wall_time {} + 1s;
        const auto late = stale.tick(all.now(), wall, random);
        heartbeat_message message;
        message.sender = old.self;
        message.sender.beat = 1'000'000;
        const auto reply = all.at("n4").members->take(message, all.now(), random);
        CPPUNIT_ASSERT_EQUAL(incarnation {2}, all.at("n4").members->members().entries().at(instance_id("n0")).row.process);
        message.sender = all.at("n0").settings.self;
        CPPUNIT_ASSERT(!stale.isSuperseded());
        stale.take(message, all.now(), random);
        CPPUNIT_ASSERT(stale.isSuperseded());
    }

    void loneInstanceBecomesReady()
    {
        fleet all(8);
        all.add("n0", "north/a");
        all.run(1s);
        CPPUNIT_ASSERT(!all.at("n0").members->isViewConfirmed(all.now()));
        all.run(3s);
        CPPUNIT_ASSERT(directoryNames(all, all.at("n0"), "n0"));
    }

    // After a power loss of all instances, hints arrive some milliseconds after the start. Instances must contact them at once instead of waiting
    // for their next round, so that they accept callers soon.
    void restartedFleetFindsTogetherAtOnce()
    {
        fleet all(5);
        unsigned number = 0;
        for (unsigned i = 0; i < 4; ++i) {
            all.add("n" + std::to_string(number++), kCentres.front());
        }
        all.run(150ms);
        all.publishHints();
        all.run(200ms);
        CPPUNIT_ASSERT(std::ranges::all_of(all.live(), [&](const fleet_instance *instance) {
            return instance->members->isViewConfirmed(all.now());
        }));
    }

    // After a power loss of the whole fleet callers look up where to connect. A directory with few entries sends all of them to the same instances.
    void restartedLargeDataCentreNamesReadyInstancesSoon()
    {
        fleet all(7);
        for (unsigned i = 0; i < 40; ++i) {
            all.add("n" + std::to_string(i), kCentres.front());
        }
        all.run(150ms);
        all.publishHints();
        const auto fewestEntries = [&] {
            std::vector<std::size_t> counts;
            std::ranges::transform(all.live(), std::back_inserter(counts), [&](const fleet_instance *instance) {
                return makeDirectoryView(*instance->members, {.lifetime = 10s}, all.now())->entries.size();
            });
            return std::ranges::min(counts);
        };
        all.run(300ms);
        CPPUNIT_ASSERT_GREATER(std::size_t {2}, fewestEntries());
        all.run(500ms);
        CPPUNIT_ASSERT_GREATER(std::size_t {9}, fewestEntries());
    }

    // After three seconds the instances choose their reader among the members that they know. Those that know few of them choose different ones.
    void restartedLargeDataCentreKnowsItsMembersInThreeSeconds()
    {
        fleet all(8);
        for (unsigned i = 0; i < 45; ++i) {
            all.add("n" + std::to_string(i), kCentres.front());
        }
        all.publishHints();
        all.run(3s);
        std::ranges::for_each(all.live(), [&](const fleet_instance *instance) {
            CPPUNIT_ASSERT_EQUAL(std::size_t {45}, instance->members->liveMembers(all.now()).size());
        });
    }

    // Guards against late configurations when a change is too large for one instance's link of 10 Mbit/s to send it to the whole data centre.
    void aLargeChangeSpreadsOverSmallLinks()
    {
        for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
            fleet all(seed);
            for (unsigned i = 0; i < 30; ++i) {
                all.add("n" + std::to_string(i), kCentres.front());
            }
            all.publishHints();
            all.run(4s);
            all.changeBytes = 80U << 10U;
            all.accept("n0", 7, false);
            all.run(2s);
            const auto live = all.live();
            CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t {30}, std::ranges::count(live, config_version {7}, &fleet_instance::version));
        }
    }

    void restartedInstanceDoesNotNameItselfAlone()
    {
        fleet all(6);
        addAll(all, 3);
        all.run(4s);
        all.kill("n0");
        auto &again = all.add("n0", kCentres.front(), 2);
        again.members->setSelf(1, 0, true);
        CPPUNIT_ASSERT_MESSAGE("all callers would move to it", makeDirectoryView(*again.members, {.lifetime = 10s}, all.now())->entries.empty());
        all.publishHints();
        all.run(1s);
        CPPUNIT_ASSERT(directoryNames(all, again, "n0") && directoryNames(all, again, "n4"));
    }

    void regionsReconnectAfterAnHourApart()
    {
        fleet all(9);
        addAll(all, 2);
        all.run(5s);
        all.cut = [&](const std::string &from, const std::string &to) {
            return all.at(from).settings.self.region != all.at(to).settings.self.region;
        };
        all.run(std::chrono::minutes(60));
        all.accept("n0", 5);
        all.run(4s);
        CPPUNIT_ASSERT_EQUAL(config_version {5}, all.at("n5").version);
        CPPUNIT_ASSERT_EQUAL(config_version {0}, all.at("n2").version);
        all.cut = {};
        all.run(30s);
        CPPUNIT_ASSERT(allHave(all, 5));
        CPPUNIT_ASSERT(all.at("n2").members->centres().liveCentres(region_id("north"), all.now()).size() == 2);
    }

    void survivesLossOfHalfAndReplacementOfAll()
    {
        fleet all(10);
        addAll(all, 4);
        all.run(5s);
        all.accept("n1", 3);
        all.run(4s);
        for (int i = 0; i < 8; ++i) {
            all.kill("n" + std::to_string(i));
        }
        all.run(4s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, all.at("n8").members->liveMembers(all.now()).size());
        for (int i = 0; i < 16; ++i) {
            const auto name = "n" + std::to_string(i);
            all.kill(name);
            all.add(name, kCentres[static_cast<std::size_t>(i) % 4], 2);
            all.publishHints();
            all.run(3s);
        }
        all.run(4s);
        CPPUNIT_ASSERT(allHave(all, 3));
        CPPUNIT_ASSERT_EQUAL(std::size_t {4}, all.at("n8").members->liveMembers(all.now()).size());
    }

    void leavingEndpointIsKnownToAllInstances()
    {
        testing::checkProperty("every instance learns within 3 s that an endpoint leaves", [] {
            RC_ASSERT(instancesWithoutLeavingNotice(*rc::gen::arbitrary<std::uint64_t>()) == 0);
        });
    }

    // Guards against a notice of a leaving endpoint that some instances don't hear in time: the seed of a run of the property above that failed.
    void leavingEndpointIsKnownDespiteUnluckyLoss()
    {
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t {0}, instancesWithoutLeavingNotice(350745585488998));
    }

    void versionsConverge()
    {
        testing::checkProperty("accepted versions reach all within 4 s and never go back", [] {
            fleet all(*rc::gen::arbitrary<std::uint64_t>());
            addAll(all, *rc::gen::inRange(1U, 4U));
            all.duplicateRate = 0.2;
            all.jitter = std::chrono::milliseconds(*rc::gen::inRange(0, 100));
            std::ranges::for_each(all.live(), [&](fleet_instance *instance) {
                instance->skew = std::chrono::seconds(*rc::gen::inRange(-300, 300));
            });
            all.run(5s);
            const auto at = "n" + std::to_string(*rc::gen::inRange(0, 4));
            all.dropRate = 0.3;
            all.accept(at, 7);
            all.pause("n3", 2s);
            all.run(2s);
            all.accept(at, 9);
            all.dropRate = 0;
            all.run(4s);
            RC_ASSERT(allHave(all, 9));
            RC_ASSERT(std::ranges::none_of(all.live(), &fleet_instance::versionDecreased));
        });
    }

    void changeCrossesRegionsTwiceOnAverage()
    {
        fleet all(11);
        addAll(all, 4);
        all.run(8s);
        for (config_version version = 1; version <= 20; ++version) {
            all.accept("n0", version);
            all.run(4s);
            CPPUNIT_ASSERT(allHave(all, version));
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(all.crossRegionChanges), all.crossRegionChanges <= 40);
    }

    void budgetHoldsInEveryWindow()
    {
        fleet all(12);
        addAll(all, 4);
        all.run(3s);
        for (config_version version = 1; version <= 10; ++version) {
            all.accept("n" + std::to_string(version), version);
            for (int i = 0; i < 20; ++i) {
                const host_port endpoint {"10.1.1.1", static_cast<std::uint16_t>(version * 100 + static_cast<unsigned>(i))};
                all.at("n0").members->announceLeaving({pool_name("quotes"), endpoint, {}}, all.now());
            }
            all.run(1s);
        }
        std::ranges::for_each(all.live(), [&](const fleet_instance *instance) {
            const auto &sent = instance->sent;
            for (std::size_t first = 0; first < sent.size(); ++first) {
                std::uint64_t sum = 0;
                for (std::size_t last = first; last < sent.size(); ++last) {
                    sum += sent[last].second;
                    const auto seconds = std::chrono::duration<double>(sent[last].first - sent[first].first).count();
                    CPPUNIT_ASSERT(static_cast<double>(sum) <= 20'000 * (seconds + 1));
                }
            }
        });
    }

    void logReadersAreFewAndAreReplaced()
    {
        fleet all(13);
        addAll(all, 4);
        all.run(5s);
        const auto readers = [&] {
            std::vector<std::string> names;
            std::ranges::for_each(all.live(), [&](const fleet_instance *instance) {
                if (instance->members->readerRank(all.now()) < 2) {
                    names.push_back(instance->name);
                }
            });
            return names;
        };
        const auto before = readers();
        CPPUNIT_ASSERT_EQUAL(std::size_t {4}, before.size());
        std::ranges::for_each(before, [&](const std::string &name) {
            all.kill(name);
        });
        all.run(5s);
        CPPUNIT_ASSERT_EQUAL(std::size_t {4}, readers().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_test);

} // namespace

} // namespace sequoiawharf
