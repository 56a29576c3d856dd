#pragma once

#include "http/client.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <memory>
#include <utility>

namespace chivewinch::http {

/** HTTP clients of several servers with the same options. Not thread-safe; used on one executor only. */
class ClientSet {
public:
    /** @param options Options of all clients; the server field is set for each client. */
    ClientSet(boost::asio::any_io_executor executor, ClientOptions options)
        : executor { std::move(executor) }
        , options { std::move(options) }
    {
    }

    /** Returns the client of the server; creates it on first use. */
    [[nodiscard]] std::shared_ptr<Client> of(const settings::Endpoint& server)
    {
        auto& client = this->clients[server];
        if (!client) {
            auto own = this->options;
            own.server = server;
            client = std::make_shared<Client>(this->executor, std::move(own));
        }
        return client;
    }

private:
    boost::asio::any_io_executor executor;
    ClientOptions options;
    std::map<settings::Endpoint, std::shared_ptr<Client>> clients;
};

} // namespace chivewinch::http
