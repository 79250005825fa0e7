#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

namespace
{

constexpr std::string_view kEntryPrefix = "test: ";

// Returns the tests listed in the file that SEQUOIAWHARF_KNOWN_RED names, as "fixture::method". A missing file lists none.
std::vector<std::string> readKnownRed()
{
    const auto *const path = std::getenv("SEQUOIAWHARF_KNOWN_RED"); // NOLINT(concurrency-mt-unsafe): no other thread runs yet
    std::ifstream file(path == nullptr ? "" : path);
    std::vector<std::string> names;
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(kEntryPrefix)) {
            names.push_back(line.substr(kEntryPrefix.size()));
        }
    }
    return names;
}

} // namespace

// Runs all registered suites. Fails if no test is registered, or if a test fails that is not listed as failing for a known fault.
int main()
{
    CppUnit::TestResult result;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    result.addListener(&collector);
    result.addListener(&progress);

    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(result);

    CppUnit::CompilerOutputter(&collector, std::cerr).write();
    const auto knownRed = readKnownRed();
    const auto isKnownRed = [&](const CppUnit::TestFailure *failure) {
        const auto failed = failure->failedTestName();
        return std::ranges::any_of(knownRed, [&](const std::string &name) {
            return failed == name || failed.ends_with("::" + name);
        });
    };
    const auto &failures = collector.failures();
    std::ranges::for_each(failures, [&](const CppUnit::TestFailure *failure) {
        if (isKnownRed(failure)) {
            std::cout << "known red: " << failure->failedTestName() << '\n';
        }
    });
    return std::ranges::all_of(failures, isKnownRed) && collector.runTests() > 0 ? 0 : 1;
}
