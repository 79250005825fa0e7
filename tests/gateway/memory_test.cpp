#include "gateway_rig.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <vector>

namespace sequoiawharf
{

namespace
{

using namespace testing;

constexpr std::size_t kHeldBytes = 60'000; // held whole, with the default of 64 KB
constexpr std::size_t kStreamedBytes = 300'000;
constexpr std::size_t kLimit = 1U << 20U;
constexpr int kCrowd = 12; // more than the limit has memory for

class memory_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(memory_test);
    CPPUNIT_TEST(unfinishedBodiesAreEndedAsNotRun);
    CPPUNIT_TEST(unfinishedStreamsAreClosed);
    CPPUNIT_TEST(bodyLargerThanTheLimitIsStreamed);
    CPPUNIT_TEST_SUITE_END();

    using crowd = std::vector<std::unique_ptr<test_caller>>;

    static void serve(target_peer &peer)
    {
        while (!peer.readRequest().empty()) {
            peer.answer("x");
        }
    }

    // Returns connections that have each sent all but the last byte of a body.
    static crowd makeCrowd(const gateway_rig &rig, std::string_view path, std::size_t bytes)
    {
        crowd callers;
        for (int i = 0; i < kCrowd; ++i) {
            callers.push_back(std::make_unique<test_caller>(rig.address()));
            callers.back()->send(fmt::format("POST {} HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n{}", path, bytes, std::string(bytes - 1, 'x')));
        }
        return callers;
    }

    static std::uint64_t bodiesEnded(gateway_rig &rig)
    {
        return rig.metrics().forThread(0).bodiesEnded.load();
    }

public:
    // Guards against unfinished bodies that keep others from being served, and against an end that leaves open whether the call ran.
    void unfinishedBodiesAreEndedAsNotRun()
    {
        const fake_target target(serve);
        gateway_rig rig({&target});
        rig.settings.limits.bodyMemoryBytes = kLimit;
        rig.start();
        auto callers = makeCrowd(rig, "/", kHeldBytes);
        test_caller small(rig.address());
        CPPUNIT_ASSERT_EQUAL(200U, static_cast<unsigned>(small.call("POST", "/", "little").status));
        test_caller large(rig.address());
        CPPUNIT_ASSERT_EQUAL(200U, static_cast<unsigned>(large.call("POST", "/", std::string(kHeldBytes, 'y')).status));
        CPPUNIT_ASSERT_EQUAL(2, target.runs());
        CPPUNIT_ASSERT(bodiesEnded(rig) > 0);
        CPPUNIT_ASSERT_EQUAL(std::string("not-run overloaded"), callers.front()->read().endingAndReason());
    }

    // Guards against an answer "not run" to a call of which a target has a part.
    void unfinishedStreamsAreClosed()
    {
        const fake_target target(serve);
        gateway_rig rig({&target});
        rig.settings.limits.bodyMemoryBytes = kLimit;
        rig.targetPool.slots = 10 * kCrowd; // the crowd must not exhaust the pool
        rig.targetPool.maxConnections = 10 * kCrowd;
        rig.start();
        auto callers = makeCrowd(rig, "/big", kStreamedBytes);
        test_caller large(rig.address());
        large.send(fmt::format("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n{}", kHeldBytes, std::string(kHeldBytes, 'y')));
        CPPUNIT_ASSERT(eventually([&] {
            const auto unknown = rig.metrics().forThread(0).endings[static_cast<std::size_t>(call_ending::Unknown)].load();
            return bodiesEnded(rig) > 0 && unknown == bodiesEnded(rig);
        }));
    }

    // Guards against a budget that refuses a single body inside the route's limit.
    void bodyLargerThanTheLimitIsStreamed()
    {
        const fake_target target(serve);
        gateway_rig rig({&target});
        rig.settings.limits.bodyMemoryBytes = kLimit;
        rig.start();
        test_caller caller(rig.address());
        CPPUNIT_ASSERT_EQUAL(200U, static_cast<unsigned>(caller.call("PUT", "/big", std::string(64U << 20U, 'x')).status));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t {0}, bodiesEnded(rig));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(memory_test);

} // namespace

} // namespace sequoiawharf
