// The parts of Boost.Asio and Boost.Beast that are not templates, compiled once instead of in every source.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
