// Compiles the non-template parts of Boost.Asio and Boost.Beast once instead of in every source.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
