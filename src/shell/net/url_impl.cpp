// Compiles the bodies of Boost.URL once for the whole library.
#include <boost/url/src.hpp>
