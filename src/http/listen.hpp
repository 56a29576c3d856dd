#pragma once

#include "settings/value_type.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace chivewinch::http {

/** Opens and binds an acceptor and starts to listen; false and a reason if the address cannot be used. */
[[nodiscard]] bool listen(
    boost::asio::ip::tcp::acceptor& acceptor, const settings::Endpoint& address, std::string& reason);

} // namespace chivewinch::http
