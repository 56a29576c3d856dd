#include "http/listen.hpp"

#include <boost/asio/ip/address.hpp>

namespace chivewinch::http {

bool listen(boost::asio::ip::tcp::acceptor& acceptor, const settings::Endpoint& address, std::string& reason)
{
    boost::system::error_code error;
    const boost::asio::ip::tcp::endpoint endpoint { boost::asio::ip::make_address(address.address), address.port };
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(boost::asio::socket_base::reuse_address { true }, error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        reason = "cannot listen on " + settings::toString(address) + ": " + error.message();
    return !error;
}

} // namespace chivewinch::http
