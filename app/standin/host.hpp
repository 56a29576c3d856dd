#pragma once

#include "base/random.hpp"
#include "http/server.hpp"
#include "standin/faults.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace chivewinch::standin {

/** HTTP server of one stand-in on one thread. Applies the injected faults, then calls the handler of the stand-in. */
class Host {
public:
    /** Handles one request. Runs on the only thread of the I/O context. */
    using Handler = std::function<http::Task<void>(const http::Request&, http::ResponseWriter&)>;

    Host(boost::asio::io_context& context, settings::Endpoint listen, Faults faults);
    Host(const Host&) = delete;
    Host& operator=(const Host&) = delete;
    virtual ~Host() = default;

    /** Starts listening. Returns false if the address cannot be bound. */
    [[nodiscard]] bool start();
    [[nodiscard]] const std::string& lastReason() const noexcept { return this->server->lastReason(); }

    /** Stops accepting requests and finishes the open ones, after which the I/O context has no work left. */
    void stop();

protected:
    boost::asio::io_context& context;
    Faults faults;
    base::SeededRandom random { base::entropySeed() };

    [[nodiscard]] virtual http::Task<void> handle(const http::Request& request, http::ResponseWriter& writer) = 0;
    /** Drops every connection and refuses new ones until the restart delay has passed. */
    void crash();
    /** Resets the state that a crash loses. */
    virtual void onCrash() { }
    [[nodiscard]] http::Task<void> pause(std::chrono::nanoseconds duration);

private:
    settings::Endpoint listen;
    std::shared_ptr<http::Server> server;
    boost::asio::steady_timer restartTimer;
    bool stopped = false;

    void makeServer();
    [[nodiscard]] http::Task<void> dispatch(const http::Request& request, http::ResponseWriter& writer);
    [[nodiscard]] http::Task<void> setFaults(const http::Request& request, http::ResponseWriter& writer);
};

/** Makes a complete JSON response. */
[[nodiscard]] http::Response jsonResponse(unsigned status, std::string body);

} // namespace chivewinch::standin
