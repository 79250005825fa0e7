#pragma once

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <utility>

namespace sequoiawharf::testing
{

/// Runs a RapidCheck property as an assertion of a CppUnit test. A counterexample is printed to standard error.
template<typename testable> void checkProperty(const std::string &description, testable &&property)
{
    CPPUNIT_ASSERT_MESSAGE(description, rc::check(description, std::forward<testable>(property)));
}

} // namespace sequoiawharf::testing
