// Compiles the bodies of Boost.Asio and Boost.Beast once for the whole library.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
