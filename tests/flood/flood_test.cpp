#include "tests/flood/flood_rig.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <vector>

namespace
{

constexpr std::size_t kCrowd = 120;
constexpr std::size_t kBodyBytes = 512'000;
constexpr std::size_t kLargeChunkBytes = 30'000;
constexpr std::size_t kSmallChunks = 40'000;
constexpr std::size_t kPieceBytes = 16'000;
constexpr std::size_t kMaxMemoryKb = 40'000;
constexpr std::size_t kMaxDescriptors = kCrowd + 100;
constexpr unsigned kOk = 200;

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
// The shadow memory and the freed blocks that a sanitizer keeps (256 MB with AddressSanitizer) exceed the bound without any call.
constexpr bool kMemoryIsBounded = false;
#else
constexpr bool kMemoryIsBounded = true;
#endif

// As on the users' platform: bodies of the crowd's size are held whole.
constexpr auto kLimits = "  held_body_bytes: 524288\n  body_memory_bytes: 16777216\n";

std::string head(std::string_view framing)
{
    return fmt::format("POST /cargo HTTP/1.1\r\nHost: flood\r\n{}\r\n\r\n", framing);
}

std::string chunked(std::size_t chunks, std::size_t bytes)
{
    const auto chunk = fmt::format("{:x}\r\n{}\r\n", bytes, std::string(bytes, 'x'));
    std::string text;
    for (std::size_t i = 0; i < chunks; ++i) {
        text += chunk;
    }
    return text;
}

} // namespace

/// Unfinished bodies of many connections must not exhaust the memory of an instance: each test would end a small process without the bound.
class flood_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(flood_test);
    CPPUNIT_TEST(bodiesSentWhole);
    CPPUNIT_TEST(bodiesSentInPieces);
    CPPUNIT_TEST(largeChunks);
    CPPUNIT_TEST(chunksOfOneByte);
    CPPUNIT_TEST_SUITE_END();

    static void expectBounded(const std::vector<std::string> &pieces)
    {
        flood_rig rig(kLimits);
        rig.send(kCrowd, pieces);
        CPPUNIT_ASSERT(rig.isAlive());
        CPPUNIT_ASSERT_EQUAL(kOk, rig.ordinaryCall());
        const auto peak = rig.memoryKb("VmHWM");
        const auto open = rig.descriptors();
        CPPUNIT_ASSERT_MESSAGE(fmt::format("descriptors: {}", open), open <= kMaxDescriptors);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("VmHWM: {} kB", peak), !kMemoryIsBounded || peak <= kMaxMemoryKb);
        CPPUNIT_ASSERT(rig.isAlive());
    }

    void bodiesSentWhole()
    {
        expectBounded({head(fmt::format("Content-Length: {}", kBodyBytes)) + std::string(kBodyBytes - 1, 'x')});
    }

    void bodiesSentInPieces()
    {
        std::vector<std::string> pieces {head(fmt::format("Content-Length: {}", kBodyBytes))};
        for (std::size_t sent = 0; sent < kBodyBytes - 1;) {
            const auto bytes = std::min(kPieceBytes, kBodyBytes - 1 - sent);
            pieces.emplace_back(bytes, 'x');
            sent += bytes;
        }
        expectBounded(pieces);
    }

    void largeChunks()
    {
        expectBounded({head("Transfer-Encoding: chunked"), chunked(kBodyBytes / kLargeChunkBytes, kLargeChunkBytes)});
    }

    void chunksOfOneByte()
    {
        expectBounded({head("Transfer-Encoding: chunked"), chunked(kSmallChunks, 1)});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(flood_test);
