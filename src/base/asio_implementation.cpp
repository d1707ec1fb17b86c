// Compiles the bodies of Boost.Asio and Boost.Beast once for the whole program; every other file sees only
// their declarations (BOOST_ASIO_SEPARATE_COMPILATION, BOOST_BEAST_SEPARATE_COMPILATION).
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
