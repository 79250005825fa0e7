#include "src/shell/net/log.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>
#include <unistd.h>

namespace sequoiawharf
{

namespace
{

// Returns what the function writes to standard output, up to the capacity of a pipe.
template<typename function> std::string outputOf(function &&run)
{
    std::array<int, 2> ends {};
    CPPUNIT_ASSERT_EQUAL(0, ::pipe(ends.data()));
    std::fflush(stdout);
    const int saved = ::dup(STDOUT_FILENO);
    ::dup2(ends[1], STDOUT_FILENO);
    ::close(ends[1]);
    run();
    ::dup2(saved, STDOUT_FILENO); // closes the last writer of the pipe
    ::close(saved);
    std::string text;
    std::array<char, 4096> piece {};
    for (auto size = ::read(ends[0], piece.data(), piece.size()); size > 0; size = ::read(ends[0], piece.data(), piece.size())) {
        text.append(piece.data(), static_cast<std::size_t>(size));
    }
    ::close(ends[0]);
    return text;
}

class log_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(log_test);
    CPPUNIT_TEST(aMessageIsOneLineOfPrintableText);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a line of the log that another program has chosen, such as the writer of a key in the store.
    void aMessageIsOneLineOfPrintableText()
    {
        const auto text = outputOf([] {
            writeLog(log_level::Error, "test", "Ignored an entry. key=\"a\r\n2026-12-08T00:00:00.000Z error: test: forged\x1b[2J\xff\"");
            writeLog(log_level::Error, "test", "Plain. key=\"a\"");
        });
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t {2}, std::ranges::count(text, '\n'));
        CPPUNIT_ASSERT(std::ranges::all_of(text, [](char c) {
            return (c >= ' ' && c <= '~') || c == '\n';
        }));
        CPPUNIT_ASSERT(text.find(R"(key="a\x0d\x0a2026)") != std::string::npos && text.find(R"(forged\x1b[2J\xff")") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(text, text.ends_with("error test: Plain. key=\"a\"\n"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_test);

} // namespace

} // namespace sequoiawharf
