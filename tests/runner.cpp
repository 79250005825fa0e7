#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>

// Runs all registered suites. Fails if a test fails or if no test is registered.
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
    return collector.wasSuccessful() && collector.runTests() > 0 ? 0 : 1;
}
